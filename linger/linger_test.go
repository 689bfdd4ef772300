package linger_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/linger"
)

// size is more than the buffers of a connection take.
const size = 20 << 20

// connect returns both ends of a connection.
func connect(t *testing.T) (near *linger.Conn, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := linger.Listen(l.(*net.TCPListener))
	defer k.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	n, err := k.Accept()
	require.NoError(t, err)
	near = n.(*linger.Conn)
	t.Cleanup(func() { _ = near.TCPConn.Close() })
	return near, far
}

// answer answers what arrives before it has read it, and closes the connection.
func answer(near *linger.Conn, closeWrite bool) <-chan error {
	closed := make(chan error, 1)
	go func() {
		_, _ = io.WriteString(near, "no")
		if closeWrite {
			_ = near.CloseWrite()
		}
		closed <- near.Close()
	}()
	return closed
}

// Guards against resets that make the writes of the other end fail, or destroy the answer.
func TestAnswerArrives(t *testing.T) {
	for _, closeWrite := range []bool{false, true} {
		near, far := connect(t)
		near.Linger(t.Context(), time.Hour)
		closed := answer(near, closeWrite)
		_, err := far.Write(make([]byte, size))
		require.NoError(t, err)
		b, err := io.ReadAll(far)
		require.NoError(t, err)
		require.Equal(t, "no", string(b))
		require.NoError(t, far.Close())
		require.NoError(t, <-closed)
	}
}

// Guards against connections that are held without end: by one that sends without end, after the end of the context, and if lingering is
// undone or not asked for.
func TestCloseEnds(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, start := range []func(*linger.Conn){
		func(n *linger.Conn) { n.Linger(t.Context(), time.Millisecond) },
		func(n *linger.Conn) { n.Linger(ended, time.Hour) },
		func(n *linger.Conn) {
			c, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			context.AfterFunc(t.Context(), cancel)
			n.Linger(c, time.Hour)
		},
		func(n *linger.Conn) {
			n.Linger(t.Context(), time.Hour)
			n.Linger(t.Context(), 0)
		},
		func(*linger.Conn) {},
	} {
		near, far := connect(t)
		go func() {
			for {
				if _, err := far.Write(make([]byte, 1<<10)); err != nil {
					return
				}
			}
		}()
		start(near)
		require.NoError(t, near.Close())
	}
}

// Guards against connections that are held for an end that says nothing more.
func TestCloseEndsInSilence(t *testing.T) {
	near, _ := connect(t)
	near.Linger(t.Context(), time.Hour)
	require.NoError(t, near.Close())
}
