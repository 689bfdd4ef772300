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

// ErrUnreachable says that no connection came about: nothing was sent.
var ErrUnreachable = errors.New("no connection")

// ErrWithheld says that nothing was sent, since Request.Still said no.
var ErrWithheld = errors.New("not sent: no longer wanted there")

// errStray says that an answer of another request came in place of ours.
var errStray = errors.New("an answer that belongs to another request")

// maxStray bounds the late answers of earlier requests that are read past on a
// kept connection before it is given up, and maxStrayBytes each one's body.
const (
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// sentGrace lets the goroutine that has written a request say so; it is ready
// to run by the time the answer is read, unless the body is still being sent.
const sentGrace = 2 * time.Millisecond

// Request is one call as it goes onto the connection.
type Request struct {
	Address string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte

	// Rest is how long a kept connection may have been idle to be used for this
	// call; zero always dials.
	Rest time.Duration

	// Still, if set, is asked right before the request goes out: a new connection
	// takes up to DialLimit to stand.
	Still func() bool

	// Mine reports whether an answer's head belongs to this call.
	Mine func(http.Header) bool
}

// Answer is the head of an answer; Body is read by the caller and ends with
// io.EOF only if the answer is whole. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	// Event reports whether the body is a stream of events.
	Event bool

	conn    *Conn
	pool    *Pool
	address string
	raw     *http.Response
	wrote   <-chan error
	stop    func() bool
	whole   bool
	closed  bool
}

// Do sends a request and reads the head of its answer. An error that is neither
// ErrUnreachable nor ErrWithheld means that the endpoint may have got the request.
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
	// An ended context ends reads and writes that are under way.
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

// write puts the whole request onto the connection.
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

// head reads the head of the answer that belongs to the request. Late answers
// of earlier requests on the same connection are read past.
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

// body marks the answer whole when its end has been read.
type body struct{ a *Answer }

// Read reads from the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.a.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.a.whole = true
	}
	return n, err
}

// Interrupt makes a read that is under way fail.
func (a *Answer) Interrupt() { _ = a.conn.net.SetDeadline(time.Unix(1, 0)) }

// Close ends the call; closing again does nothing. The connection is kept only if the answer was
// whole, the request was sent whole, and neither side wants it closed.
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

// Framed reports whether the answer says where it ends: one that does not ends with its
// connection, however that came about.
func (a *Answer) Framed() bool {
	return a.raw.ContentLength >= 0 || len(a.raw.TransferEncoding) > 0
}

// sent reports whether the request has gone out whole. An answer that came
// earlier leaves a connection on which the rest of the body is still due.
func (a *Answer) sent() bool {
	select {
	case err := <-a.wrote:
		return err == nil
	case <-time.After(sentGrace):
		return false
	}
}

// keepAlive reads for how long the endpoint keeps the connection.
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
