package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/httpconn"
)

// links is a connector whose links have the state that the test sets.
type links struct {
	mu       sync.Mutex
	via      string // of new connections
	lost     bool
	reusable time.Time
	connects int
	traffic  int
	checked  chan struct{}
}

// viaConn is a connection through another box.
type viaConn struct {
	*net.TCPConn
	via string
}

func (c viaConn) Via() string { return c.via }

func (l *links) Connect(c context.Context, _, address string) (net.Conn, error) {
	n, err := (&net.Dialer{}).DialContext(c, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connects++
	if l.via == "" {
		return n, nil
	}
	return viaConn{n.(*net.TCPConn), l.via}, nil
}

func (l *links) Refuses(context.Context, string, string, time.Duration) (net.Conn, bool) {
	return nil, false
}

func (l *links) Check(string, string, time.Time) { l.checked <- struct{}{} }

func (l *links) RecordTraffic(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic++
}

func (l *links) ReusableSince(string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reusable
}

func (l *links) IsLost(string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// set changes the state of the links.
func (l *links) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// newLinks returns a pool over links, and a function that makes a call of the endpoint and returns through
// which box it went.
func newLinks(t *testing.T, h http.HandlerFunc) (*links, *httpconn.Pool, func(q httpconn.Request) string) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	l := &links{checked: make(chan struct{}, 8)}
	p := &httpconn.Pool{Connector: l}
	return l, p, func(q httpconn.Request) string {
		q.Endpoint, q.Address, q.Method, q.Target, q.Host = "e", s.Listener.Addr().String(), http.MethodGet, "/", "h"
		q.MaxIdle, q.Matches = time.Minute, func(http.Header) bool { return true }
		a, err := p.Do(t.Context(), q)
		if err != nil {
			return "failed"
		}
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		a.Close()
		return a.Via
	}
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// A connection that was idle when its link fell silent is not used again: a request on it would be lost.
func TestSilencedIdleConnection(t *testing.T) {
	l, p, call := newLinks(t, answer)
	for range 3 {
		require.Empty(t, call(httpconn.Request{}))
	}
	require.Equal(t, 1, l.connects)
	require.Positive(t, l.traffic)
	l.set(func() { l.reusable = boottime.Now() })
	require.Empty(t, call(httpconn.Request{}))
	require.Equal(t, 2, l.connects)
	require.Equal(t, 1, p.CountIdle())
}

// Calls go through another box only while the link is lost, and what they receive shows nothing of the
// link.
func TestConnectionThroughOtherBox(t *testing.T) {
	l, p, call := newLinks(t, answer)
	l.set(func() { l.via, l.lost = "other", true })
	require.Equal(t, "other", call(httpconn.Request{}))
	require.Equal(t, "other", call(httpconn.Request{}))
	require.Equal(t, 1, l.connects)
	require.Zero(t, l.traffic)
	l.set(func() { l.via, l.lost = "", false })
	require.Empty(t, call(httpconn.Request{}))
	require.Equal(t, 2, l.connects)
	p.Sweep()
	require.Equal(t, 1, p.CountIdle())
}

// A call whose answer is overdue has its link checked. It is abandoned if the link has fallen silent, but
// not if only new connections are refused.
func TestAbandonedCall(t *testing.T) {
	blocked := make(chan struct{})
	l, p, call := newLinks(t, func(_ http.ResponseWriter, r *http.Request) {
		<-blocked
	})
	defer close(blocked)
	c, cancel := context.WithCancelCause(t.Context())
	done := make(chan string, 1)
	go func() { done <- call(httpconn.Request{Overdue: time.Millisecond, Abandon: func() { cancel(nil) }}) }()
	<-l.checked
	p.AbandonSilent("e")
	require.NoError(t, c.Err())
	l.set(func() { l.reusable = boottime.Now() })
	p.AbandonSilent("other")
	require.NoError(t, c.Err())
	p.AbandonSilent("e")
	require.Error(t, c.Err())
}
