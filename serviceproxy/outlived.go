package serviceproxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/liveness"
	"birchlink.dev/birchlink/view"
)

var (
	errPartOfJSON   = errors.New("the body is part of a JSON text")
	errOtherProcess = errors.New("another process answers at the endpoint's address")
)

// confirmEnd returns nil if a response that has ended in order with its connection, and has neither length nor chunks, is whole: the
// endpoint has closed the connection itself, since its process has outlived that.
func (p *Proxy) confirmEnd(c context.Context, h http.Header, body []byte, s *view.EndpointState) error {
	ended := boottime.Now()
	if jsonhttp.IsPart(h, body) {
		return errPartOfJSON
	}
	var ask liveness.AskFunc
	if s.Incarnation != "" {
		ask = func(c context.Context) error { return p.askIncarnation(c, s) }
	}
	return p.prober.Outlives(c, s.ProcessID(), ended, ask).Err
}

// askIncarnation returns nil if the process of an endpoint answers over a new connection.
func (p *Proxy) askIncarnation(c context.Context, s *view.EndpointState) error {
	var l fleet.Load
	h := jsonhttp.Client{Base: "http://" + s.Address, HTTP: p.questions}
	if err := h.Do(c, http.MethodGet, "/load", nil, &l); err != nil {
		return fmt.Errorf("ask %s for its load: %w", s.Name, err)
	}
	if l.Incarnation != s.Incarnation {
		return errOtherProcess
	}
	return nil
}
