package serviceproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/view"
)

// serveText answers each request with a text and closes its connection. It returns its address.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(c, text)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against responses that are cut and pass as whole, because they end with their connections and so look whole wherever
// they are cut. Those with a length, chunks or no body are whole if nothing is missing.
func TestCutResponsesPassAsWhole(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, method, text string
		whole              bool
		body               string
	}{
		{"length", "GET", ok + "Content-Length: 4\r\n\r\ntext", true, "text"},
		{"length, cut", "GET", ok + "Content-Length: 4\r\n\r\nte", false, ""},
		{"length zero", "GET", ok + "Content-Length: 0\r\n\r\n", true, ""},
		{"length, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ntext", true, "text"},
		{"length, compressed", "GET", ok + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\ntext", true, "text"},
		{"chunks", "GET", ok + chunked + "4\r\ntext\r\n0\r\n\r\n", true, "text"},
		{"chunks, compressed", "GET", ok + "Content-Encoding: gzip\r\n" + chunked + "4\r\ntext\r\n0\r\n\r\n", true, "text"},
		{"chunks, without the last", "GET", ok + chunked + "4\r\ntext\r\n", false, ""},
		{"chunks, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n" + chunked + "4\r\ntext\r\n0\r\n\r\n", false, ""},
		{"neither", "GET", ok + "\r\ntext", false, ""},
		{"neither, closes", "POST", ok + "Connection: close\r\n\r\ntext", false, ""},
		{"neither, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\ntext", false, ""},
		{"neither, compressed", "GET", ok + "Content-Encoding: gzip\r\n\r\ntext", false, ""},
		{"neither, nothing came", "GET", ok + "\r\n", false, ""},
		{"neither, an error", "GET", "HTTP/1.1 404 Not Found\r\n\r\ntext", false, ""},
		{"neither, too busy", "GET", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\ntext", false, ""},
		{"no body: HEAD", "HEAD", ok + "\r\n", true, ""},
		{"no body: HEAD with a length", "HEAD", ok + "Content-Length: 4\r\n\r\n", true, ""},
		{"no body: status 204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", true, ""},
		{"no body: status 304", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", true, ""},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			p := New()
			p.view = &view.View{}
			s := &view.EndpointState{Endpoint: fleet.Endpoint{Box: fleet.Box{Address: serveText(t, c.text)}}, InFlight: &atomic.Int64{}}
			for _, repeatable := range []bool{false, true} {
				q := Request{Method: c.method, Path: "/x", Header: http.Header{"Accept-Encoding": {"gzip"}}, Repeatable: repeatable}
				resp, interruption, err := p.attempt(t.Context(), q, s, 1)
				if !c.whole {
					require.Error(t, err)
					require.Equal(t, recovery.Disconnected, interruption)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, c.body, string(resp.Body))
			}
		})
	}
}
