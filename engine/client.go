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

	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/rest"
)

// callLimit bounds a call that is no stream.
const callLimit = 2 * time.Second

// maxLine bounds one line of a stream, in bytes.
const maxLine = 64 << 10

// The ways in which an engine says that it will not stream.
var (
	ErrNotRun      = errors.New("the engine did not run it")
	ErrRestarted   = errors.New("the engine is another process now")
	ErrUnreachable = errors.New("no connection to the engine")
	ErrEnded       = errors.New("nothing listens at the engine's address")
)

// RestError says that an engine did not run it, and for how long it wants nothing.
type RestError struct{ For time.Duration }

// Error returns what the engine asks for.
func (e *RestError) Error() string {
	return ErrNotRun.Error() + ", and asks for rest: " + e.For.String()
}

// Unwrap returns ErrNotRun.
func (e *RestError) Unwrap() error { return ErrNotRun }

// Client calls model engines by address.
type Client struct {
	Caller string

	streams *http.Client
	calls   *http.Client
}

// NewClient returns a client that names its caller.
func NewClient(caller string) *Client {
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{Caller: caller, streams: &http.Client{Transport: t}, calls: &http.Client{Transport: t, Timeout: callLimit}}
}

// Close ends idle connections.
func (c *Client) Close() { c.streams.CloseIdleConnections() }

// Stream is an open stream of lines.
type Stream struct {
	body io.ReadCloser
	scan *bufio.Scanner
}

// Next returns the next line. The error is io.EOF at the end of the stream,
// which is no proof that the answer was whole.
func (s *Stream) Next() (Line, error) {
	if !s.scan.Scan() {
		if err := s.scan.Err(); err != nil {
			return Line{}, fmt.Errorf("read line: %w", err)
		}
		return Line{}, io.EOF
	}
	var l Line
	if err := json.Unmarshal(s.scan.Bytes(), &l); err != nil {
		return Line{}, fmt.Errorf("decode line: %w", err)
	}
	return l, nil
}

// Close ends the stream. The engine goes on with the attempt.
func (s *Stream) Close() error { return s.body.Close() }

// Generate begins an attempt. ErrNotRun and ErrUnreachable mean that it did not
// run; after another error it may have.
func (c *Client) Generate(x context.Context, address string, q Request) (*Stream, error) {
	s, err := c.open(x, address, "/generate", q)
	if errors.Is(err, ErrRestarted) {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return s, err
}

// Resume reads an attempt from a token on. ErrNotRun means that the engine
// never saw the attempt and will refuse it.
func (c *Client) Resume(x context.Context, address string, a Attempt) (*Stream, error) {
	return c.open(x, address, "/resume", a)
}

func (c *Client) open(x context.Context, address, path string, in any) (*Stream, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set(jsonhttp.CallerHeader, c.Caller)
	a, err := c.streams.Do(r)
	if err != nil {
		return nil, classify(err)
	}
	if a.StatusCode != http.StatusOK {
		defer a.Body.Close()
		if d := rest.ParseRetryAfter(a.Header); d > 0 && a.StatusCode == http.StatusServiceUnavailable {
			return nil, &RestError{d}
		}
		return nil, refusal(a.StatusCode)
	}
	s := bufio.NewScanner(a.Body)
	s.Buffer(nil, maxLine)
	return &Stream{body: a.Body, scan: s}, nil
}

func classify(err error) error {
	var o *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w: %w", ErrUnreachable, ErrEnded, err)
	}
	if errors.As(err, &o) && o.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("call engine: %w", err)
}

func refusal(status int) error {
	switch status {
	case http.StatusPreconditionFailed:
		return ErrRestarted
	case http.StatusNotFound, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
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
		return fmt.Errorf("%w: %w", refusal(s.Status), err)
	}
	if err != nil {
		return classify(err)
	}
	return nil
}

// Cancel stops an attempt and returns its final state. Without an error the
// attempt will not go on.
func (c *Client) Cancel(x context.Context, address string, a Attempt) (Cancelled, error) {
	var s Cancelled
	err := c.call(x, address, "/cancel", a, &s)
	return s, err
}

// Export stops an attempt and returns a handle of its KV cache.
func (c *Client) Export(x context.Context, address string, a Attempt) (Export, error) {
	var e Export
	err := c.call(x, address, "/export", a, &e)
	e.Source = address
	return e, err
}

// Import makes an engine fetch exported KV cache.
func (c *Client) Import(x context.Context, address string, e Export) error {
	return c.call(x, address, "/import", e, nil)
}

// Order gives an engine its orders. ErrFenced means that a later giver's orders
// are in force.
func (c *Client) Order(x context.Context, address string, o Orders) error {
	h := jsonhttp.Client{Base: "http://" + address, Caller: c.Caller, HTTP: c.streams}
	err := h.Do(x, http.MethodPost, "/orders", o, nil)
	var s *jsonhttp.StatusError
	if errors.As(err, &s) && s.Status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// ErrFenced is returned when an engine has orders with a higher fence.
var ErrFenced = errors.New("a later giver's orders are in force")

// Orders reads back what orders an engine has.
func (c *Client) Orders(x context.Context, address string) (Orders, error) {
	var o Orders
	h := jsonhttp.Client{Base: "http://" + address, Caller: c.Caller, HTTP: c.calls}
	err := h.Do(x, http.MethodGet, "/orders", nil, &o)
	return o, err
}
