package connend_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/connend"
)

// connect returns both ends of a connection over TCP whose buffers are small.
func connect(t *testing.T) (near *connend.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	n, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	require.NoError(t, n.(*net.TCPConn).SetWriteBuffer(64<<10))
	f, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	far = f.(*net.TCPConn)
	require.NoError(t, far.SetReadBuffer(64<<10))
	return connend.New(n), far
}

// write writes more than the buffers of a connection take.
func write(c net.Conn) <-chan error {
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 1<<20))
		wrote <- err
	}()
	return wrote
}

// An end is that of the other end once everything was written.
func TestEndAfterWrites(t *testing.T) {
	near, far := connect(t)
	wrote := write(near)
	_, err := io.CopyN(io.Discard, far, 1<<20)
	require.NoError(t, err)
	require.NoError(t, <-wrote)
	require.NoError(t, far.CloseWrite())
	for range 2 {
		_, err = near.Read(make([]byte, 1))
		require.Equal(t, io.EOF, err)
	}
	require.Equal(t, int64(1<<20), near.Written())
}

// An end in a write is none that was brought about in order, and no later deadline lets writes go on.
func TestEndDuringWrite(t *testing.T) {
	near, far := connect(t)
	wrote := write(near)
	_, err := far.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.ErrorIs(t, <-wrote, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetWriteDeadline(time.Now().Add(time.Hour)))
	require.NoError(t, near.SetDeadline(time.Now().Add(time.Hour)))
	_, err = near.Write([]byte("more"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a reset that is taken for an orderly end since a write got its error.
func TestWriteGetsReset(t *testing.T) {
	near, far := connect(t)
	wrote := write(near)
	_, err := far.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	require.ErrorIs(t, <-wrote, syscall.ECONNRESET)
	for range 2 {
		_, err = near.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// A write whose time is up has not written all either.
func TestEndAfterLateWrite(t *testing.T) {
	a, far := net.Pipe()
	near := connend.New(a)
	require.NoError(t, near.SetWriteDeadline(time.Unix(1, 0)))
	_, err := near.Write([]byte("request"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetWriteDeadline(time.Time{}))
	require.NoError(t, far.Close())
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Connections that are none of TCP have no linger time.
func TestSetLinger(t *testing.T) {
	near, far := connect(t)
	require.NoError(t, near.SetLinger(0))
	require.NoError(t, near.Close())
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	a, _ := net.Pipe()
	require.NoError(t, connend.New(a).SetLinger(0))
}
