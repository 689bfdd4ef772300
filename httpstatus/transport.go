package httpstatus

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns an error that wraps ErrInvalid in place of a response with an invalid status, and closes
// its connection. http.Transport, which returns such responses, skips informational ones and bounds them by their bytes.
type Transport struct{ Base http.RoundTripper }

// RoundTrip makes a request over t.Base.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	x := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }})
	resp, err := t.Base.RoundTrip(r.WithContext(x))
	if err != nil {
		return nil, err
	}
	if err := Check(resp.StatusCode); err != nil {
		if conn != nil {
			_ = conn.Close() // it is idle already if the response has no body
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of t.Base.
func (t Transport) CloseIdleConnections() {
	if b, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		b.CloseIdleConnections()
	}
}
