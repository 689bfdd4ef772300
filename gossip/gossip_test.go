package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/daytime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
)

// box is one box with what gossip needs.
type box struct {
	*gossip.Gossip
	t       *testing.T
	known   *known.Known
	session *session.Session
	node    *peer.Node
	stopped bool

	mu     sync.Mutex
	others gossip.Status
	rounds int
	before quota.Before // as the box was told at its start

	speeds   map[string]estimate.Stats
	recalled map[string]estimate.Stats // what it was told then of speeds
}

// address returns an address that nobody listens on. Its IP number is none from which
// connections are made: one of them took the port before it was listened on, in 32 of 1,152
// runs that ran 12 at a time.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.3:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start begins a box; seeds are the addresses it knows from its settings.
func start(t *testing.T, s store.Store, name, dc string, seeds ...string) *box {
	t.Helper()
	return startAt(t, s, name, dc, address(t), seeds...)
}

// startFirst begins a box on the first start of the whole system.
func startFirst(t *testing.T, s store.Store, name, dc string) *box {
	t.Helper()
	return startWith(t, s, name, dc, address(t), func(b *box) { b.First = true })
}

// lives numbers the processes that were started.
var lives atomic.Int64

// startAt begins a box whose address for peers is given.
func startAt(t *testing.T, s store.Store, name, dc, a string, seeds ...string) *box {
	t.Helper()
	return startWith(t, s, name, dc, a, func(b *box) { b.Seeds = seeds })
}

// startWith begins a box after something of it has been set.
func startWith(t *testing.T, s store.Store, name, dc, a string, set func(*box)) *box {
	t.Helper()
	b := &box{t: t, session: session.New(s, zerolog.Nop()), node: peer.NewNode(a, a, "secret", metrics.NewRegistry())}
	b.known = known.New(known.Source{
		ConfigKey: "config", EndpointsPrefix: "e/",
		Document: func(v []byte) (*catalog.Document, error) {
			var d catalog.Document
			return &d, json.Unmarshal(v, &d)
		},
		Endpoint: func(k string, _ []byte) (endpoint.Endpoint, error) {
			return endpoint.Endpoint{ID: strings.TrimPrefix(k, "e/"), Service: "s"}, nil
		},
	}, s, zerolog.Nop())
	b.known.Told = true
	b.Gossip = gossip.New(zerolog.Nop())
	b.Clock = daytime.New(time.Now)
	b.Quota = &quota.Quota{Self: quota.Arbiter{Box: name, DataCentre: dc, Address: a}, Started: time.Now(), Incarnation: fmt.Sprint("life", lives.Add(1)), Chance: rand.Float64}
	b.Box, b.DataCentre, b.Address, b.Prefix, b.Store = name, dc, a, "relays/", s
	b.Own = func() gossip.Status {
		v, _ := b.known.Raw()
		return gossip.Status{
			Box: name, DataCentre: dc, Address: a, Version: v,
			Speeds: map[string]estimate.Stats{"s": {Moments: [5]float64{1}}}, Load: map[string]balance.Load{"x": {Running: 1, Tokens: 10}},
			Failing: map[string]balance.CallCounts{"x": {Total: 2, Failed: 1}}, Evidence: b.Rollouts.Evidence(),
		}
	}
	b.OnChange = func(others gossip.Status) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.others = others
		if others.Speeds != nil {
			b.speeds = others.Speeds
		}
		b.rounds++
	}
	b.BeforeKey = "before"
	b.Before = func(boxes int) quota.Before {
		p := b.Quota.Snapshot(boxes, nil, time.Now())
		p.Short = map[string]float64{"a": -7}
		return p
	}
	b.Speeds = func() map[string]estimate.Stats {
		return map[string]estimate.Stats{"s": {Moments: [5]float64{30}}}
	}
	b.Recall = func(s map[string]estimate.Stats) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.recalled = s
	}
	b.Expect = func(p quota.Before) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.before = p
		b.Quota.Restore(p)
	}
	set(b)
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{b.session, b.node, b.known, b.Gossip} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
	}
	t.Cleanup(b.stop)
	return b
}

func (b *box) stop() {
	if b.stopped {
		return
	}
	b.stopped = true
	_ = b.Stop(context.Background())
	_ = b.known.Stop(context.Background())
	_ = b.node.Stop(context.Background())
	_ = b.session.Stop(context.Background())
}

func (b *box) sum() gossip.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.others
}

// speed is how many answers the others were last told to have observed.
func (b *box) speed() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.speeds["s"].Moments[0]
}

func (b *box) played() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rounds
}

func (b *box) version() uint64 {
	v, _ := b.known.Raw()
	return v
}

func await(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 30*time.Second, 5*time.Millisecond)
}

func seven(t *testing.T, m *memstore.Memory) []*box {
	t.Helper()
	bs := make([]*box, 0, 7)
	for i := range 7 {
		bs = append(bs, start(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	return bs
}

func count(bs []*box, f func(*box) bool) int {
	n := 0
	for _, b := range bs {
		if f(b) {
			n++
		}
	}
	return n
}

// Up to a dozen boxes all tell each other what they send, whether relays or members.
func TestNear(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := seven(t, m)
	await(t, func() bool {
		return count(bs, func(b *box) bool {
			near := b.Peers().Near
			return len(near) == 6 && !slices.Contains(near, b.Address)
		}) == 7
	})
}

// In a larger fleet the boxes of a data centre do, and those of others are told of very
// long prompts only.
func TestNearInALargeFleet(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 14)
	for i := range 14 {
		bs = append(bs, start(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	await(t, func() bool {
		return count(bs, func(b *box) bool {
			p := b.Peers()
			return len(p.Near) == 6 && len(p.Far) == 7 && b.sum().Boxes == 13
		}) == 14
	})
}

// Two boxes of each data centre become relays, and two of these watch the store; each box
// knows the sums of all others, and a change of the store reaches all.
func TestRelaysAndMembers(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	bs := seven(t, m)
	await(t, func() bool { return count(bs, (*box).Relay) == 4 })
	await(t, func() bool { return slices.Equal(watchers(bs), []string{"dc0", "dc1"}) })
	await(t, func() bool {
		return count(bs, func(b *box) bool {
			s := b.sum()
			return s.Boxes == 6 && s.Load["x"].Tokens == 60
		}) == 7
	})
	await(t, func() bool {
		return count(bs, func(b *box) bool { return b.speed() == 6 }) == 7
	})
	m.Set("config", `{"Version":5}`)
	m.Set("e/y", "ready")
	await(t, func() bool {
		return count(bs, func(b *box) bool { return b.version() == 5 && len(b.known.Roster.IDs()) == 2 }) == 7
	})
}

// When a relay goes, a member takes its place, and the others are told on.
func TestRelayGoes(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := seven(t, m)
	await(t, func() bool { return count(bs, (*box).Relay) == 4 })
	var left []*box
	gone := false
	for _, b := range bs {
		if !gone && b.Relay() && b.DataCentre == "dc0" {
			gone = true
			b.stop()
			continue
		}
		left = append(left, b)
	}
	await(t, func() bool { return count(left, (*box).Relay) == 4 })
	m.Set("config", `{"Version":6}`)
	await(t, func() bool { return count(left, func(b *box) bool { return b.version() == 6 }) == 6 })
}

// away is a store that turns one box away while it serves the others.
type away struct {
	store.Store
}

func (away) Range(context.Context, string) ([]store.Item, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (away) Watch(context.Context, string, uint64, time.Duration) ([]store.Item, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (away) Grant(context.Context, time.Duration) (store.Lease, time.Duration, error) {
	return 0, 0, store.ErrUnavailable
}

// A box that the store turns away from its start learns the configuration and
// the endpoints from its neighbours, of whom its settings name one.
func TestTurnedAway(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	a := start(t, m, "a", "dc0")
	await(t, func() bool { return a.version() == 3 })
	b := start(t, away{m}, "b", "dc1", a.Address)
	await(t, func() bool { return b.version() == 3 && len(b.known.Roster.IDs()) == 1 })
	m.Set("config", `{"Version":4}`)
	await(t, func() bool { return b.version() == 4 })
}

// partial is a store that can be made to take no changes, and to answer no
// renewals.
type partial struct {
	store.Store
	readOnly, silent atomic.Bool
}

func (p *partial) Commit(c context.Context, x store.Change) (uint64, error) {
	if p.readOnly.Load() {
		return 0, store.ErrUnavailable
	}
	return p.Store.Commit(c, x)
}

func (p *partial) Renew(c context.Context, l store.Lease) error {
	if p.silent.Load() {
		return store.ErrUnavailable
	}
	return p.Store.Renew(c, l)
}

func (p *partial) Revoke(c context.Context, l store.Lease) error {
	if p.silent.Load() {
		return store.ErrUnavailable
	}
	return p.Store.Revoke(c, l)
}

// four starts two relays of a data centre, each with its own way to the store, a
// member of it, and a box of another data centre.
func four(t *testing.T, m *memstore.Memory, p, q *partial) []*box {
	t.Helper()
	a := start(t, p, "a", "dc0")
	await(t, a.Relay)
	b := start(t, q, "b", "dc0")
	await(t, b.Relay)
	bs := []*box{a, b, start(t, m, "c", "dc0"), start(t, m, "d", "dc1")}
	await(t, func() bool { return count(bs, func(b *box) bool { return b.sum().Boxes == 3 }) == 4 })
	return bs
}

// While a relay does not hear the store, the boxes that told it are counted by
// another, and by that one only.
func TestCountedOnce(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	ps := []*partial{{Store: m}, {Store: m}}
	bs := four(t, m, ps[0], ps[1])
	chosen := 0
	if len(bs[1].Members()) > 0 {
		chosen = 1
	}
	await(t, func() bool { return bs[3].sum().Load["x"].Tokens == 30 })
	ps[chosen].silent.Store(true)
	await(t, func() bool { return len(bs[1-chosen].Members()) == 1 })
	n := bs[3].played()
	await(t, func() bool { return bs[3].played() > n+2 })
	await(t, func() bool { return bs[3].sum().Boxes == 3 })
	require.Equal(t, 30, bs[3].sum().Load["x"].Tokens)
}

// A box that starts learns from the store how many there were, and which accounts
// were short, before it has heard any of them.
func TestWhatWasBefore(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := []*box{start(t, m, "a", "dc0"), start(t, m, "b", "dc0"), start(t, m, "c", "dc1")}
	await(t, func() bool {
		var p quota.Before
		i, err := m.Get(t.Context(), "before")
		return err == nil && json.Unmarshal(i.Value, &p) == nil && p.Boxes == 3
	})
	for _, b := range bs {
		b.stop()
	}
	b := start(t, m, "d", "dc1")
	await(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.before.Boxes == 3 && b.before.Short["a"] == -7 && b.recalled["s"].Moments[0] == 10
	})
}
