package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpconn"
)

// earlyRounds is how often each case is played: which of two goroutines the kernel tells of a reset is up to it.
const earlyRounds = 20

// bufferBytes is the size of the buffers of a connection, and uploadBytes that of a body of which they take a part only.
const (
	bufferBytes = 64 << 10
	uploadBytes = 1 << 20
)

// earlyAnswers are answers by their framing.
var earlyAnswers = map[string]string{
	"none":   "HTTP/1.1 200 OK\r\n\r\nanswer",
	"length": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
	"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
}

// writeLinks are links over which one request is sent.
type writeLinks struct {
	links
	wrote chan struct{} // closed when the write of the request has ended
}

func (l *writeLinks) Connect(c context.Context, _, address string) (net.Conn, error) {
	n, err := (&net.Dialer{}).DialContext(c, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := n.(*net.TCPConn)
	return writeConn{t, l}, t.SetWriteBuffer(bufferBytes)
}

type writeConn struct {
	*net.TCPConn
	links *writeLinks
}

func (c writeConn) Write(b []byte) (int, error) {
	defer close(c.links.wrote)
	return c.TCPConn.Write(b)
}

// Guards against a part of an answer that counts as a whole one: the connection is reset while the request is still being written, which
// the kernel tells the goroutine that writes, and the one that reads finds an orderly end.
func TestEarlyAnswers(t *testing.T) {
	b, err := os.ReadFile("testdata/early.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			whole := 0
			for range earlyRounds {
				if playEarly(t, f[0], f[1] == "all", f[2], f[3] == "after") {
					whole++
				}
			}
			if f[4] == "whole" {
				require.Equal(t, earlyRounds, whole)
			} else {
				require.Zero(t, whole)
			}
		})
	}
}

// playEarly makes a request and reports whether its answer counts as whole.
func playEarly(t *testing.T, framing string, readsAll bool, ends string, afterWrite bool) bool {
	t.Helper()
	read, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	l := listen(t, func(c net.Conn) {
		n := c.(*net.TCPConn)
		_ = n.SetReadBuffer(bufferBytes)
		q, err := http.ReadRequest(bufio.NewReader(n))
		if err == nil && readsAll {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if err == nil {
			_, err = io.WriteString(n, earlyAnswers[framing])
		}
		if err != nil {
			t.Error(err)
		}
		<-read
		switch ends {
		case "reset":
			_ = n.SetLinger(0)
		case "half":
			_ = n.CloseWrite()
			<-done
		}
	})
	links := &writeLinks{wrote: make(chan struct{})}
	p := &httpconn.Pool{Connector: links}
	q := request(l)
	q.Body = make([]byte, uploadBytes)
	a, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	defer a.Close()
	b := make([]byte, 6)
	_, err = io.ReadFull(a.Body, b)
	require.NoError(t, err)
	require.Equal(t, "answer", string(b))
	close(read)
	if afterWrite {
		<-links.wrote
	}
	rest, err := a.ReadAll(1)
	if err != nil {
		return false
	}
	require.Empty(t, rest)
	return true
}
