package httpconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/bytebudget"
	"birchlink.dev/birchlink/httpstatus"
)

// ErrUnreachable reports that no connection could be established, so nothing was sent.
var ErrUnreachable = errors.New("no connection")

// ErrNotSent reports that Request.ShouldSend returned false, so nothing was sent.
var ErrNotSent = errors.New("not sent: no longer wanted there")

// errMismatched reports a response that belongs to another request.
var errMismatched = errors.New("an answer that belongs to another request")

// errBody reports an informational response that announces a body, which would be read as the next response.
var errBody = errors.New("an informational answer announces a body")

// errManyInformational reports a response that more than maxInformational informational ones precede.
var errManyInformational = errors.New("too many informational answers")

// maxMismatched is the number of late responses to earlier requests that are skipped on a
// connection before it is given up, and maxMismatchedBytes the size up to which the body of each
// is read. The connection is given up if a body is larger.
const (
	maxMismatched      = 2
	maxMismatchedBytes = 1 << 20
)

// maxInformational is the number of informational responses that are skipped for one request.
const maxInformational = 100

// writeGrace is the time that Close waits for the goroutine that writes the request. By the time
// the response has been read it is ready to run, unless it is still sending the body.
const writeGrace = 2 * time.Millisecond

// Request is a request to an endpoint.
type Request struct {
	Endpoint string // ID, by which the link to the endpoint is known
	Address  string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte

	// MaxIdle is the idle time up to which a connection of the pool may be used. If MaxIdle is
	// zero, a new connection is dialed.
	MaxIdle time.Duration

	// ShouldSend, if not nil, is called directly before the request is sent and reports whether
	// to send it: dialing takes up to Pool.DialTimeout, in which the reasons to send it may have
	// changed.
	ShouldSend func() bool

	// Overdue is the time after which the link is checked if nothing has arrived on it; zero for never.
	Overdue time.Duration

	// Abandon, if not nil, is called if the link falls silent and other boxes reach the endpoint: no
	// response will arrive before the link has recovered.
	Abandon func()

	// Matches reports whether a response with the given header belongs to this request.
	Matches func(http.Header) bool
}

// Response is a response whose head has been read. Reads of Body return io.EOF only if the response
// is complete. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	// Via is the address of the box through which the endpoint was reached; empty if it was directly.
	Via string

	// EventStream reports whether the body is a stream of server-sent events.
	EventStream bool

	conn        *Conn
	pool        *Pool
	address     string
	raw         *http.Response
	writeResult <-chan error // receives the result of writing the request
	detach      func() bool  // detaches the connection from the context of Do
	complete    bool         // the body was read to its end
	dropped     atomic.Bool  // the response is given up to free its bytes
	closed      bool
}

// Do sends a request and reads the head of its response. After an error that is neither
// ErrUnreachable nor ErrNotSent, the endpoint may have received the request. The context bounds
// the call until Close.
func (p *Pool) Do(c context.Context, q Request) (*Response, error) {
	n := p.get(q.Endpoint, q.Address, q.MaxIdle)
	if n == nil {
		var err error
		if n, err = p.dial(c, q.Endpoint, q.Address); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
	}
	n.id, n.address = q.Endpoint, q.Address
	if q.ShouldSend != nil && !q.ShouldSend() {
		p.put(q.Address, n)
		return nil, ErrNotSent
	}
	n.calls++
	p.begin(n, q)
	defer p.watch(n, q)()
	// A deadline in the past interrupts pending reads and writes when the context is done.
	stop := context.AfterFunc(c, func() { _ = n.net.SetDeadline(time.Unix(1, 0)) })
	wrote := make(chan error, 1)
	go func() { wrote <- writeRequest(n, q) }()
	head, err := readHead(n, q) //nolint:bodyclose // Answer.Close ends the connection or keeps it
	if err != nil {
		stop()
		p.end(n)
		n.reset()
		if c.Err() != nil {
			err = c.Err()
		}
		return nil, err
	}
	p.recordTraffic(n)
	resp := &Response{Status: head.StatusCode, Header: head.Header, conn: n, pool: p, address: q.Address, raw: head, writeResult: wrote, detach: stop, Via: n.via}
	resp.Body = &body{resp}
	kind, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	resp.EventStream = strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
	return resp, nil
}

// watch has the link of a direct connection checked if the response is overdue. The function that it returns ends
// the check.
func (p *Pool) watch(n *Conn, q Request) (end func()) {
	if q.Overdue <= 0 || n.via != "" {
		return func() {}
	}
	sent := boottime.Now()
	t := time.AfterFunc(q.Overdue, func() { p.CheckLink(q.Endpoint, q.Address, sent) })
	return func() { t.Stop() }
}

// recordTraffic records that something arrived on a connection.
func (p *Pool) recordTraffic(n *Conn) {
	p.mu.Lock()
	n.heard = boottime.Now()
	p.mu.Unlock()
	if n.via == "" {
		p.connector().RecordTraffic(n.id)
	}
}

// writeRequest sends the whole request in one write.
func writeRequest(n *Conn, q Request) error {
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
	if _, err := n.data.Write(b.Bytes()); err != nil {
		return fmt.Errorf("send to %s: %w", q.Address, err)
	}
	return nil
}

// readHead reads the head of the response to the request. Informational responses and late
// responses to earlier requests on the same connection are skipped. After a response with an invalid status nothing is read: its
// body may look like another response.
func readHead(n *Conn, q Request) (*http.Response, error) {
	informational := 0
	for range maxMismatched + 1 {
		r, err := readFinalHead(n, q, &informational)
		if err != nil {
			return nil, err
		}
		if q.Matches(r.Header) {
			return r, nil
		}
		if r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 || r.Body == http.NoBody && announcesBody(r) {
			break
		}
		if !discard(r.Body, maxMismatchedBytes) {
			break
		}
	}
	return nil, fmt.Errorf("%s: %w", q.Address, errMismatched)
}

// readFinalHead reads the head of a response, and skips the informational ones before it, which it counts.
func readFinalHead(n *Conn, q Request, informational *int) (*http.Response, error) {
	for {
		n.limiter.limit(maxHeadBytes)
		r, err := http.ReadResponse(n.reader, &http.Request{Method: q.Method})
		n.limiter.unlimit()
		if err != nil {
			return nil, fmt.Errorf("read the answer of %s: %w", q.Address, shorten(err))
		}
		if !httpstatus.IsInformational(r.StatusCode) {
			if err := httpstatus.Check(r.StatusCode); err != nil {
				return nil, fmt.Errorf("read the answer of %s: %w", q.Address, err)
			}
			return r, nil
		}
		if announcesBody(r) {
			return nil, fmt.Errorf("%s: %w", q.Address, errBody)
		}
		if *informational++; *informational > maxInformational {
			return nil, fmt.Errorf("%s: %w", q.Address, errManyInformational)
		}
	}
}

// announcesBody reports whether the head of a response says that a body follows, even if its status allows none.
func announcesBody(r *http.Response) bool {
	n := r.Header.Get("Content-Length")
	return n != "" && n != "0" || r.Header.Get("Transfer-Encoding") != "" || len(r.TransferEncoding) > 0
}

// body records in its Response when the end of the body has been read.
type body struct{ response *Response }

// Read reads from the body of the response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.raw.Body.Read(p)
	if n > 0 {
		b.response.pool.recordTraffic(b.response.conn)
	}
	if errors.Is(err, io.EOF) {
		b.response.complete = true
	} else if err != nil && b.response.dropped.Load() {
		err = bytebudget.ErrFull
	}
	return n, err
}

// Interrupt makes pending reads of Body fail.
func (r *Response) Interrupt() { _ = r.conn.net.SetDeadline(time.Unix(1, 0)) }

// Close ends the call and gives up what it holds; further calls do nothing.
func (r *Response) Close() {
	r.Finish()
	r.pool.Budget.Release(r)
}

// Finish ends the call and keeps what ReadAll returned in the budget until Close; further calls do nothing.
// The connection returns to the pool only if the response was read to its end, the request was sent completely,
// and neither side closes it. If the response is incomplete, the connection is reset.
func (r *Response) Finish() {
	if r.closed {
		return
	}
	r.closed = true
	r.pool.end(r.conn)
	r.pool.Budget.Settle(r)
	cancelled := !r.detach() || r.dropped.Load()
	if r.complete && !cancelled && !r.raw.Close && r.Framed() && r.requestSent() && r.conn.reader.Buffered() == 0 {
		r.conn.keepAlive = keepAliveTimeout(r.Header)
		r.pool.put(r.address, r.conn)
		return
	}
	if r.complete && !cancelled {
		_ = r.conn.net.Close()
		return
	}
	r.conn.reset()
}

// Framed reports whether the response has a content length or a transfer encoding, or can't have a body. The end of any
// other response is the end of the connection, so a truncated one looks complete.
func (r *Response) Framed() bool {
	return r.raw.ContentLength >= 0 || len(r.raw.TransferEncoding) > 0 || r.raw.Body == http.NoBody
}

// HasLength reports whether the response has a content length.
func (r *Response) HasLength() bool { return r.raw.ContentLength >= 0 }

// requestSent reports whether the request was sent completely. If the endpoint answers before
// that, the rest of the body is still to be sent and the connection can't be used for another
// request.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or zero if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
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
