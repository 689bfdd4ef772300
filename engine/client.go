package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/jsonhttp"
)

// callTimeout bounds a call that does not stream its response.
const callTimeout = 2 * time.Second

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 64 << 10

// Errors of calls to an engine. ErrNotListening is always wrapped together with ErrUnreachable.
var (
	ErrNotRun       = errors.New("the engine did not run it")
	ErrRestarted    = errors.New("the engine is another process now")
	ErrUnreachable  = errors.New("no connection to the engine")
	ErrNotListening = errors.New("nothing listens at the engine's address")
)

// BackOffError reports that an engine did not run an attempt, and for how long it wants no further
// work. It wraps ErrNotRun.
type BackOffError struct{ Duration time.Duration }

// Error returns a text with the requested duration.
func (e *BackOffError) Error() string {
	return ErrNotRun.Error() + ", and asks for rest: " + e.Duration.String()
}

// Unwrap returns ErrNotRun.
func (e *BackOffError) Unwrap() error { return ErrNotRun }

// Client calls model engines by address. It is safe for concurrent use.
type Client struct {
	Caller string // name of this caller, sent with each request

	streams *http.Client
	calls   *http.Client
}

// NewClient returns a client that identifies itself as caller.
func NewClient(caller string) *Client {
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: jsonhttp.MaxHeader,
	}
	return &Client{Caller: caller, streams: httpstatus.NewClient(t, 0), calls: httpstatus.NewClient(t, callTimeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.streams.CloseIdleConnections() }

// Stream is an open response stream of lines. It is not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Next returns the next line. At the end of the stream it returns io.EOF, also if the response is
// incomplete; only a line with End set completes it.
func (s *Stream) Next() (Line, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Line{}, fmt.Errorf("read line: %w", err)
		}
		return Line{}, io.EOF
	}
	var l Line
	if err := json.Unmarshal(s.scanner.Bytes(), &l); err != nil {
		return Line{}, fmt.Errorf("decode line: %w", err)
	}
	return l, nil
}

// Close closes the stream. The engine continues the attempt.
func (s *Stream) Close() error { return s.body.Close() }

// Generate starts an attempt. ErrNotRun and ErrUnreachable mean that it did not run; after any other
// error it may have run.
func (c *Client) Generate(x context.Context, address string, q Request) (*Stream, error) {
	return c.open(x, address, "/generate", q, refusalError)
}

// Resume reads an attempt from the token a.From on. ErrNotRun means that the engine never received
// the attempt and will refuse it.
func (c *Client) Resume(x context.Context, address string, a Attempt) (*Stream, error) {
	return c.open(x, address, "/resume", a, func(resp *http.Response) error { return attemptError(resp.StatusCode) })
}

// open opens a stream. The error for a response without one is that of failure.
func (c *Client) open(x context.Context, address, path string, in any, failure func(*http.Response) error) (*Stream, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set(jsonhttp.CallerHeader, c.Caller)
	resp, err := c.streams.Do(r)
	if err != nil {
		return nil, transportError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, failure(resp)
	}
	s := bufio.NewScanner(resp.Body)
	s.Buffer(nil, maxLineBytes)
	return &Stream{body: resp.Body, scanner: s}, nil
}

func transportError(err error) error {
	var o *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w: %w", ErrUnreachable, ErrNotListening, err)
	}
	if errors.As(err, &o) && o.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("call engine: %w", err)
}

// refusalError returns the error for a response to a new attempt that has no stream.
func refusalError(resp *http.Response) error {
	if d := backoff.ParseRetryAfter(resp.Header); d > 0 && resp.StatusCode == http.StatusServiceUnavailable {
		return &BackOffError{d}
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrNotRun
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %w", ErrNotRun, ErrRestarted)
	default:
		return attemptError(resp.StatusCode)
	}
}

// attemptError returns the error for the status of a response to a call that concerns an earlier attempt. An engine that refuses the
// call may run the attempt all the same; only 404 states that it never received it.
func attemptError(status int) error {
	switch status {
	case http.StatusPreconditionFailed:
		return ErrRestarted
	case http.StatusNotFound:
		return ErrNotRun
	default:
		return fmt.Errorf("engine answered status %d", status)
	}
}

func (c *Client) call(x context.Context, address, path string, in, out any) error {
	h := jsonhttp.Client{Base: "http://" + address, Caller: c.Caller, HTTP: c.calls}
	err := h.Do(x, http.MethodPost, path, in, out)
	var s *jsonhttp.StatusError
	if errors.As(err, &s) {
		return fmt.Errorf("%w: %w", attemptError(s.Status), err)
	}
	if err != nil {
		return transportError(err)
	}
	return nil
}

// Cancel stops an attempt and returns its final state. If the error is nil, the attempt does not
// continue.
func (c *Client) Cancel(x context.Context, address string, a Attempt) (Cancelled, error) {
	var s Cancelled
	err := c.call(x, address, "/cancel", a, &s)
	return s, err
}

// Export stops an attempt and returns a handle for its KV cache.
func (c *Client) Export(x context.Context, address string, a Attempt) (Export, error) {
	var e Export
	err := c.call(x, address, "/export", a, &e)
	e.Source = address
	return e, err
}

// Import makes an engine fetch an exported KV cache.
func (c *Client) Import(x context.Context, address string, e Export) error {
	return c.call(x, address, "/import", e, nil)
}

// SetOrders replaces the orders of an engine. It returns ErrFenced if the engine has orders with a
// higher fence.
func (c *Client) SetOrders(x context.Context, address string, o Orders) error {
	h := jsonhttp.Client{Base: "http://" + address, Caller: c.Caller, HTTP: c.streams}
	err := h.Do(x, http.MethodPost, "/orders", o, nil)
	var s *jsonhttp.StatusError
	if errors.As(err, &s) && s.Status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// ErrFenced reports that an engine has orders with a higher fence.
var ErrFenced = errors.New("orders with a higher fence are in force")

// Orders returns the current orders of an engine.
func (c *Client) Orders(x context.Context, address string) (Orders, error) {
	var o Orders
	h := jsonhttp.Client{Base: "http://" + address, Caller: c.Caller, HTTP: c.calls}
	err := h.Do(x, http.MethodGet, "/orders", nil, &o)
	return o, err
}
