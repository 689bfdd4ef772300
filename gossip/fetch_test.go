package gossip_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
)

// slowLink forwards connections to target. After the first freeBytes bytes from there, or to there if toTarget is set, it holds
// back the rest on each connection until it is released.
type slowLink struct {
	t         *testing.T
	target    string
	freeBytes int64
	toTarget  bool
	released  chan struct{}
	conns     atomic.Int64
	mu        sync.Mutex
	open      []net.Conn
}

func newSlowLink(t *testing.T, target string, freeBytes int64) (link *slowLink, address string) {
	t.Helper()
	s := &slowLink{t: t, target: target, freeBytes: freeBytes, released: make(chan struct{})}
	return s, s.start()
}

// start starts to forward connections, and returns the address of the link.
func (s *slowLink) start() string {
	t := s.t
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.4:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.open {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.forward(c)
		}
	}()
	return l.Addr().String()
}

func (s *slowLink) forward(client net.Conn) {
	server, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = client.Close()
		return
	}
	s.mu.Lock()
	s.open = append(s.open, client, server)
	s.mu.Unlock()
	from, to := server, client
	if s.toTarget {
		from, to = client, server
	}
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	}()
	_, _ = io.CopyN(to, from, s.freeBytes)
	<-s.released
	_, _ = io.Copy(to, from)
	_ = to.Close()
}

// A slow fetch of records doesn't block the rounds, and uses its own connection. When all members
// fetch the records of 10,000 endpoints, a relay's link needs longer than a round: with fetches inside
// the rounds, each member gave up after 0.45 s, closed the connection as unresponsive and asked again,
// and none received the records.
func TestRoundsContinueDuringSlowFetch(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	for i := range 3000 {
		m.Set(fmt.Sprintf("e/i-%08x", 2654435761*uint32(i)), "ready")
	}
	address := unusedAddress(t)
	link, linkAddress := newSlowLink(t, address, 24<<10)
	a := startBoxWith(t, m, "a", "dc0", address, func(b *box) { b.Address = linkAddress })
	waitUntil(t, func() bool { return a.IsRelay() && len(a.state.Roster.IDs()) == 3000 })
	waitUntil(t, func() bool { return len(slotsInStore(t, m)) == 1 })
	readOnlyStore := &faultyStore{Store: m}
	readOnlyStore.readOnly.Store(true) // it can't claim a relay slot
	b := startBox(t, readOnlyStore, "b", "dc0")
	waitUntil(t, func() bool { return b.othersTotal().Boxes == 1 })
	before := b.roundCount()
	waitUntil(t, func() bool { return b.roundCount() > before+5 })
	require.Equal(t, 1, b.othersTotal().Boxes)
	require.Zero(t, b.state.Roster.Len())
	require.LessOrEqual(t, link.conns.Load(), int64(5), "one for the rounds, and two for each of two fetches, which are joined once")
	close(link.released)
	waitUntil(t, func() bool { return len(b.state.Roster.IDs()) == 3000 })
}

// A fetch can stall until its timeout when a partition blocks its connection. A box that has switched
// to another relay meanwhile fetches from that one.
func TestStalledFetchReplaced(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	for i := range 3000 {
		m.Set(fmt.Sprintf("e/i-%08x", 2654435761*uint32(i)), "ready")
	}
	address := unusedAddress(t)
	_, linkAddress := newSlowLink(t, address, 24<<10)
	first := &faultyStore{Store: m}
	a := startBoxWith(t, first, "a", "dc0", address, func(b *box) { b.Address = linkAddress })
	waitUntil(t, func() bool { return a.IsRelay() && a.state.Roster.Len() == 3000 })
	readOnlyStore := &faultyStore{Store: m}
	readOnlyStore.readOnly.Store(true) // it can't claim a relay slot
	b := startBox(t, readOnlyStore, "b", "dc0")
	waitUntil(t, func() bool { return b.othersTotal().Boxes == 1 })
	before := b.roundCount()
	waitUntil(t, func() bool { return b.roundCount() > before+3 })
	require.Zero(t, b.state.Roster.Len())
	c := startBox(t, m, "c", "dc0")
	waitUntil(t, func() bool { return c.IsRelay() && c.state.Roster.Len() == 3000 })
	first.silent.Store(true) // the store doesn't answer this relay, so its member switches
	waitUntil(t, func() bool { return b.state.Roster.Len() == 3000 })
}
