package ingress

import (
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
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/stand/memstore"
)

// plainCodec is a codec without headers.
type plainCodec struct{}

func (plainCodec) Decode(_ *http.Request, arrived time.Time) (*call.Call, error) {
	return &call.Call{Arrived: arrived}, nil
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
// so that it refuses all requests.
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
				i.setServers()
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
