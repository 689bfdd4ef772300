package serviceproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/view"
)

const (
	// earlyRounds is how often each case is played: which of two goroutines the kernel tells of a reset is up to it.
	earlyRounds = 10

	// uploadBytes is more than the buffers of a connection take, so that a server which does not read it keeps its sender waiting.
	uploadBytes = 6 << 20
)

// earlyAnswers are answers by their framing.
var earlyAnswers = map[string]string{
	"none":   "HTTP/1.1 200 OK\r\n\r\nanswer",
	"length": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
	"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
}

// earlyServer answers requests before it has read them, or after, and questions for its load.
type earlyServer struct {
	listener net.Listener
	answer   string
	readsAll bool
	ends     string
	done     chan struct{}
}

func (s earlyServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.handle(c.(*net.TCPConn))
	}
}

func (s earlyServer) handle(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if q.URL.Path == "/load" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"incarnation\":\"i\"}")
		return
	}
	if s.readsAll {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	_, _ = io.WriteString(c, s.answer)
	switch s.ends {
	case "reset":
		_ = c.SetLinger(0)
	case "half":
		_ = c.CloseWrite()
		<-s.done
	}
}

// Guards against a part of an answer that counts as a whole one: the connection is reset while the request is still being written, which
// the goroutine that reads the answer is not told.
func TestEarlyAnswers(t *testing.T) {
	b, err := os.ReadFile("testdata/early.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		for _, repeatable := range []bool{false, true} {
			name := strings.Join(f, "_") + "_once"
			if repeatable {
				name = strings.Join(f, "_") + "_repeatable"
			}
			t.Run(name, func(t *testing.T) {
				whole := 0
				for range earlyRounds {
					whole += playEarly(t, f, repeatable)
				}
				if f[3] == "whole" {
					require.Equal(t, 2*earlyRounds, whole)
				} else {
					require.Zero(t, whole)
				}
			})
		}
	}
}

// playEarly makes two requests, one after the other, and returns how many of their answers count as whole.
func playEarly(t *testing.T, f []string, repeatable bool) (whole int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := earlyServer{listener: l, answer: earlyAnswers[f[0]], readsAll: f[1] == "all", ends: f[2], done: make(chan struct{})}
	defer close(s.done)
	go s.serve()
	p := New()
	p.view = &view.View{}
	defer func() { _ = p.Stop(t.Context()) }()
	e := &view.EndpointState{InFlight: &atomic.Int64{}, Endpoint: fleet.Endpoint{
		Box: fleet.Box{Name: "e", Address: l.Addr().String()}, Load: fleet.Load{Incarnation: "i"},
	}}
	q := Request{Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadBytes), Repeatable: repeatable}
	for range 2 {
		resp, interruption, err := p.attempt(t.Context(), q, e, 1)
		if err != nil {
			require.Equal(t, recovery.Disconnected, interruption)
			continue
		}
		require.Equal(t, "answer", string(resp.Body))
		whole++
	}
	return whole
}
