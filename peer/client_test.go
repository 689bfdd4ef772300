package peer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/peer"
)

// proxy forwards connections to a server. After silence, the open connections deliver nothing
// and are not reset; later connections work. Between pause and its result, nothing is delivered.
type proxy struct {
	net.Listener
	target       string
	silencedUpTo atomic.Int64 // connections numbered up to this one deliver nothing
	opened       atomic.Int64
	release      chan struct{} // ends the calls that wait
	paused       sync.RWMutex  // held while nothing is delivered
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{Listener: l, target: target, release: make(chan struct{})}
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
		p.paused.RLock()
		_, err = to.Write(b[:got])
		p.paused.RUnlock()
		if err != nil {
			return
		}
	}
}

func (p *proxy) silence() { p.silencedUpTo.Store(p.opened.Load()) }

func (p *proxy) pause() (resume func()) {
	p.paused.Lock()
	return p.paused.Unlock
}

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
	s, p := peer.NewServer("secret"), (*proxy)(nil)
	peer.Handle(s, "echo", func(_ context.Context, in string) (string, error) { return in, nil })
	s.Handle("wait", func(c context.Context, _ []byte, send func(any) error) (any, error) {
		if err := send("begun"); err != nil {
			return nil, err
		}
		select {
		case <-p.release:
			return "ended", nil
		case <-c.Done():
			return nil, c.Err()
		}
	})
	peer.Handle(s, "hang", func(c context.Context, _ string) (string, error) {
		<-c.Done()
		return "", io.EOF
	})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	p = newProxy(t, s.Address())
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

// beginCall begins a call that waits until the proxy's release, and returns the channel for its result.
func beginCall(t *testing.T, p *proxy, c *peer.Client) <-chan error {
	t.Helper()
	begun, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		var out string
		err := c.Stream(t.Context(), p.Addr().String(), "wait", "", &out, func([]byte) error {
			close(begun)
			return nil
		})
		if err == nil && out != "ended" {
			err = io.ErrUnexpectedEOF
		}
		ended <- err
	}()
	<-begun
	return ended
}

// Guards against a peer that is paused for longer than maxSilence being taken for dead: calls that time out in the pause must
// not end the others on the connection.
func TestPausedPeerKeepsCalls(t *testing.T) {
	p, c := connect(t)
	address, opened := p.Addr().String(), p.opened.Load()
	ended := beginCall(t, p, c)
	for range 3 {
		resume := p.pause()
		require.Eventually(t, func() bool { callEcho(t, c, address); return p.opened.Load() > opened }, 30*time.Second, time.Millisecond)
		resume()
		require.Eventually(t, func() bool { return callEcho(t, c, address) }, 30*time.Second, time.Millisecond)
		opened = p.opened.Load()
	}
	close(p.release)
	require.NoError(t, <-ended)
}

// The calls of a connection that has died without a reset end once another one to the same peer works.
func TestDeadConnectionEndsCalls(t *testing.T) {
	p, c := connect(t)
	ended := beginCall(t, p, c)
	p.silence()
	require.Eventually(t, func() bool { return callEcho(t, c, p.Addr().String()) }, 30*time.Second, time.Millisecond)
	require.True(t, errkind.Is(<-ended, errkind.Unavailable))
}

// Guards against calls that last for the whole timeout of a handshake with a paused peer although they end earlier.
func TestHandshakeEndsWithCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x, cancel := context.WithCancel(t.Context())
	go func() {
		n, err := l.Accept()
		if err != nil {
			return
		}
		// The hello has arrived, so the client waits for the answer.
		_, _ = n.Read(make([]byte, 1))
		cancel()
	}()
	c := peer.NewClient("secret")
	t.Cleanup(c.Close)
	err = c.Call(x, l.Addr().String(), "echo", "a", nil)
	require.ErrorIs(t, err, context.Canceled)
}

// A transfer that is to use a new connection makes one only if nothing was received lately over the open one, and others go on over
// that one.
func TestRenewedTransfer(t *testing.T) {
	s := peer.NewServer("secret")
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	release := make(chan struct{})
	peer.Handle(s, "quick", func(context.Context, int) (int, error) { return 1, nil })
	peer.Handle(s, "slow", func(context.Context, int) (int, error) {
		<-release
		return 2, nil
	})
	proxy := newProxy(t, s.Address())
	c := peer.NewClient("secret")
	t.Cleanup(c.Close)
	transfer := func(method string, renew bool) int {
		var out int
		require.NoError(t, c.Transfer(t.Context(), proxy.Addr().String(), method, 0, &out, renew, func(int) {}))
		return out
	}
	require.Equal(t, 1, transfer("quick", false))
	require.Equal(t, 1, transfer("quick", true))
	require.EqualValues(t, 1, proxy.opened.Load(), "it has just worked")
	slow := make(chan int)
	go func() { slow <- transfer("slow", false) }()
	require.Eventually(t, func() bool {
		require.Equal(t, 1, transfer("quick", true))
		return proxy.opened.Load() == 2
	}, 20*time.Second, 500*time.Millisecond, "an answer is waited for")
	close(release)
	require.Equal(t, 2, <-slow)
}
