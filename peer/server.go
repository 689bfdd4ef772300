// Package peer carries calls between entry boxes over framed TCP connections.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/frame"
)

// writeLimit ends a connection whose far side stops reading.
const writeTimeout = 5 * time.Second

// Handler answers one call. It may send items before it returns; the value that
// it returns is the last.
type Handler func(c context.Context, body []byte, send func(any) error) (any, error)

// failure is an error as it crosses between boxes.
type failure struct {
	Kind       errkind.Kind  `msgpack:"k"`
	Message    string        `msgpack:"m"`
	RetryAfter time.Duration `msgpack:"r,omitempty"`
}

// Server answers the calls of peers that know the secret.
type Server struct {
	secret     string
	mu         sync.RWMutex
	handlers   map[string]Handler
	semaphores map[string]chan struct{} // of the methods whose calls are answered in turn
	conns      map[*frame.Conn]bool
	group      sync.WaitGroup
	listener   net.Listener
	cancel     context.CancelFunc
}

// NewServer returns a server without handlers.
func NewServer(secret string) *Server {
	return &Server{secret: secret, handlers: map[string]Handler{}, semaphores: map[string]chan struct{}{}, conns: map[*frame.Conn]bool{}}
}

// Handle enters the handler of a method.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// LimitConcurrency lets no more than so many calls of a method be answered at once, from the handler's begin
// until the answer has been written. The others wait their turn: sent to all that ask at once, a
// large answer would reach each of them after the last byte of all.
func (s *Server) LimitConcurrency(method string, atOnce int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.semaphores[method] = make(chan struct{}, atOnce)
}

// Handle enters a handler of typed messages without items.
func Handle[I, O any](s *Server, method string, f func(context.Context, I) (O, error)) {
	s.Handle(method, func(c context.Context, body []byte, _ func(any) error) (any, error) {
		var in I
		if err := msgpack.Unmarshal(body, &in); err != nil {
			return nil, errkind.New(errkind.BadRequest, "decode %s: %w", method, err)
		}
		return f(c, in)
	})
}

// Listen serves on an address until Close.
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

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the listener, the connections and the handlers.
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

// Bytes returns what went over all open connections, both ways.
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

func (s *Server) setOpen(f *frame.Conn, in bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in {
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

// read answers the calls of one connection until it ends.
func (s *Server) readLoop(c context.Context, f *frame.Conn) {
	var g sync.WaitGroup
	defer g.Wait()
	c, all := context.WithCancel(c)
	defer all()
	var mu sync.Mutex
	cancels := map[uint64]context.CancelFunc{}
	for {
		m, err := f.Read()
		if err != nil {
			return
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
	h, turn := s.handlers[m.Method], s.semaphores[m.Method]
	s.mu.RUnlock()
	if turn != nil {
		select {
		case turn <- struct{}{}:
			defer func() { <-turn }()
		case <-c.Done():
			return
		}
	}
	send := func(v any) error { return writeBody(f, m.ID, frame.Item, v) }
	if h == nil {
		_ = writeBody(f, m.ID, frame.Fail, failure{Kind: errkind.Unavailable, Message: "no method " + m.Method})
		return
	}
	v, err := h(c, m.Body, send)
	if err != nil {
		e := errkind.Of(err)
		_ = writeBody(f, m.ID, frame.Fail, failure{e.Kind, e.Message, e.RetryAfter})
		return
	}
	// The connection closes on a write error, so the caller learns of it.
	if err := writeBody(f, m.ID, frame.End, v); err != nil {
		f.Close()
	}
}

func writeBody(f *frame.Conn, id uint64, t frame.Type, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	return f.Write(frame.Message{ID: id, Type: t, Body: b}, writeTimeout)
}
