package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/stream"
)

// start starts a box without a configuration, which refuses all requests.
func start(t *testing.T) *Front {
	t.Helper()
	f := New(Options{Address: "127.0.0.1:0", MaxBody: 1 << 10, MaxRequests: 9}, metrics.NewRegistry(), zerolog.Nop())
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{&dispatch.Dispatcher{}, &stream.Service{}, &serviceproxy.Proxy{}, &configsync.Follower{}} {
		require.NoError(t, k.Add(s))
	}
	require.NoError(t, f.Start(t.Context(), k))
	t.Cleanup(func() { _ = f.server.Shutdown(context.Background()) })
	return f
}

// Guards against refusals that callers don't get, since a reset makes their writes of the body fail.
func TestRefusedUploadsAreReset(t *testing.T) {
	f := start(t)
	for _, path := range []string{"/v1/chat/completions", "/nowhere"} {
		for _, header := range []string{"", "Connection: close\r\n"} {
			for _, size := range []int{100 << 10, 900 << 10, 20 << 20} {
				t.Run(fmt.Sprint(path, header, size), func(t *testing.T) {
					n, err := net.Dial("tcp", f.Addr())
					require.NoError(t, err)
					defer n.Close()
					r, header := bufio.NewReader(n), header
					for isKept := true; isKept; {
						_, err = fmt.Fprintf(n, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", path, header, size)
						require.NoError(t, err)
						_, err = n.Write(make([]byte, size))
						require.NoError(t, err)
						resp, err := http.ReadResponse(r, nil)
						require.NoError(t, err)
						require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
						_, err = io.Copy(io.Discard, resp.Body)
						require.NoError(t, err)
						require.NoError(t, resp.Body.Close())
						isKept, header = !resp.Close, "Connection: close\r\n"
					}
				})
			}
		}
	}
}

// Guards against refusals that wait for a body, after which the connection was closed without an answer.
func TestRefusalsWaitForBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{MaxBody: 1 << 20, MaxRequests: 9}, metrics.NewRegistry(), zerolog.Nop())
		f.follower = &configsync.Follower{}
		s := f.newServer()
		near, far := net.Pipe()
		l := oneConn{conns: make(chan net.Conn, 1)}
		l.conns <- far
		go func() { _ = s.Serve(l) }()
		defer func() {
			near.Close()
			close(l.conns)
			_ = s.Close()
		}()
		began := time.Now()
		_, err := io.WriteString(near, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, drainTimeout, time.Since(began))
	})
}
