package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/linger"
	"birchlink.dev/birchlink/membudget"
	"birchlink.dev/birchlink/openai"
)

const (
	// maxHeldHeadBytes bounds the memory of the heads of callers' requests at the same time, as far as each is longer than
	// freeHeadBytes. Ordinary heads are shorter, so that they are served whatever others send.
	maxHeldHeadBytes = 16 << 20
	freeHeadBytes    = 4 << 10

	// headCost is the memory that a byte of a head takes once it is decoded, for headers of a usual length.
	headCost = 4

	// drainTimeout is how long the rest of a refused head or body is read. A connection that is closed with unread bytes is reset,
	// and the caller may not see why it was refused.
	drainTimeout = 500 * time.Millisecond

	// lingerTimeout is how long more of a refused body is read after the answer, as long as it comes.
	lingerTimeout = 5 * time.Second
)

// errHeadsFull reports that all memory for heads is held. As an error of a read it makes net/http close the connection without
// another answer.
var errHeadsFull = &net.OpError{Op: "read", Err: errors.New("too many large heads are held at this box")}

// headListener accepts the connections of callers and bounds the memory of their heads.
type headListener struct {
	*net.TCPListener
	heads  *membudget.Budget
	refuse func(*net.TCPConn)

	// onRejected is called with the answer by which net/http rejects what it can't read as a request.
	onRejected func(answer []byte)
}

// Accept returns the next connection.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: linger.New(c), listener: l}, nil
}

// headConn is a connection that counts the bytes of the head that it receives. They are held until the request has ended.
type headConn struct {
	*linger.Conn
	listener headListener

	mu       sync.Mutex
	isBody   bool  // the head is complete
	isEnded  bool  // nothing is counted any more
	isServed bool  // a handler has the request
	bytes    int   // of the head
	held     int64 // taken from the budget
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connContext adds a caller's connection to the context of its requests.
func connContext(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, connKey{}, n)
}

// connOf returns the connection of a context.
func connOf(c context.Context) net.Conn {
	n, _ := c.Value(connKey{}).(net.Conn)
	return n
}

// setResetOnClose sets whether a connection is reset when it is closed.
func setResetOnClose(c net.Conn, reset bool) {
	t, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = t.SetLinger(seconds) // fails only on a closed connection
}

// markServed records that a handler has the request of a context.
func markServed(c context.Context) {
	if h, ok := connOf(c).(*headConn); ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.isServed = true
	}
}

// lingerOnClose makes the connection of a context read what the caller still sends before it is closed, unless it is kept.
func (i *Ingress) lingerOnClose(c context.Context) {
	limit := lingerTimeout
	if i.stopping.Load() {
		limit = drainTimeout
	}
	if h, ok := connOf(c).(*headConn); ok {
		h.Linger(i.closing, limit)
	}
}

// Write writes to the connection.
func (c *headConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	isRejected := c.isBody && !c.isServed
	c.isServed = c.isServed || isRejected
	c.mu.Unlock()
	if isRejected {
		c.listener.onRejected(p)
	}
	return c.TCPConn.Write(p)
}

// logRejected logs and counts an answer of net/http to what is no request.
func (i *Ingress) logRejected(answer []byte) {
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	metrics.GetOrRegisterCounter("refused.malformed", i.metrics).Inc(1)
	i.log.Info().Str("event", "answer").Str("kind", "malformed").Bytes("reason", line).Msg("rejected by the HTTP server")
}

// setState follows the states of the connection in net/http. It reports a connection as active once a head was read.
func (c *headConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateActive {
		c.isBody, c.isServed = true, false
		return
	}
	c.listener.heads.Release(c.held)
	c.isBody, c.bytes, c.held = false, 0, 0
	if s == http.StateIdle {
		c.Linger(context.Background(), 0)
	}
	c.isEnded = s == http.StateClosed || s == http.StateHijacked
}

// Read reads from the connection. If there is no memory for a head, it answers the caller and returns an error.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.count(n) {
		return n, err
	}
	c.listener.refuse(c.TCPConn)
	return 0, errHeadsFull
}

// count counts n bytes that were received and reports whether there is memory for them.
func (c *headConn) count(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBody || c.isEnded {
		return true
	}
	c.bytes += n
	more := int64(max(c.bytes-freeHeadBytes, 0))*headCost - c.held
	if !c.listener.heads.Acquire(more) {
		return false
	}
	c.held += more
	return true
}

// refuseHead answers a caller whose head has no room.
func (i *Ingress) refuseHead(c *net.TCPConn) {
	resp := errkind.BoxFull.Response()
	metrics.GetOrRegisterCounter("refused."+resp.Name, i.metrics).Inc(1)
	i.log.Info().Str("event", "answer").Str("kind", resp.Name).Str("run", string(resp.Run)).Str("reason", errHeadsFull.Err.Error()).Msg("refused or failed")
	w := bufferedResponse{header: http.Header{}}
	i.Codec.SetErrorHeader(w.header, nil)
	w.header.Set("Retry-After", strconv.FormatFloat(fullRetryAfter.Seconds(), 'f', 2, 64))
	jsonhttp.Write(&w, resp.Status, openai.Error{Error: openai.ErrorBody{
		Message: errHeadsFull.Err.Error(), Type: resp.Name, Code: resp.Name, Run: string(resp.Run),
	}})
	answer := http.Response{
		StatusCode: resp.Status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Close: true,
	}
	_ = c.SetDeadline(time.Now().Add(drainTimeout))
	if answer.Write(c) == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c, maxHeaderBytes)
	}
}

// bufferedResponse is an http.ResponseWriter that keeps the response.
type bufferedResponse struct {
	header http.Header
	body   bytes.Buffer
}

func (r *bufferedResponse) Header() http.Header { return r.header }

func (r *bufferedResponse) WriteHeader(int) {}

func (r *bufferedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }
