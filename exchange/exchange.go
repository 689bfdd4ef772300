package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ErrUnreachable reports that no connection could be established, so nothing was sent.
var ErrUnreachable = errors.New("no connection")

// ErrWithheld reports that Request.Still returned false, so nothing was sent.
var ErrWithheld = errors.New("not sent: no longer wanted there")

// errStray reports a response that belongs to another request.
var errStray = errors.New("an answer that belongs to another request")

// maxStray is the number of late responses to earlier requests that are skipped on a connection
// before it is given up, and maxStrayBytes the size up to which the body of each is read.
const (
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// sentGrace is the time that Close waits for the goroutine that writes the request. By the time the
// response has been read it is ready to run, unless it is still sending the body.
const sentGrace = 2 * time.Millisecond

// Request is a request to an endpoint.
type Request struct {
	Address string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte

	// Rest is the idle time up to which a connection of the pool may be used. If Rest is zero, a
	// new connection is dialed.
	Rest time.Duration

	// Still, if not nil, is called directly before the request is sent and reports whether to send
	// it: dialing takes up to Pool.DialLimit, in which the reasons to send it may have changed.
	Still func() bool

	// Mine reports whether a response with the given header belongs to this request.
	Mine func(http.Header) bool
}

// Answer is a response whose head has been read. Reads of Body return io.EOF only if the response
// is complete. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	// Event reports whether the body is a stream of server-sent events.
	Event bool

	conn    *Conn
	pool    *Pool
	address string
	raw     *http.Response
	wrote   <-chan error // receives the result of writing the request
	stop    func() bool  // detaches the connection from the context of Do
	whole   bool         // the body was read to its end
	closed  bool
}

// Do sends a request and reads the head of its response. After an error that is neither
// ErrUnreachable nor ErrWithheld, the endpoint may have received the request. The context bounds
// the call until Close.
func (p *Pool) Do(c context.Context, q Request) (*Answer, error) {
	n := p.take(q.Address, q.Rest)
	if n == nil {
		var err error
		if n, err = p.dial(c, q.Address); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
	}
	if q.Still != nil && !q.Still() {
		p.put(q.Address, n)
		return nil, ErrWithheld
	}
	n.calls++
	// A deadline in the past interrupts pending reads and writes when the context is done.
	stop := context.AfterFunc(c, func() { _ = n.net.SetDeadline(time.Unix(1, 0)) })
	wrote := make(chan error, 1)
	go func() { wrote <- write(n, q) }()
	r, err := head(n, q) //nolint:bodyclose // Answer.Close ends the connection or keeps it
	if err != nil {
		stop()
		n.reset()
		if c.Err() != nil {
			err = c.Err()
		}
		return nil, err
	}
	a := &Answer{Status: r.StatusCode, Header: r.Header, conn: n, pool: p, address: q.Address, raw: r, wrote: wrote, stop: stop}
	a.Body = &body{a}
	a.Event = strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
	return a, nil
}

// write sends the whole request in one write.
func write(n *Conn, q Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	if err := q.Header.Write(&b); err != nil {
		return fmt.Errorf("encode the head: %w", err)
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	if _, err := n.net.Write(b.Bytes()); err != nil {
		return fmt.Errorf("send to %s: %w", q.Address, err)
	}
	return nil
}

// head reads the head of the response to the request. Informational responses and late responses to
// earlier requests on the same connection are skipped.
func head(n *Conn, q Request) (*http.Response, error) {
	for range maxStray + 1 {
		r, err := http.ReadResponse(n.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, fmt.Errorf("read the answer of %s: %w", q.Address, err)
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		if q.Mine(r.Header) {
			return r, nil
		}
		if r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBytes)); err != nil {
			break
		}
	}
	return nil, fmt.Errorf("%s: %w", q.Address, errStray)
}

// body records in its Answer when the end of the body has been read.
type body struct{ a *Answer }

// Read reads from the body of the response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.a.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.a.whole = true
	}
	return n, err
}

// Interrupt makes pending reads of Body fail.
func (a *Answer) Interrupt() { _ = a.conn.net.SetDeadline(time.Unix(1, 0)) }

// Close ends the call; further calls do nothing. The connection returns to the pool only if the
// response was read to its end, the request was sent completely, and neither side closes it.
// If the response is incomplete, the connection is reset.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	cancelled := !a.stop()
	if a.whole && !cancelled && !a.raw.Close && a.Framed() && a.sent() && a.conn.reader.Buffered() == 0 {
		a.conn.keep = keepAlive(a.Header)
		a.pool.put(a.address, a.conn)
		return
	}
	if a.whole && !cancelled {
		_ = a.conn.net.Close()
		return
	}
	a.conn.reset()
}

// Framed reports whether the response has a content length or a transfer encoding. The end of any
// other response is the end of the connection, so a truncated one looks complete.
func (a *Answer) Framed() bool {
	return a.raw.ContentLength >= 0 || len(a.raw.TransferEncoding) > 0
}

// sent reports whether the request was sent completely. If the endpoint answers before that, the
// rest of the body is still to be sent and the connection can't be used for another request.
func (a *Answer) sent() bool {
	select {
	case err := <-a.wrote:
		return err == nil
	case <-time.After(sentGrace):
		return false
	}
}

// keepAlive returns the timeout of the Keep-Alive header, or zero if there is none.
func keepAlive(h http.Header) time.Duration {
	for f := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			return time.Duration(max(s, 0)) * time.Second
		}
	}
	return 0
}
