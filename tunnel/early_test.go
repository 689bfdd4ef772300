package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/tunnel"
)

// earlyRounds is how often each case is played: which of two goroutines the kernel tells of a reset is up to it.
const earlyRounds = 10

// bufferBytes is the size of the buffers between a tunnel and an endpoint.
const bufferBytes = 64 << 10

// earlyAnswers are answers by their framing.
var earlyAnswers = map[string]string{
	"none":   "HTTP/1.1 200 OK\r\n\r\nanswer",
	"length": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
	"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
}

// connector connects to endpoints through a box's tunnels.
type connector struct{ box *box }

func (k connector) Connect(c context.Context, id, address string) (net.Conn, error) {
	n, o := k.box.Connect(c, tunnel.Request{Endpoint: id, Address: address})
	if n == nil {
		return nil, errors.New(o.String())
	}
	return n, nil
}

func (connector) Refuses(context.Context, string, string, time.Duration) (net.Conn, bool) {
	return nil, false
}
func (connector) Check(string, string, time.Time) {}
func (connector) RecordTraffic(string)            {}
func (connector) ReusableSince(string) time.Time  { return time.Time{} }
func (connector) IsLost(string) bool              { return true }

// writeConn is a connection to an endpoint that tells when a write has failed.
type writeConn struct {
	*net.TCPConn
	once   sync.Once
	failed chan struct{}
}

func (c *writeConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// Guards against a part of an answer that counts as a whole one behind a tunnel: the connection of its far end is reset while the request
// is still being written, which the kernel tells the goroutine that writes, and the near end is told of an orderly end.
func TestEarlyAnswers(t *testing.T) {
	b, err := os.ReadFile("testdata/early.txt")
	require.NoError(t, err)
	via := start(t)
	a := start(t, via)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			mb, err := strconv.Atoi(f[4])
			require.NoError(t, err)
			whole := 0
			for range earlyRounds {
				c := &writeConn{failed: make(chan struct{})}
				via.Dial = func(x context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome) {
					n, err := (&net.Dialer{}).DialContext(x, "tcp", q.Address)
					if err != nil {
						return nil, tunnel.OutcomeOf(err)
					}
					c.TCPConn = n.(*net.TCPConn)
					return c, tunnel.OutcomeOf(c.SetWriteBuffer(bufferBytes))
				}
				e := earlyEndpoint{answer: earlyAnswers[f[0]], readsAll: f[1] == "all", ends: f[2]}
				if e.play(t, a, mb<<20, f[3] == "after", c.failed) {
					whole++
				}
			}
			if f[5] == "whole" {
				require.Equal(t, earlyRounds, whole)
			} else {
				require.Zero(t, whole)
			}
		})
	}
}

// earlyEndpoint answers a request before it has read it, or after.
type earlyEndpoint struct {
	answer   string
	readsAll bool
	ends     string
}

// serve answers a request, and ends the connection once the answer was read. It keeps its part of one that it closes by half until done.
func (e earlyEndpoint) serve(t *testing.T, c *net.TCPConn, read, done <-chan struct{}) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(bufferBytes)
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil && e.readsAll {
		_, err = io.Copy(io.Discard, q.Body)
	}
	if err == nil {
		_, err = io.WriteString(c, e.answer)
	}
	if err != nil {
		t.Error(err)
	}
	<-read
	switch e.ends {
	case "reset":
		_ = c.SetLinger(0)
	case "half":
		_ = c.CloseWrite()
		<-done
	}
}

// play makes a request through a box and reports whether its answer counts as whole.
func (e earlyEndpoint) play(t *testing.T, a *box, size int, afterWrite bool, failed <-chan struct{}) bool {
	t.Helper()
	address, conns := listen(t)
	read, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	go func() { e.serve(t, <-conns, read, done) }()
	p := &httpconn.Pool{Connector: connector{a}}
	resp, err := p.Do(t.Context(), httpconn.Request{
		Endpoint: "e", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size),
		Matches: func(http.Header) bool { return true },
	})
	require.NoError(t, err)
	defer resp.Close()
	b := make([]byte, 6)
	_, err = io.ReadFull(resp.Body, b)
	require.NoError(t, err)
	require.Equal(t, "answer", string(b))
	close(read)
	if afterWrite {
		<-failed
	}
	rest, err := resp.ReadAll(1)
	if err != nil {
		return false
	}
	require.Empty(t, rest)
	return true
}
