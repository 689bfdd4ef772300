package ingress

import (
	"bufio"
	"context"
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

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
)

// plainCodec is a codec without headers.
type plainCodec struct{}

func (plainCodec) Decode(r *http.Request, arrived time.Time) (*call.Call, error) {
	return &call.Call{Arrived: arrived, Host: r.Host, Path: r.URL.Path}, nil
}

func (plainCodec) ResponseHeader(h http.Header) http.Header { return h }

func (plainCodec) SetErrorHeader(http.Header, *call.Call) {}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneConn) Close() error { return nil }

func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// endingConn calls ended when it is closed.
type endingConn struct {
	net.Conn
	ended func()
}

func (c endingConn) Close() error {
	defer c.ended()
	return c.Conn.Close()
}

// Guards against connections that are held without end, or take bytes without end, in any state. The box has no configuration,
// so that it refuses all requests and closes their connections, or one without their path, so that it refuses them and keeps these.
func TestConnectionsEnd(t *testing.T) {
	const longest = idleTimeout + bodyTimeout
	get, post := "GET /ready HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name  string
		ready bool
		bytes string // sent first
		then  string // sent every second, until the connection ends
		reads bool
		most  int // bytes that are taken
	}{
		{"nothing is sent", false, "", "", true, 0},
		{"head comes slowly", false, post, "X: y\r\n", true, 1 << 10},
		{"head has no end", false, post + strings.Repeat("X: y\r\n", 32<<10), "X: y\r\n", true, 96 << 10},
		{"body never comes", false, post + "Content-Length: 9\r\n\r\n", "", true, 1 << 10},
		{"body comes slowly", false, post + "Content-Length: 999999\r\n\r\n", "x", true, 1 << 10},
		{"answer is not read", false, post + "Content-Length: 0\r\n\r\n", "", false, 1 << 10},
		{"idle", false, post + "Content-Length: 0\r\n\r\n", "", true, 1 << 10},
		{"kept: answer is not read", false, post + "Content-Length: 0\r\n\r\n", "", false, 1 << 10},
		{"kept: idle", false, post + "Content-Length: 0\r\n\r\n", "", true, 1 << 10},
		{"ready: nothing is sent", true, "", "", true, 0},
		{"ready: head has no end", true, get + strings.Repeat("X: y\r\n", 16<<10), "X: y\r\n", true, 32 << 10},
		{"ready: body never comes", true, get + "Content-Length: 9\r\n\r\n", "", true, 1 << 10},
		{"ready: answer is not read", true, get + "\r\n", "", false, 1 << 10},
		{"ready: idle", true, get + "\r\n", "", true, 1 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := New(Options{ReadyPath: "/ready"}, plainCodec{}, nil, nil, nil, metrics.NewRegistry(), zerolog.Nop())
				i.state = fleetstate.New(fleetstate.Source{}, &memstore.Store{}, zerolog.Nop())
				i.session = storesession.New(&memstore.Store{}, zerolog.Nop())
				i.setServers()
				if strings.HasPrefix(c.name, "kept: ") {
					i = newServing(t)
				}
				s := i.server
				if c.ready {
					s = i.readyServer
				}
				near, far := net.Pipe()
				ended, cancel := context.WithCancel(t.Context())
				l := oneConn{conns: make(chan net.Conn, 1)}
				l.conns <- endingConn{far, cancel}
				go func() { _ = s.Serve(l) }()
				defer func() {
					near.Close()
					close(l.conns)
					_ = s.Close()
				}()
				if c.reads {
					go func() { _, _ = io.Copy(io.Discard, near) }()
				}
				began := time.Now()
				_ = near.SetWriteDeadline(began.Add(longest + time.Second))
				taken := 0
				for text := c.bytes; ended.Err() == nil && time.Since(began) <= longest; text = c.then {
					if text != "" {
						n, _ := near.Write([]byte(text))
						taken += n
					}
					select {
					case <-ended.Done():
					case <-time.After(time.Second):
					}
				}
				require.LessOrEqual(t, time.Since(began), longest)
				require.LessOrEqual(t, taken, c.most)
			})
		})
	}
}

// newServing returns a box with one route.
func newServing(t *testing.T) *Ingress {
	t.Helper()
	i := New(Options{}, plainCodec{}, &forward.Forwarder{}, nil, nil, metrics.NewRegistry(), zerolog.Nop())
	i.state = fleetstate.New(fleetstate.Source{DecodeConfig: func([]byte) (*catalog.Document, error) {
		routes := []catalog.Route{{Host: "h", Prefix: "/a/", Public: true, Shares: []catalog.Share{{Service: "s"}}}}
		return &catalog.Document{Version: 1, Routes: routes}, nil
	}}, &memstore.Store{}, zerolog.Nop())
	i.session = storesession.New(&memstore.Store{}, zerolog.Nop())
	require.NoError(t, i.state.Install(nil, "test"))
	i.state.Merge(fleetstate.Records{Whole: true, To: 1})
	i.setServers()
	return i
}

// serveConn serves one connection of a box with one route, and returns the caller's end of it.
func serveConn(t *testing.T) net.Conn {
	t.Helper()
	i := newServing(t)
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

// Guards against 4xx for a proper request whose body comes slower than the box waits for it: it has not run, and may be sent again.
// It also guards against refusals that wait for a body, after which the connection was closed without an answer. They wait as long as
// a body needs that is on its way, so that the connection can be kept.
func TestBodiesThatComeLate(t *testing.T) {
	for _, c := range []struct {
		name, path string
		status     int
		after      time.Duration
	}{
		{"the body is waited for", "/a/x", http.StatusRequestTimeout, bodyTimeout},
		{"the request is refused", "/none", http.StatusServiceUnavailable, drainTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, began := serveConn(t), time.Now()
				_, err := io.WriteString(n, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(n), nil)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, c.after, time.Since(began))
			})
		})
	}
}

// Guards against whole streams that break off because they end a while after their last event.
func TestStreamsEndLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := New(Options{}, plainCodec{}, nil, nil, nil, metrics.NewRegistry(), zerolog.Nop())
		near, far := net.Pipe()
		l := oneConn{conns: make(chan net.Conn, 1)}
		l.conns <- far
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			k := &sink{w: w, ingress: i}
			_ = k.Head(http.StatusOK, http.Header{})
			_ = k.Event([]byte("data: last\n\n"))
			time.Sleep(2 * writeTimeout)
			k.end()
		})}
		go func() { _ = s.Serve(l) }()
		defer func() {
			near.Close()
			close(l.conns)
			_ = s.Close()
		}()
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "data: last\n\n", string(b))
	})
}
