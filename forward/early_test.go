package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/tunnel"
)

const (
	// earlyRounds is how often each case is played: which of two goroutines the kernel tells of a reset is up to it.
	earlyRounds = 5

	// uploadBytes is more than the buffers of a connection take, so that a server which does not read it keeps its sender waiting.
	uploadBytes = 6 << 20
)

// tunnelLinks are links that lead through another box.
type tunnelLinks struct{ tunnels *tunnel.Service }

func (l tunnelLinks) Connect(c context.Context, id, address string) (net.Conn, error) {
	n, o := l.tunnels.Connect(c, tunnel.Request{Endpoint: id, Address: address})
	if n == nil {
		return nil, errors.New(o.String())
	}
	return n, nil
}

func (tunnelLinks) Refuses(context.Context, string, string, time.Duration) (net.Conn, bool) {
	return nil, false
}
func (tunnelLinks) Check(string, string, time.Time) {}
func (tunnelLinks) RecordTraffic(string)            {}
func (tunnelLinks) ReusableSince(string) time.Time  { return time.Time{} }
func (tunnelLinks) IsLost(string) bool              { return true }

// newTunnelLinks starts two boxes and returns links of the one that lead through the other.
func newTunnelLinks(t *testing.T) tunnelLinks {
	t.Helper()
	var other string
	var s *tunnel.Service
	for _, ip := range []string{"127.3.0.1", "127.3.0.2"} {
		l, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		address := l.Addr().String()
		require.NoError(t, l.Close())
		node := peer.NewNode(address, address, "secret", metrics.NewRegistry())
		s = tunnel.New(metrics.NewRegistry(), zerolog.Nop())
		near := other
		s.Boxes = func() ([]string, []string) { return []string{near}, nil }
		s.Dial = func(c context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome) {
			n, err := (&net.Dialer{}).DialContext(c, "tcp", q.Address)
			return n, tunnel.OutcomeOf(err)
		}
		k := &kernel.Kernel{}
		for _, s := range []kernel.Service{node, s} {
			require.NoError(t, k.Add(s))
			require.NoError(t, s.Start(t.Context(), k))
		}
		t.Cleanup(func() { _ = node.Stop(context.Background()) })
		other = address
	}
	return tunnelLinks{s}
}

// earlyEndpoint answers long requests before it has read them, or after.
type earlyEndpoint struct {
	listener net.Listener
	answer   string // with a verb for the request's ID
	readsAll bool
	resets   bool
}

func (e earlyEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e earlyEndpoint) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if q.URL.Path == healthPath {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id"))
		return
	}
	if e.readsAll {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	fmt.Fprintf(c, e.answer, q.Header.Get("Id"))
	if e.resets {
		reset(c)
	}
}

// earlyAnswer returns an answer with a verb for the request's ID.
func earlyAnswer(framing string, isStream bool) string {
	body, kind := "from a", ""
	if isStream {
		body, kind = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", "Content-Type: text/event-stream\r\n"
	}
	head := "HTTP/1.1 200 OK\r\nId: %s\r\n" + kind
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return head + "\r\n" + body
	}
}

// Guards against a part of an answer that callers get as a whole one: the connection is reset while the request is still being written,
// which the goroutine that reads the answer is not told.
func TestEarlyAnswers(t *testing.T) {
	b, err := os.ReadFile("testdata/early/answers.txt")
	require.NoError(t, err)
	links := newTunnelLinks(t)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			got := make([]string, 0, earlyRounds)
			for range earlyRounds {
				got = append(got, playEarly(t, f, links))
			}
			require.Equal(t, strings.Repeat(f[5]+" ", earlyRounds), strings.Join(got, " ")+" ")
		})
	}
}

// playEarly makes a request and returns what its caller gets.
func playEarly(t *testing.T, f []string, links tunnelLinks) string {
	t.Helper()
	isStream := f[1] == "stream" || f[1] == "resumable"
	s := newScript(t)
	s.step([]string{"health"}, "")
	if f[0] == "tunnel" {
		s.f.Pool.Connector = links
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go earlyEndpoint{l, earlyAnswer(f[2], isStream), f[3] == "all", f[4] == "reset"}.accept()
	s.f.Roster.Put(endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: l.Addr().String()})
	switch {
	case !isStream:
		s.step([]string{"route", f[1], "2"}, "")
		s.step([]string{"endpoint", "b", "ok"}, "")
	case f[1] == "resumable":
		s.step([]string{"route", "stream", "resumable", "2"}, "")
		s.step([]string{"endpoint", "b", "stream:3"}, "")
	default:
		s.step([]string{"route", "stream", "2"}, "")
		s.step([]string{"endpoint", "b", "stream:3"}, "")
	}
	s.step([]string{"remote", "b"}, "")
	s.call("", strings.Repeat("x", uploadBytes), nil)
	if s.err != nil {
		require.True(t, errkind.Is(s.err, errkind.OutcomeUnknown), s.err)
		return "error"
	}
	require.Equal(t, http.StatusOK, s.last.status)
	switch got := s.last.body; {
	case got == "from a", s.last.events() == "1 2":
		return "whole"
	case got == "from b":
		return "other"
	case s.last.events() == "1 2 3":
		return "resumed"
	default:
		return got
	}
}
