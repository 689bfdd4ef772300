package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// upload sends a whole request before it reads the answer, and returns its status and whether the connection is kept.
func upload(t *testing.T, n net.Conn, path, key, header string, size int) (status int, isKept bool) {
	t.Helper()
	isChunked := size < 0
	framing, begin, end := fmt.Sprintf("Content-Length: %d\r\n", size), "", ""
	if isChunked {
		size = -size
		framing, begin, end = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", size), "\r\n0\r\n\r\n"
	}
	_, err := fmt.Fprintf(n, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: %s\r\n%s%s\r\n%s", path, key, header, framing, begin)
	require.NoError(t, err)
	_, err = n.Write(make([]byte, size))
	require.NoError(t, err)
	_, err = io.WriteString(n, end)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(n), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, !resp.Close
}

// Guards against refusals that callers don't get, since a reset makes their writes of the body fail.
func TestRefusedUploadsAreReset(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/a/x", "k", http.StatusRequestEntityTooLarge},
		{"/a/x", "unknown", http.StatusUnauthorized},
		{"/nowhere/x", "k", http.StatusNotFound},
	} {
		for _, header := range []string{"", "Connection: close\r\n"} {
			for _, size := range []int{100 << 10, 900 << 10, 20 << 20, -100 << 10, -20 << 20} { // negative in chunks
				t.Run(fmt.Sprint(c.status, header, size), func(t *testing.T) {
					header := header
					n, err := net.Dial("tcp", b.address)
					require.NoError(t, err)
					defer n.Close()
					for isKept := true; isKept; header = "Connection: close\r\n" {
						var status int
						status, isKept = upload(t, n, c.path, c.key, header, size)
						require.Equal(t, c.status, status)
					}
				})
			}
		}
	}
}
