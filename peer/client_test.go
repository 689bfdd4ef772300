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

// link passes connections on to a server. Those that are open when it is silenced carry
// nothing any more and are not reset; later ones work.
type link struct {
	net.Listener
	to       string
	silenced atomic.Int64
	opened   atomic.Int64
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{Listener: l, to: to}
	t.Cleanup(func() { _ = l.Close() })
	go k.accept()
	return k
}

func (k *link) accept() {
	for {
		c, err := k.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = c.Close()
			return
		}
		n := k.opened.Add(1)
		go k.carry(n, s, c)
		go k.carry(n, c, s)
	}
}

func (k *link) carry(n int64, to, from net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		got, err := from.Read(b)
		if err != nil {
			return
		}
		if n <= k.silenced.Load() {
			continue
		}
		if _, err := to.Write(b[:got]); err != nil {
			return
		}
	}
}

func (k *link) silence() { k.silenced.Store(k.opened.Load()) }

// call asks for an echo, within a fifth of a second.
func callEcho(t *testing.T, c *peer.Client, address string) bool {
	t.Helper()
	x, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var out string
	return c.Call(x, address, "echo", "a", &out) == nil && out == "a"
}

// connected returns a client that has called a server over a link.
func connect(t *testing.T) (*link, *peer.Client) {
	t.Helper()
	s := peer.NewServer("secret")
	peer.Handle(s, "echo", func(_ context.Context, in string) (string, error) { return in, nil })
	peer.Handle(s, "hang", func(c context.Context, _ string) (string, error) {
		<-c.Done()
		return "", io.EOF
	})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	k := newLink(t, s.Address())
	c := peer.NewClient("secret")
	t.Cleanup(c.Close)
	require.Eventually(t, func() bool { return callEcho(t, c, k.Addr().String()) }, 30*time.Second, time.Millisecond)
	return k, c
}

// TestSilentConnection calls over a connection that has gone silent without a reset: a
// bounded number of calls is lost, and the next one goes over a new connection.
func TestSilentConnection(t *testing.T) {
	k, c := connect(t)
	address := k.Addr().String()
	k.silence()
	require.Eventually(t, func() bool { return callEcho(t, c, address) }, 30*time.Second, time.Millisecond)
}

// A connection over which answers come is kept, though some calls are not answered.
func TestSlowCallKeepsConnection(t *testing.T) {
	k, c := connect(t)
	address := k.Addr().String()
	opened := k.opened.Load()
	for range 8 {
		x, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		require.Error(t, c.Call(x, address, "hang", "", nil))
		cancel()
		require.Eventually(t, func() bool { return callEcho(t, c, address) }, 30*time.Second, time.Millisecond)
	}
	require.Equal(t, opened, k.opened.Load())
}
