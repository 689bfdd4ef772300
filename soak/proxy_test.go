package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/soak"
)

// newEchoServer starts a server that echoes lines and returns its address.
func newEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for s := bufio.NewScanner(c); s.Scan(); {
					fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Bytes that a mode holds back are forwarded once the mode is Pass again; Reset closes open
// connections.
func TestProxyModes(t *testing.T) {
	p, err := soak.NewProxy(newEchoServer(t))
	require.NoError(t, err)
	defer p.Close()
	for _, m := range []soak.Mode{soak.Pass, soak.Delay, soak.Silence, soak.OneWay} {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		p.Set(m)
		fmt.Fprintln(c, "hello")
		p.Set(soak.Pass)
		line, err := bufio.NewReader(c).ReadString('\n')
		require.NoError(t, err, m)
		require.Equal(t, "hello\n", line)
		require.NoError(t, c.Close())
	}
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintln(c, "hello")
	r := bufio.NewReader(c)
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	p.Set(soak.Reset)
	_, err = r.ReadString('\n')
	require.Error(t, err)
}

// In small pieces, all bytes arrive, in order.
func TestProxyPieces(t *testing.T) {
	p, err := soak.NewProxy(newEchoServer(t))
	require.NoError(t, err)
	defer p.Close()
	p.Set(soak.Pieces)
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 5 {
		want := fmt.Sprintln("line", i, "of many pieces")
		fmt.Fprint(c, want)
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, line)
	}
}

// The mode for the connections of one process, or for all but some, leaves the others as they are, and ends with it.
func TestProxySetFor(t *testing.T) {
	p, err := soak.NewProxy(newEchoServer(t))
	require.NoError(t, err)
	defer p.Close()
	ask := func(c net.Conn) error {
		fmt.Fprintln(c, "hello")
		_, err := bufio.NewReader(c).ReadString('\n')
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := dial()
	require.NoError(t, ask(old))
	p.SetFor(os.Getppid(), soak.OpenedBy(os.Getppid()), soak.Reset)
	require.NoError(t, ask(old))
	require.NoError(t, ask(dial()))
	p.SetFor(os.Getpid(), soak.OpenedBy(os.Getpid()), soak.Reset)
	require.Error(t, ask(old))
	require.Error(t, ask(dial()))
	p.SetFor(0, nil, soak.Pass)
	require.NoError(t, ask(dial()))
	kept := dial()
	require.NoError(t, ask(kept))
	cut := dial()
	require.NoError(t, ask(cut))
	opened := soak.OpenedBy(os.Getpid())
	maps.DeleteFunc(opened, func(c soak.ConnPair, _ bool) bool { return c != soak.PairOf(kept) })
	p.SetExcept(opened, soak.Reset)
	require.NoError(t, ask(kept))
	require.Error(t, ask(cut))
	require.Error(t, ask(dial()))
	p.SetFor(0, nil, soak.Pass)
	require.NoError(t, ask(dial()))
}

// At the end of a proxy, connections are closed or reset, and new ones refused.
func TestProxyEnd(t *testing.T) {
	for m, want := range map[soak.Mode]error{soak.Closed: io.EOF, soak.Reset: syscall.ECONNRESET} {
		p, err := soak.NewProxy(newEchoServer(t))
		require.NoError(t, err)
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprintln(c, "hello")
		r := bufio.NewReader(c)
		_, err = r.ReadString('\n')
		require.NoError(t, err)
		p.End(m)
		_, err = r.ReadString('\n')
		require.ErrorIs(t, err, want)
		_, err = net.Dial("tcp", p.Address())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}

// A connection that its target closes is closed, and one that it resets is reset.
func TestProxyForwardsEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p, err := soak.NewProxy(l.Addr().String())
	require.NoError(t, err)
	defer p.Close()
	for linger, want := range map[int]error{-1: nil, 0: syscall.ECONNRESET} {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		defer c.Close()
		s, err := l.Accept()
		require.NoError(t, err)
		r := bufio.NewReader(c)
		fmt.Fprintln(s, "hello")
		_, err = r.ReadString('\n')
		require.NoError(t, err)
		require.NoError(t, s.(*net.TCPConn).SetLinger(linger))
		require.NoError(t, s.Close())
		_, err = io.Copy(io.Discard, r)
		require.ErrorIs(t, err, want)
	}
}

// Connections that were open carry nothing after Hush, and new ones work.
func TestProxyHush(t *testing.T) {
	p, err := soak.NewProxy(newEchoServer(t))
	require.NoError(t, err)
	defer p.Close()
	ask := func(c net.Conn) (string, error) {
		fmt.Fprintln(c, "hello")
		return bufio.NewReader(c).ReadString('\n')
	}
	old, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	defer old.Close()
	_, err = ask(old)
	require.NoError(t, err)
	p.Hush(func() bool { return true })
	answered := make(chan error, 1)
	go func() {
		_, err := ask(old)
		answered <- err
	}()
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	defer c.Close()
	for range 3 {
		line, err := ask(c)
		require.NoError(t, err)
		require.Equal(t, "hello\n", line)
	}
	require.Empty(t, answered)
	require.NoError(t, old.Close())
	require.Error(t, <-answered)
}
