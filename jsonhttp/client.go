// Package jsonhttp makes and answers small JSON calls over HTTP, as the
// platform's services and the endpoints take them.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// MaxBody bounds what is read of one answer, in bytes.
const MaxBody = 4 << 20

// CallerHeader tells a platform service who calls, for its counts.
const CallerHeader = "Birchlink-Caller"

// Client makes JSON calls to one base address such as "http://127.0.0.1:80".
type Client struct {
	Base   string
	Caller string
	HTTP   *http.Client
}

// New returns a client for a host and port with a time limit for each call.
func New(address, caller string, limit time.Duration) *Client {
	return &Client{Base: "http://" + address, Caller: caller, HTTP: &http.Client{Timeout: limit}}
}

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Do sends in as JSON, unless it is nil, and reads the answer into out, unless
// that is nil. The error is a *StatusError when the far side answered.
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
	a, err := c.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	defer a.Body.Close()
	return read(a, out)
}

func read(a *http.Response, out any) error {
	d, err := io.ReadAll(io.LimitReader(a.Body, MaxBody))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if a.StatusCode/100 != 2 {
		return &StatusError{Status: a.StatusCode, Body: string(d)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(d, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
