package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/peer"
)

// proxy forwards connections to a server. After silence, the open connections deliver nothing
// and are not reset; later connections work.
type proxy struct {
	net.Listener
	target       string
	silencedUpTo atomic.Int64 // connections numbered up to this one deliver nothing
	opened       atomic.Int64
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{Listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		c, err := p.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			return
		}
		n := p.opened.Add(1)
		go p.forward(n, s, c)
		go p.forward(n, c, s)
	}
}

func (p *proxy) forward(n int64, to, from net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		got, err := from.Read(b)
		if err != nil {
			return
		}
		if n <= p.silencedUpTo.Load() {
			continue
		}
		if _, err := to.Write(b[:got]); err != nil {
			return
		}
	}
}

func (p *proxy) silence() { p.silencedUpTo.Store(p.opened.Load()) }

// callEcho reports whether an echo call succeeds within 200 ms.
func callEcho(t *testing.T, c *peer.Client, address string) bool {
	t.Helper()
	x, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var out string
	return c.Call(x, address, "echo", "a", &out) == nil && out == "a"
}

// connect returns a client that has called a server through the returned proxy.
func connect(t *testing.T) (*proxy, *peer.Client) {
	t.Helper()
	s := peer.NewServer("secret")
	peer.Handle(s, "echo", func(_ context.Context, in string) (string, error) { return in, nil })
	peer.Handle(s, "hang", func(c context.Context, _ string) (string, error) {
		<-c.Done()
		return "", io.EOF
	})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	p := newProxy(t, s.Address())
	c := peer.NewClient("secret")
	t.Cleanup(c.Close)
	require.Eventually(t, func() bool { return callEcho(t, c, p.Addr().String()) }, 30*time.Second, time.Millisecond)
	return p, c
}

// When a connection dies without a reset, a bounded number of calls fail and the next one uses
// a new connection.
func TestSilentConnection(t *testing.T) {
	p, c := connect(t)
	address := p.Addr().String()
	p.silence()
	require.Eventually(t, func() bool { return callEcho(t, c, address) }, 30*time.Second, time.Millisecond)
}

// A connection that delivers answers is kept, even if some of its calls are not answered.
func TestSlowCallKeepsConnection(t *testing.T) {
	p, c := connect(t)
	address := p.Addr().String()
	opened := p.opened.Load()
	for range 8 {
		x, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		require.Error(t, c.Call(x, address, "hang", "", nil))
		cancel()
		require.Eventually(t, func() bool { return callEcho(t, c, address) }, 30*time.Second, time.Millisecond)
	}
	require.Equal(t, opened, p.opened.Load())
}
