package tunnel_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/tunnel"
)

// slowConn is a connection to an endpoint that takes a part of the first write before its time is up, and later ones whole.
type slowConn struct {
	net.Conn
	mu    sync.Mutex
	slow  bool
	taken bytes.Buffer
	wrote chan struct{} // receives an item after each write, and is closed with the connection
	once  sync.Once
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.wrote <- struct{}{} }()
	if c.slow {
		c.slow = false
		n, _ := c.taken.Write(b[:len(b)/2])
		return n, os.ErrDeadlineExceeded
	}
	return c.taken.Write(b)
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.wrote) })
	return c.Conn.Close()
}

// Guards against a request that reaches its endpoint with bytes missing in between: the endpoint took a part of one write only, and
// what followed was written after it.
func TestNothingFollowsCutWrite(t *testing.T) {
	via := start(t)
	n, end := net.Pipe()
	t.Cleanup(func() { _ = end.Close() })
	s := &slowConn{Conn: n, slow: true, wrote: make(chan struct{}, 8)}
	via.Dial = func(context.Context, tunnel.Request) (net.Conn, tunnel.Outcome) { return s, tunnel.Connected }
	near, o := start(t, via).Connect(t.Context(), tunnel.Request{Endpoint: "e"})
	require.Equal(t, tunnel.Connected, o)
	_, err := near.Write([]byte("0123456789"))
	require.NoError(t, err)
	_, err = near.Write([]byte("abcde"))
	require.NoError(t, err)
	<-s.wrote
	require.NoError(t, near.Close())
	for range s.wrote { // until the far end has read all that was sent, and closed the connection
	}
	require.Equal(t, "01234", s.taken.String())
}
