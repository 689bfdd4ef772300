// Package jsonhttp provides a client and server helpers for small JSON requests over HTTP, as used
// by the platform's services and the endpoints.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"birchlink.dev/birchlink/httpstatus"
)

// MaxBody is the maximum size of a request or response body, in bytes, and MaxHeader that of a response's head.
const (
	MaxBody   = 4 << 20
	MaxHeader = 64 << 10
)

// CallerHeader is the header that names the caller. Platform services count requests by it.
const CallerHeader = "Birchlink-Caller"

// Client sends JSON requests to the base URL Base, such as "http://127.0.0.1:80". Caller is the value
// of CallerHeader.
type Client struct {
	Base   string
	Caller string
	HTTP   *http.Client
}

// New returns a client for the address host:port that applies timeout to each request.
func New(address, caller string, timeout time.Duration) *Client {
	return &Client{Base: "http://" + address, Caller: caller, HTTP: NewHTTPClient(timeout)}
}

// NewHTTPClient returns a client that applies timeout to each request, takes heads of responses of up to MaxHeader, fails if
// the status of a response is not valid, and follows no redirects.
func NewHTTPClient(timeout time.Duration) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxHeader
	return httpstatus.NewClient(t, timeout)
}

// StatusError is the error for a response whose status is not 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body of the response.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Do sends a request with in encoded as JSON, or without a body if in is nil. It decodes the response
// into out unless out is nil. If the status of the response is not 2xx, the error is a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	var b io.Reader
	if in != nil {
		d, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode call: %w", err)
		}
		b = bytes.NewReader(d)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, b)
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(CallerHeader, c.Caller)
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	defer resp.Body.Close()
	return decodeResponse(resp, out)
}

func decodeResponse(resp *http.Response, out any) error {
	d, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(d) > MaxBody {
		return fmt.Errorf("the answer is over %d bytes", MaxBody)
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(d)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(d, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
