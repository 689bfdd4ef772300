package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/startup"
	"birchlink.dev/birchlink/storesession"
)

// newStarting returns a box that has just started and knows nothing.
func newStarting() *Ingress {
	i := New(Options{}, plainCodec{}, &forward.Forwarder{Shutdown: &shutdown.Window{}}, nil, nil, metrics.NewRegistry(), zerolog.Nop())
	i.state = fleetstate.New(fleetstate.Source{DecodeConfig: func([]byte) (*catalog.Document, error) {
		return &catalog.Document{Version: 1}, nil
	}}, &memstore.Store{}, zerolog.Nop())
	i.session = storesession.New(&memstore.Store{}, zerolog.Nop())
	i.started = boottime.Now()
	i.setServers()
	return i
}

// serveOne serves one connection, and returns the caller's end of it.
func serveOne(t *testing.T, i *Ingress) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- far
	go func() { _ = i.server.Serve(l) }()
	t.Cleanup(func() {
		near.Close()
		close(l.conns)
		_ = i.server.Close()
	})
	return near
}

// Guards against refusals of requests that a box could answer a moment later: callers that kept their connections in use got hundreds
// of them between the start of a process and the moment at which it knew the configuration. What can't be held for longer is refused
// with the end of its connection, since that may have been opened to a box that serves by then.
func TestStartingBoxRefusesRequests(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name                        string
		arrives, known, read, stops time.Duration // since the start
		body                        string
		code, text                  string // of the answer
		after                       time.Duration
		retryAfter                  string
		closes                      bool
	}{
		{"known soon", 0, 150 * time.Millisecond, 100 * time.Millisecond, never, "", "not_ready", "no route for", 150 * time.Millisecond, "0.50", false},
		{"endpoints are read last", 0, 100 * time.Millisecond, 150 * time.Millisecond, never, "", "not_ready", "no route for", 150 * time.Millisecond, "0.50", false},
		{"with a body", 0, 100 * time.Millisecond, 150 * time.Millisecond, never, "body", "not_ready", "no route for", 150 * time.Millisecond, "0.50", false},
		{"known before", time.Second, 150 * time.Millisecond, 0, never, "", "not_ready", "no route for", 0, "0.50", false},
		{"known late", time.Second, 1800 * time.Millisecond, 0, never, "", "not_ready", "no configuration yet", startup.MaxWait, "0.05", true},
		{"endpoints are never read", 0, 100 * time.Millisecond, never, never, "", "not_ready", "no configuration yet", startup.MaxWait, "0.05", true},
		{"not known for long", 3 * time.Second, 3100 * time.Millisecond, 0, never, "", "not_ready", "no configuration yet", 0, "0.50", true},
		{"box stops", 0, never, 0, 100 * time.Millisecond, "", "stopping", "this box stops", 100 * time.Millisecond, "0.05", true},
		{"box has stopped", 200 * time.Millisecond, never, 0, 100 * time.Millisecond, "", "stopping", "this box stops", 0, "0.05", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newStarting()
				i.ShutdownDelay, i.ShutdownTimeout = time.Second, 2*time.Second
				time.AfterFunc(c.known, func() { _ = i.state.Install(nil, "test") })
				time.AfterFunc(c.read, func() { i.state.Merge(fleetstate.Records{Whole: true, To: 1}) })
				time.AfterFunc(c.stops, func() { _ = i.Stop(context.Background()) })
				n := serveOne(t, i)
				time.Sleep(c.arrives)
				synctest.Wait()
				arrived := time.Now()
				q, err := http.NewRequest(http.MethodPost, "http://h/none", http.NoBody)
				require.NoError(t, err)
				if c.body != "" {
					q.Body, q.ContentLength = io.NopCloser(strings.NewReader(c.body)), -1
				}
				go func() { _ = q.Write(n) }()
				resp, err := http.ReadResponse(bufio.NewReader(n), q)
				require.NoError(t, err)
				defer resp.Body.Close()
				var e openai.Error
				require.NoError(t, json.NewDecoder(resp.Body).Decode(&e))
				require.Equal(t, c.after, time.Since(arrived))
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, c.code, e.Error.Code)
				require.Contains(t, e.Error.Message, c.text)
				require.Equal(t, "not_run", e.Error.Run)
				require.Equal(t, c.retryAfter, resp.Header.Get("Retry-After"))
				require.Equal(t, c.closes, resp.Close)
				time.Sleep(2 * never)
			})
		})
	}
}
