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

// slowLink passes connections on to an address, and holds back what comes from there on each once
// it is more than some bytes, until it is released.
type slowLink struct {
	t        *testing.T
	target   string
	passed   int64
	released chan struct{}
	conns    atomic.Int64
	mu       sync.Mutex
	open     []net.Conn
}

func newSlowLink(t *testing.T, to string, free int64) (link *slowLink, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.4:0")
	require.NoError(t, err)
	s := &slowLink{t: t, target: to, passed: free, released: make(chan struct{})}
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
	return s, l.Addr().String()
}

func (s *slowLink) forward(near net.Conn) {
	far, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = near.Close()
		return
	}
	s.mu.Lock()
	s.open = append(s.open, near, far)
	s.mu.Unlock()
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.CopyN(near, far, s.passed)
	<-s.released
	_, _ = io.Copy(near, far)
	_ = near.Close()
}

// The records of 10,000 endpoints take a relay's link longer than a round has when all its members
// ask for them: each member gave up after 0.45 s, held up its rounds meanwhile, closed the
// connection as a silent one and asked again, so that none got them. They are fetched beside the
// rounds, on a connection of their own.
func TestRoundsContinueDuringSlowFetch(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	for i := range 3000 {
		m.Set(fmt.Sprintf("e/i-%08x", 2654435761*uint32(i)), "ready")
	}
	at := unusedAddress(t)
	link, seen := newSlowLink(t, at, 24<<10)
	a := startBoxWith(t, m, "a", "dc0", at, func(b *box) { b.Address = seen })
	waitUntil(t, func() bool { return a.IsRelay() && len(a.known.Roster.IDs()) == 3000 })
	waitUntil(t, func() bool { return len(slotsInStore(t, m)) == 1 })
	own := &faultyStore{Store: m}
	own.readOnly.Store(true) // it takes no place of a relay
	b := startBox(t, own, "b", "dc0")
	waitUntil(t, func() bool { return b.othersTotal().Boxes == 1 })
	before := b.roundCount()
	waitUntil(t, func() bool { return b.roundCount() > before+5 })
	require.Equal(t, 1, b.othersTotal().Boxes)
	require.Zero(t, b.known.Roster.Len())
	require.LessOrEqual(t, link.conns.Load(), int64(3), "that of the rounds, and those that the two fetches opened at once")
	close(link.released)
	waitUntil(t, func() bool { return len(b.known.Roster.IDs()) == 3000 })
}

// A fetch whose connection a cut holds up says nothing for as long as it may take. A box that has
// found another relay meanwhile fetches from that one.
func TestStalledFetchReplaced(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	for i := range 3000 {
		m.Set(fmt.Sprintf("e/i-%08x", 2654435761*uint32(i)), "ready")
	}
	at := unusedAddress(t)
	_, seen := newSlowLink(t, at, 24<<10)
	first := &faultyStore{Store: m}
	a := startBoxWith(t, first, "a", "dc0", at, func(b *box) { b.Address = seen })
	waitUntil(t, func() bool { return a.IsRelay() && a.known.Roster.Len() == 3000 })
	own := &faultyStore{Store: m}
	own.readOnly.Store(true) // it takes no place of a relay
	b := startBox(t, own, "b", "dc0")
	waitUntil(t, func() bool { return b.othersTotal().Boxes == 1 })
	before := b.roundCount()
	waitUntil(t, func() bool { return b.roundCount() > before+3 })
	require.Zero(t, b.known.Roster.Len())
	c := startBox(t, m, "c", "dc0")
	waitUntil(t, func() bool { return c.IsRelay() && c.known.Roster.Len() == 3000 })
	first.silent.Store(true) // its relay hears the store no more, and is left for the other
	waitUntil(t, func() bool { return b.known.Roster.Len() == 3000 })
}
