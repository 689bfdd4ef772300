package tunnel_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/frame"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/tunnel"
)

// box is a box that opens and serves tunnels.
type box struct {
	*tunnel.Service
	node  *peer.Node
	mu    sync.Mutex
	cut   bool
	stops bool
}

// boxIPs counts the boxes started.
var boxIPs atomic.Uint32

// freeAddress returns an unused address on an IP address of its own: a box connects to others from the IP
// address on which it listens for them, and may otherwise take the port of the next.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.2.0.%d:0", boxIPs.Add(1)))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts a box that knows others.
func start(t *testing.T, others ...*box) *box {
	t.Helper()
	a := freeAddress(t)
	b := &box{node: peer.NewNode(a, a, "secret", metrics.NewRegistry()), Service: tunnel.New(metrics.NewRegistry(), zerolog.Nop())}
	b.StopLimit = time.Minute
	b.Boxes = func() (near, far []string) {
		for _, o := range others {
			near = append(near, o.node.Advertise)
		}
		return near, nil
	}
	b.Leaving = func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.stops
	}
	b.Dial = func(c context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome) {
		b.mu.Lock()
		cut := b.cut
		b.mu.Unlock()
		if cut {
			return nil, tunnel.Cut
		}
		n, err := (&net.Dialer{}).DialContext(c, "tcp", q.Address)
		if err != nil {
			return nil, tunnel.OutcomeOf(err)
		}
		return n, tunnel.Connected
	}
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{b.node, b.Service} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
	}
	t.Cleanup(func() { _ = b.node.Stop(context.Background()) })
	return b
}

func (b *box) set(cut, stops bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut, b.stops = cut, stops
}

// listen returns an address whose connections are sent to the channel.
func listen(t *testing.T) (string, <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *net.TCPConn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c.(*net.TCPConn)
		}
	}()
	return l.Addr().String(), conns
}

// open returns both ends of a tunnel through a box.
func open(t *testing.T, b *box, address string, conns <-chan *net.TCPConn) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	require.Eventually(t, func() bool {
		n, o := b.Connect(t.Context(), tunnel.Request{Endpoint: "e", Address: address})
		near = n
		return o == tunnel.Connected
	}, 30*time.Second, time.Millisecond)
	t.Cleanup(func() { _ = near.Close() })
	return near, <-conns
}

// What the endpoint sends arrives unchanged, and the end of its connection is told apart from a reset
// and from the end of the box in between. Otherwise a response without a length that broke would look
// complete.
func TestEndOfTunnel(t *testing.T) {
	for _, how := range []string{"closed", "reset", "box"} {
		t.Run(how, func(t *testing.T) {
			via := start(t)
			a := start(t, via)
			address, conns := listen(t)
			near, far := open(t, a, address, conns)
			_, err := near.Write([]byte("request"))
			require.NoError(t, err)
			b := make([]byte, 7)
			_, err = io.ReadFull(far, b)
			require.NoError(t, err)
			require.Equal(t, "request", string(b))
			_, err = far.Write([]byte("part of the response"))
			require.NoError(t, err)
			b = make([]byte, 20)
			_, err = io.ReadFull(near, b)
			require.NoError(t, err)
			require.Equal(t, "part of the response", string(b))
			switch how {
			case "closed":
				require.NoError(t, far.Close())
			case "reset":
				require.NoError(t, far.SetLinger(0))
				require.NoError(t, far.Close())
			case "box":
				require.NoError(t, via.node.Stop(t.Context()))
			}
			_, err = near.Read(b)
			if how == "closed" {
				require.Equal(t, io.EOF, err)
			} else {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

// A tunnel that is given up resets the connection to the endpoint, so that the endpoint stops
// working on the request.
func TestGivenUpTunnel(t *testing.T) {
	via := start(t)
	a := start(t, via)
	address, conns := listen(t)
	near, far := open(t, a, address, conns)
	require.NoError(t, near.(interface{ SetLinger(int) error }).SetLinger(0))
	require.NoError(t, near.Close())
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Boxes that don't reach the endpoint are passed over, and no box opens a tunnel through another: one whose
// own link is cut says so.
func TestChoosesBoxThatReaches(t *testing.T) {
	cut, whole := start(t), start(t)
	cut.Boxes = func() (near, far []string) { return []string{whole.node.Advertise}, nil }
	cut.set(true, false)
	a := start(t, cut, whole)
	address, conns := listen(t)
	for range 8 {
		near, far := open(t, a, address, conns)
		require.Equal(t, whole.node.Advertise, near.(interface{ Via() string }).Via())
		_ = far.Close()
	}
	require.Zero(t, cut.CountOpen())
	whole.set(true, false)
	require.Eventually(t, func() bool {
		_, o := a.Connect(t.Context(), tunnel.Request{Endpoint: "e", Address: address})
		return o == tunnel.Cut
	}, 30*time.Second, time.Millisecond)
}

// A box that stops opens no tunnel, has idle tunnels closed, and waits for the others.
func TestStopWaitsForTunnels(t *testing.T) {
	via := start(t)
	a := start(t, via)
	address, conns := listen(t)
	near, far := open(t, a, address, conns)
	via.set(false, true)
	stopped := make(chan error, 1)
	go func() { stopped <- via.Stop(context.Background()) }()
	require.Eventually(t, func() bool {
		_, o := a.Connect(t.Context(), tunnel.Request{Endpoint: "e", Address: address})
		return o == tunnel.Busy
	}, 30*time.Second, time.Millisecond)
	via.Leave()
	_, err := far.Write([]byte("rest"))
	require.NoError(t, err)
	b := make([]byte, 4)
	_, err = io.ReadFull(near, b)
	require.NoError(t, err)
	require.Empty(t, stopped)
	_, err = near.(syscall.Conn).SyscallConn()
	require.Error(t, err, "the tunnel may serve no further request")
	require.NoError(t, near.Close())
	require.NoError(t, <-stopped)
}

// Guards against tunnels that serve further requests although their box left while it opened them.
func TestBoxLeavesWhileTunnelOpens(t *testing.T) {
	via := start(t)
	dial := via.Dial
	via.Dial = func(c context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome) {
		via.Leave()
		return dial(c, q)
	}
	a := start(t, via)
	address, conns := listen(t)
	near, far := open(t, a, address, conns)
	_, err := far.Write([]byte("rest"))
	require.NoError(t, err)
	_, err = io.ReadFull(near, make([]byte, 4))
	require.NoError(t, err)
	_, err = near.(syscall.Conn).SyscallConn()
	require.Error(t, err, "the tunnel may serve no further request")
}

// Tunnels are spread over the boxes that reach the endpoint.
func TestTunnelsAreSpread(t *testing.T) {
	others := []*box{start(t), start(t), start(t), start(t)}
	a := start(t, others...)
	address, conns := listen(t)
	for range 100 {
		_, far := open(t, a, address, conns)
		t.Cleanup(func() { _ = far.Close() })
	}
	for _, o := range others {
		require.Greater(t, o.CountOpen(), int64(5))
	}
}

// A box refuses more tunnels than it can bear, so that many cut boxes can't overload the few that reach
// the endpoints.
func TestTunnelsAreBounded(t *testing.T) {
	via := start(t)
	via.Dial = func(context.Context, tunnel.Request) (net.Conn, tunnel.Outcome) {
		n, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return n, tunnel.Connected
	}
	a := start(t, via)
	opened, outcome := 0, tunnel.Connected
	for outcome != tunnel.Busy {
		var n net.Conn
		if n, outcome = a.Connect(t.Context(), tunnel.Request{Endpoint: "e"}); n != nil {
			opened++
			defer n.Close()
		}
	}
	require.Equal(t, 256, opened)
}

// Guards against large requests that fail only where they take a tunnel: 16 MB, the largest body of a call, with its head.
func TestLargestRequest(t *testing.T) {
	a, conns := listen(t)
	near, far := open(t, start(t, start(t)), a, conns)
	b := bytes.Repeat([]byte("0123456789abcde\n"), 1<<20+100)
	got := make(chan []byte, 1)
	go func() {
		p := make([]byte, len(b))
		_, _ = io.ReadFull(far, p)
		got <- p
	}()
	n, err := near.Write(b)
	require.NoError(t, err)
	require.Equal(t, len(b), n)
	require.True(t, bytes.Equal(b, <-got))
}

// Guards against large frames that take all memory of the box in between while endpoints do not read: tunnels that have no room
// end, and others pass bytes on. Near ends of earlier versions send whole requests as one frame.
func TestLargeFramesTogether(t *testing.T) {
	const tunnels, size, target = 24, 8 << 20, 96 << 20
	a, conns := listen(t)
	between := start(t)
	near, far := open(t, start(t, between), a, conns)
	data, err := msgpack.Marshal(make([]byte, size))
	require.NoError(t, err)
	frames := make([]*frame.Conn, 0, tunnels)
	c := peer.NewClient("secret")
	defer c.Close()
	for range tunnels {
		f, err := c.Takeover(t.Context(), between.node.Advertise, "tunnel.open", tunnel.Request{Endpoint: "e", Address: a}, nil)
		require.NoError(t, err)
		defer f.Close()
		end := <-conns
		defer func() { _ = end.Close() }()
		frames = append(frames, f)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, f := range frames {
		_ = f.Write(frame.Message{Type: frame.Item, Body: data}, time.Minute)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(target))
	_, err = near.Write([]byte("ordinary"))
	require.NoError(t, err)
	got := make([]byte, 8)
	_, err = io.ReadFull(far, got)
	require.NoError(t, err)
	require.Equal(t, "ordinary", string(got))
}

// A box through which another one reaches an endpoint holds connections to it until the endpoint closes them, and says so to
// boxes that ask whether it has ended.
func TestTunnelsHoldConnections(t *testing.T) {
	via := start(t)
	a := start(t, via)
	address, conns := listen(t)
	_, far := open(t, a, address, conns)
	require.Eventually(t, func() bool {
		_, ok := via.Holds("e", address)
		return ok
	}, 30*time.Second, time.Millisecond)
	_, ok := via.Holds("other", address)
	require.False(t, ok)
	via.Dial = func(context.Context, tunnel.Request) (net.Conn, tunnel.Outcome) { return nil, tunnel.InUse }
	require.Equal(t, tunnel.InUse, a.Probe(t.Context(), tunnel.Request{Endpoint: "e", Address: address}))
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool {
		_, ok := via.Holds("e", address)
		return !ok
	}, 30*time.Second, time.Millisecond)
}
