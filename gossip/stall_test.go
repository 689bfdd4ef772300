package gossip_test

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/stand/script"
	"birchlink.dev/birchlink/store"
)

// maxLateRounds is how many rounds a member may make until it has what its relays have: changes must be in force after 2 s.
const maxLateRounds = 4

// startupRounds is more than the number of rounds that a box makes in quick succession after its start.
const startupRounds = 22

// stallingLink forwards connections to a box. Connections can fall silent for good without an error.
type stallingLink struct {
	target  string
	address string
	end     chan struct{}

	mu      sync.Mutex
	flows   []*flow
	isDead  bool // all connections are silent, new ones too
	fetches bool // connections fall silent once something is fetched over them
}

// flow is one connection.
type flow struct {
	silent  chan struct{} // closed once it is silent
	once    sync.Once
	fetched bool // something was fetched over it; guarded by the link's mu
}

func (f *flow) hush() { f.once.Do(func() { close(f.silent) }) }

func newStallingLink(t *testing.T, target string) *stallingLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.5:0")
	require.NoError(t, err)
	s := &stallingLink{target: target, address: l.Addr().String(), end: make(chan struct{})}
	t.Cleanup(func() {
		close(s.end)
		_ = l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(c)
		}
	}()
	return s
}

// hush makes the open connections silent, or only those over which something was fetched.
func (s *stallingLink) hush(onlyFetched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if f.fetched || !onlyFetched {
			f.hush()
		}
	}
}

// set changes what happens to connections from now on.
func (s *stallingLink) set(dead, fetches bool) {
	s.mu.Lock()
	s.isDead, s.fetches = dead, fetches
	s.mu.Unlock()
	if dead {
		s.hush(false)
	}
}

func (s *stallingLink) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer server.Close()
	f := &flow{silent: make(chan struct{})}
	s.mu.Lock()
	s.flows = append(s.flows, f)
	if s.isDead {
		f.hush()
	}
	s.mu.Unlock()
	ended := make(chan struct{}, 2)
	go s.copy(f, server, client, ended)
	go s.copy(f, client, server, ended)
	select {
	case <-ended:
	case <-s.end:
	}
}

func (s *stallingLink) copy(f *flow, to, from net.Conn, ended chan struct{}) {
	defer func() { ended <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		s.mu.Lock()
		if bytes.Contains(b[:n], []byte("gossip.configuration")) || bytes.Contains(b[:n], []byte("gossip.records")) {
			f.fetched = true
			if s.fetches {
				f.hush()
			}
		}
		s.mu.Unlock()
		select {
		case <-f.silent:
			<-s.end
			return
		default:
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			return
		}
	}
}

// stallScript plays one script: relays of one data centre, a member of the last of them, and perhaps relays of another data centre.
type stallScript struct {
	t       *testing.T
	store   *memstore.Store
	relays  []*box
	links   []*stallingLink // to the relays of the member's data centre
	member  *box
	toOwn   *stallingLink // to the member
	version uint64
	records int
}

func newStallScript(t *testing.T, relays, remote int) *stallScript {
	t.Helper()
	s := &stallScript{t: t, store: &memstore.Store{}, version: 1}
	s.store.Set("config", `{"Version":1}`)
	for i := range relays {
		b, l := s.startLinked(s.store, fmt.Sprint("relay", i))
		s.relays, s.links = append(s.relays, b), append(s.links, l)
		waitUntil(t, func() bool { return b.IsRelay() && b.version() == 1 })
	}
	for i := range remote {
		b := startBox(t, s.store, fmt.Sprint("remote", i), "dc1")
		s.relays = append(s.relays, b)
		waitUntil(t, func() bool { return b.IsRelay() && b.version() == 1 })
	}
	readOnlyStore := &faultyStore{Store: s.store}
	readOnlyStore.readOnly.Store(true) // it can't claim a relay slot
	s.member, s.toOwn = s.startLinked(readOnlyStore, "b")
	own := s.links[len(s.links)-1].address
	waitUntil(t, func() bool {
		return s.member.version() == 1 && s.member.RelayAddress() == own && !s.member.state.IsWatching()
	})
	waitUntil(t, func() bool { return s.member.roundCount() > startupRounds })
	return s
}

// startLinked starts a box that others reach over a link.
func (s *stallScript) startLinked(m store.Store, name string) (*box, *stallingLink) {
	s.t.Helper()
	address := unusedAddress(s.t)
	l := newStallingLink(s.t, address)
	return startBoxWith(s.t, m, name, "dc0", address, func(b *box) {
		b.Address = l.address
		status := b.LocalStatus
		b.LocalStatus = func() gossip.Status {
			x := status()
			x.Address = l.address
			return x
		}
	}), l
}

// run executes one command.
func (s *stallScript) run(line string) {
	s.t.Helper()
	w := strings.Fields(line)
	switch w[0] {
	case "hush", "hush_fetching", "dead", "no_fetches":
		s.disturb(w[0], w[1])
	case "configurations":
		size, n := s.number(w[1]), s.number(w[3])
		pad := randomText(size)
		for range n {
			s.version++
			s.store.Set("config", fmt.Sprintf(`{"Version":%d,"Pad":"%s"}`, s.version, pad))
			s.await(line, func(b *box) bool { return b.version() >= s.version })
		}
	case "records":
		for range s.number(w[3]) {
			for range s.number(w[1]) {
				s.records++
				s.store.Set(fmt.Sprintf("e/i-%08x", 2654435761*uint32(s.records)), "ready")
			}
			s.await(line, func(b *box) bool { return b.state.Roster.Len() == s.records })
		}
	default:
		s.t.Fatalf("unknown command %q", line)
	}
}

// disturb disturbs the links to one box, or to all.
func (s *stallScript) disturb(what, to string) {
	for i, l := range append([]*stallingLink{s.toOwn}, s.links...) {
		name := "member"
		if i > 0 {
			name = fmt.Sprint("relay", i-1)
		}
		switch {
		case to != name && to != "all":
		case strings.HasPrefix(what, "hush"):
			l.hush(what == "hush_fetching")
		default:
			l.set(what == "dead", what == "no_fetches")
		}
	}
}

func (s *stallScript) number(text string) int {
	s.t.Helper()
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return n
}

// await waits until the relays have a change, and then until the member has it too, for at most maxLateRounds of its rounds.
func (s *stallScript) await(line string, has func(*box) bool) {
	s.t.Helper()
	for _, r := range s.relays {
		waitUntil(s.t, func() bool { return has(r) })
	}
	before := s.member.roundCount()
	waitUntil(s.t, func() bool { return has(s.member) || s.member.roundCount() > before+maxLateRounds })
	require.True(s.t, has(s.member), "%s: the member lacks version %d or record %d after %d rounds", line, s.version, s.records, s.member.roundCount()-before)
}

// Guards against boxes that stay at old configurations and records while one connection, one relay or all open connections stall
// without an error: they denied requests for new routes, and sent requests to endpoints that were leaving.
func TestStallsHoldUpNothing(t *testing.T) {
	for _, x := range script.Read(t, "testdata/stalls.txt") {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			var relays, remote int
			_, err := fmt.Sscanf(x.Lines[0], "relays %d remote %d", &relays, &remote)
			require.NoError(t, err)
			s := newStallScript(t, relays, remote)
			for _, line := range x.Lines[1:] {
				s.run(line)
			}
		})
	}
}
