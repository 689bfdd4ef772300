// Package peer implements the calls between entry boxes. Calls are multiplexed over
// framed TCP connections, and both sides of a connection authenticate each other by a
// shared secret. A call returns one result, and may return a stream of items before it.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/frame"
	"birchlink.dev/birchlink/membudget"
)

// writeTimeout bounds the write of a piece of a frame. A connection whose remote side has stopped reading
// is closed after it. Answers of methods with limited concurrency have limitedWriteTimeout, since others wait for them.
const (
	writeTimeout        = 5 * time.Second
	limitedWriteTimeout = 1500 * time.Millisecond
)

const (
	// maxCallBytes bounds the calls that a server answers at the same time: their arguments, and callOverhead for each.
	maxCallBytes = 2*frame.MaxSize + 4<<20
	callOverhead = 4 << 10

	// fullRetryAfter is when a call returns for which there was no memory.
	fullRetryAfter = time.Second
)

// frameTimeout bounds the time in which a frame arrives once its first byte has. The largest takes 9 s at 10 Mbit/s, and some
// are sent at the same time.
const frameTimeout = 30 * time.Second

// Handler answers one call. Body is the encoded argument. The handler may send items
// before it returns the result. C is cancelled when the caller gives up or the
// connection ends.
type Handler func(c context.Context, body []byte, send func(any) error) (any, error)

// TakeoverFunc serves a connection on which a peer made a call of its method. Body is the encoded
// argument. The connection is closed when it returns, or when c is done.
type TakeoverFunc func(c context.Context, f *frame.Conn, body []byte)

// failure is the wire form of an errkind.Error.
type failure struct {
	Kind       errkind.Kind  `msgpack:"k"`
	Message    string        `msgpack:"m"`
	RetryAfter time.Duration `msgpack:"r,omitempty"`
}

// Server answers calls of peers that know the secret.
type Server struct {
	secret     string
	mu         sync.RWMutex
	handlers   map[string]Handler
	takeovers  map[string]TakeoverFunc  // by method
	semaphores map[string]chan struct{} // limits on concurrent calls, by method
	conns      map[*frame.Conn]bool
	calls      membudget.Budget // calls in progress
	group      sync.WaitGroup
	listener   net.Listener
	cancel     context.CancelFunc
}

// NewServer returns a server that answers only pings.
func NewServer(secret string) *Server {
	ping := func(context.Context, []byte, func(any) error) (any, error) { return struct{}{}, nil }
	return &Server{
		secret: secret, handlers: map[string]Handler{methodPing: ping}, takeovers: map[string]TakeoverFunc{}, semaphores: map[string]chan struct{}{}, conns: map[*frame.Conn]bool{},
		calls: membudget.Budget{Total: maxCallBytes},
	}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// HandleTakeover registers the function that takes over connections by a method, made with
// Client.Takeover.
func (s *Server) HandleTakeover(method string, f TakeoverFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeovers[method] = f
}

func (s *Server) takeover(method string) TakeoverFunc {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.takeovers[method]
}

// LimitConcurrency limits the number of calls of a method that are answered at the same time. A
// call counts from the start of its handler until its answer has been written; further calls wait.
// Without a limit, large answers that are sent concurrently share the bandwidth, and all of them
// arrive only when the last byte of all has been sent.
func (s *Server) LimitConcurrency(method string, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.semaphores[method] = make(chan struct{}, limit)
}

// Handle registers a handler with a typed argument and result and without items.
func Handle[I, O any](s *Server, method string, f func(context.Context, I) (O, error)) {
	s.Handle(method, func(c context.Context, body []byte, _ func(any) error) (any, error) {
		var in I
		if err := msgpack.Unmarshal(body, &in); err != nil {
			return nil, errkind.New(errkind.BadRequest, "decode %s: %w", method, err)
		}
		return f(c, in)
	})
}

// Listen starts serving on an address and returns. Close stops the server.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	c, cancel := context.WithCancel(context.Background())
	s.listener, s.cancel = l, cancel
	s.group.Go(func() { s.accept(c, l) })
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and the connections, cancels the running handlers, and waits for them.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Bytes returns the number of bytes sent and received on all open connections.
func (s *Server) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var n int64
	for c := range s.conns {
		n += c.Bytes.Load()
	}
	return n
}

func (s *Server) accept(c context.Context, l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { s.serve(c, n) })
	}
}

// setOpen adds a connection to the open ones or removes it.
func (s *Server) setOpen(f *frame.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[f] = true
	} else {
		delete(s.conns, f)
	}
}

func (s *Server) serve(c context.Context, n net.Conn) {
	f := frame.New(n)
	s.setOpen(f, true)
	defer s.setOpen(f, false)
	defer f.Close()
	if c.Err() != nil {
		return
	}
	_ = n.SetReadDeadline(time.Now().Add(handshakeTimeout))
	if err := serverHandshake(f, s.secret); err != nil {
		return
	}
	_ = n.SetReadDeadline(time.Time{})
	c, cancel := context.WithCancel(c)
	defer cancel()
	s.readLoop(c, f)
}

// readLoop answers the calls of a connection until it ends.
func (s *Server) readLoop(c context.Context, f *frame.Conn) {
	var g sync.WaitGroup
	defer g.Wait()
	c, cancelAll := context.WithCancel(c)
	defer cancelAll()
	var mu sync.Mutex
	cancels := map[uint64]context.CancelFunc{}
	for {
		m, err := f.ReadWithin(frameTimeout)
		if err != nil {
			return
		}
		if m.Type == frame.Call {
			if serve := s.takeover(m.Method); serve != nil {
				serve(c, f, m.Body)
				return
			}
		}
		cost := int64(len(m.Method)+len(m.Body)) + callOverhead
		if m.Type == frame.Call && !s.calls.Acquire(cost) {
			refusal := failure{errkind.BoxFull, "this box answers too many calls", fullRetryAfter}
			if writeBody(f, m.ID, frame.Fail, refusal, writeTimeout) != nil {
				return
			}
			continue
		}
		mu.Lock()
		switch m.Type {
		case frame.Cancel:
			if stop, ok := cancels[m.ID]; ok {
				stop()
			}
		case frame.Call:
			x, stop := context.WithCancel(c)
			cancels[m.ID] = stop
			g.Go(func() {
				defer s.calls.Release(cost)
				s.handleCall(x, f, m)
				stop()
				mu.Lock()
				delete(cancels, m.ID)
				mu.Unlock()
			})
		}
		mu.Unlock()
	}
}

func (s *Server) handleCall(c context.Context, f *frame.Conn, m frame.Message) {
	s.mu.RLock()
	h, sem := s.handlers[m.Method], s.semaphores[m.Method]
	s.mu.RUnlock()
	timeout := writeTimeout
	if sem != nil {
		timeout = limitedWriteTimeout
		select {
		case sem <- struct{}{}:
			defer func() { <-sem }()
		case <-c.Done():
			return
		}
	}
	send := func(v any) error { return writeBody(f, m.ID, frame.Item, v, timeout) }
	if h == nil {
		_ = writeBody(f, m.ID, frame.Fail, failure{Kind: errkind.Unavailable, Message: "no method " + m.Method}, timeout)
		return
	}
	v, err := h(c, m.Body, send)
	if err != nil {
		e := errkind.Of(err)
		_ = writeBody(f, m.ID, frame.Fail, failure{e.Kind, e.Message, e.RetryAfter}, timeout)
		return
	}
	// Close the connection on a write error so that the caller notices.
	if err := writeBody(f, m.ID, frame.End, v, timeout); err != nil {
		f.Close()
	}
}

func writeBody(f *frame.Conn, id uint64, t frame.Type, v any, timeout time.Duration) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	err = f.Write(frame.Message{ID: id, Type: t, Body: b}, timeout)
	var n net.Error
	if errors.As(err, &n) {
		f.Close() // so that handlers that send on do not wait for each frame
	}
	return err
}
