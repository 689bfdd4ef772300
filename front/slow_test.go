package front

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/configsync"
)

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
	const longest, most = 5 * time.Minute, 64 << 10
	get, post := "GET /ready HTTP/1.1\r\nHost: h\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name  string
		bytes string // sent first
		then  string // sent every second, until the connection ends
		reads bool
	}{
		{"nothing is sent", "", "", true},
		{"head comes slowly", post, "X: y\r\n", true},
		{"head has no end", post + strings.Repeat("X: y\r\n", 16<<10), "X: y\r\n", true},
		{"body never comes", post + "Content-Length: 9\r\n\r\n", "", true},
		{"body comes slowly", post + "Content-Length: 9999\r\n\r\n", "x", true},
		{"answer is not read", post + "Content-Length: 0\r\n\r\n", "", false},
		{"ready: body never comes", get + "Content-Length: 9\r\n\r\n", "", true},
		{"ready: answer is not read", get + "\r\n", "", false},
		{"unknown path: body never comes", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", "", true},
		{"idle", get + "\r\n", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(Options{MaxBody: 1 << 20, MaxRequests: 9}, metrics.NewRegistry(), zerolog.Nop())
				f.follower = &configsync.Follower{}
				s := f.newServer()
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
				require.LessOrEqual(t, taken, most)
			})
		})
	}
}
