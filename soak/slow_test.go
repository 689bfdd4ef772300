package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/soak"
)

// The pieces of a slow request are the whole request, and take the time that was asked for.
func TestSlowPieces(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, d := range [][2]time.Duration{{}, {time.Second, 0}, {0, 3 * time.Second}, {time.Second, 3 * time.Second}} {
			q, err := standin.NewRequest("localhost:1", "/slow-once/x", "s-1-2-3", time.Second)
			require.NoError(t, err)
			pieces, took, err := soak.SlowPieces(q, chunked, d[0], d[1])
			require.NoError(t, err)
			require.Equal(t, d[0] > 0 || d[1] > 0, took > 0)
			require.InDelta(t, d[0]+d[1], took, float64(time.Second/4))
			got, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Join(pieces, ""))))
			require.NoError(t, err)
			require.Equal(t, chunked, len(got.TransferEncoding) > 0)
			require.Equal(t, "s-1-2-3", got.Header.Get("X-Request-Id"))
			b, err := io.ReadAll(got.Body)
			require.NoError(t, err)
			require.Equal(t, "body of s-1-2-3", string(b))
		}
	}
}

// Guards against bodies that boxes cut for no reason: only another attempt, or a fault, may be one.
func TestCutBodies(t *testing.T) {
	a := &standin.Audit{}
	for id, servers := range map[string]int{"once": 1, "once-twice": 2, "again": 1, "again-twice": 2, "faulty": 1} {
		for range servers {
			h := httptest.NewServer(&standin.Server{ID: "i", Slots: 1, Audit: a})
			c, err := net.Dial("tcp", h.Listener.Addr().String())
			require.NoError(t, err)
			_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Expect-Instance: i\r\nX-Work-Ms: 1\r\nContent-Length: 9\r\n\r\nbo", id)
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			_, err = io.Copy(io.Discard, c) // until the server has given it up
			require.NoError(t, err)
			require.NoError(t, c.Close())
			h.Close()
		}
	}
	require.Len(t, a.Cut(), 5)
	v := soak.CheckBodies(a, map[string]string{"once": "/slow-once/x", "once-twice": "/slow-stream-fixed/x", "again": "/slow-again/x", "again-twice": "/slow-stream/x"})
	slices.Sort(v)
	require.Len(t, v, 3)
	for i, id := range []string{"again ", "once ", "once-twice "} {
		require.Contains(t, v[i], id)
	}
}
