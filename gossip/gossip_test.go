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
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/fleetclock"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
)

// box is a box with the services that gossip needs.
type box struct {
	*gossip.Gossip
	t       *testing.T
	state   *fleetstate.Service
	session *storesession.Session
	node    *peer.Node
	stopped bool

	mu            sync.Mutex
	others        gossip.Status
	rounds        int
	restoredQuota quota.Before // passed to RestoreQuota at the start

	stats         map[string]estimate.Stats
	restoredStats map[string]estimate.Stats // passed to RestoreEndpointStats at the start
}

// unusedAddress returns an address on which no process listens. No connections are made from its IP
// address: with the usual one, a connection took the port before the test listened on it in 32 of
// 1,152 runs, 12 at a time.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.3:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startBox starts a box; seeds are the peer addresses in its settings.
func startBox(t *testing.T, s store.Store, name, dc string, seeds ...string) *box {
	t.Helper()
	return startBoxAt(t, s, name, dc, unusedAddress(t), seeds...)
}

// startBoxFirstTime starts a box at the first start of the whole system.
func startBoxFirstTime(t *testing.T, s store.Store, name, dc string) *box {
	t.Helper()
	return startBoxWith(t, s, name, dc, unusedAddress(t), func(b *box) { b.FirstStart = true })
}

// processCount numbers the started processes.
var processCount atomic.Int64

// startBoxAt starts a box with the given peer address.
func startBoxAt(t *testing.T, s store.Store, name, dc, address string, seeds ...string) *box {
	t.Helper()
	return startBoxWith(t, s, name, dc, address, func(b *box) { b.Seeds = seeds })
}

// startBoxWith starts a box after set has changed its fields.
func startBoxWith(t *testing.T, s store.Store, name, dc, address string, set func(*box)) *box {
	t.Helper()
	b := &box{t: t, session: storesession.New(s, zerolog.Nop()), node: peer.NewNode(address, address, "secret", metrics.NewRegistry())}
	b.state = fleetstate.New(fleetstate.Source{
		ConfigKey: "config", EndpointsPrefix: "e/",
		DecodeConfig: func(v []byte) (*catalog.Document, error) {
			var d catalog.Document
			return &d, json.Unmarshal(v, &d)
		},
		DecodeEndpoint: func(k string, _ []byte) (endpoint.Endpoint, error) {
			return endpoint.Endpoint{ID: strings.TrimPrefix(k, "e/"), Service: "s"}, nil
		},
	}, s, zerolog.Nop())
	b.state.DeferWatch = true
	b.Gossip = gossip.New(zerolog.Nop())
	b.Clock = fleetclock.New(time.Now)
	b.Quota = &quota.Quota{
		Self: quota.Arbiter{Box: name, DataCentre: dc, Address: address}, Started: time.Now(),
		Incarnation: fmt.Sprint("life", processCount.Add(1)), Rand: rand.Float64,
	}
	b.Box, b.DataCentre, b.Address, b.Prefix, b.Store = name, dc, address, "relays/", s
	b.LocalStatus = func() gossip.Status {
		v, _ := b.state.RawConfig()
		return gossip.Status{
			Box: name, DataCentre: dc, Address: address, Version: v,
			Speeds: map[string]estimate.Stats{"s": {Moments: [5]float64{1}}}, Load: map[string]balance.Load{"x": {Running: 1, Tokens: 10}},
			Failing: map[string]balance.CallCounts{"x": {Total: 2, Failed: 1}}, Evidence: b.Rollouts.LocalEvidence(),
		}
	}
	b.OnRound = func(others gossip.Status) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.others = others
		if others.Speeds != nil {
			b.stats = others.Speeds
		}
		b.rounds++
	}
	b.SnapshotKey = "before"
	b.Snapshot = func(boxes int) quota.Before {
		p := b.Quota.Snapshot(boxes, nil, time.Now())
		p.Short = map[string]float64{"a": -7}
		return p
	}
	b.EndpointStats = func() map[string]estimate.Stats {
		return map[string]estimate.Stats{"s": {Moments: [5]float64{30}}}
	}
	b.RestoreEndpointStats = func(s map[string]estimate.Stats) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.restoredStats = s
	}
	b.RestoreQuota = func(p quota.Before) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.restoredQuota = p
		b.Quota.Restore(p)
	}
	set(b)
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{b.session, b.node, b.state, b.Gossip} {
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
	_ = b.state.Stop(context.Background())
	_ = b.node.Stop(context.Background())
	_ = b.session.Stop(context.Background())
}

func (b *box) othersTotal() gossip.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.others
}

// answersOfOthers returns the number of observed answers in the others' last endpoint statistics.
func (b *box) answersOfOthers() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats["s"].Moments[0]
}

func (b *box) roundCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rounds
}

func (b *box) version() uint64 {
	v, _ := b.state.RawConfig()
	return v
}

func waitUntil(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 30*time.Second, 5*time.Millisecond)
}

func startSevenBoxes(t *testing.T, m *memstore.Store) []*box {
	t.Helper()
	bs := make([]*box, 0, 7)
	for i := range 7 {
		bs = append(bs, startBox(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	return bs
}

func countBoxes(bs []*box, f func(*box) bool) int {
	n := 0
	for _, b := range bs {
		if f(b) {
			n++
		}
	}
	return n
}

// In a fleet of up to twelve boxes, all exchange hints, relays and members alike.
func TestHintPeersInSmallFleet(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool {
			near := b.Peers().Near
			return len(near) == 6 && !slices.Contains(near, b.Address)
		}) == 7
	})
}

// A box that starts in an outage of the store, beside no relay, must get by with the seeds.
func TestSeedsUntilPeersAreKnown(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	m.SetDown(true)
	a := startBox(t, m, "a", "dc0")
	address := unusedAddress(t)
	b := startBoxAt(t, m, "b", "dc0", address, address, a.Address)
	waitUntil(t, func() bool { return b.roundCount() > 1 })
	require.Empty(t, b.Peers().Near)
	require.Equal(t, []string{a.Address}, b.PeersOrSeeds().Near)
	m.SetDown(false)
	waitUntil(t, func() bool { return len(b.Peers().Near) == 1 })
	require.Equal(t, b.Peers(), b.PeersOrSeeds())
}

// Guards against boxes that start in an outage of the store and are told nothing of the others until its end, although a seed is a
// relay or knows one. One of their own data centre is chosen.
func TestBoxJoinsRelayInOutage(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 6)
	for i := range 6 {
		bs = append(bs, startBox(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return len(b.Peers().Near) == 5 }) == 6 && countBoxes(bs, func(b *box) bool { return b.IsRelay() }) == 4
	})
	m.SetDown(true)
	for _, seed := range bs {
		name := fmt.Sprint("beside ", seed.Box)
		b := startBox(t, m, name, "dc0", seed.Address)
		waitUntil(t, func() bool { return len(b.Peers().Near) >= 4 && b.RelayAddress() != "" && b.version() == 3 })
		waitUntil(t, func() bool {
			return countBoxes(bs, func(b *box) bool {
				return b.IsRelay() && slices.ContainsFunc(b.Members(), func(s gossip.Status) bool { return s.Box == name })
			}) == 1
		})
	}
	m.SetDown(false)
}

// In a larger fleet, boxes of one data centre exchange all hints, and boxes of different ones only
// those of very long prompts.
func TestHintPeersInLargeFleet(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 14)
	for i := range 14 {
		bs = append(bs, startBox(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool {
			p := b.Peers()
			return len(p.Near) == 6 && len(p.Far) == 7 && b.othersTotal().Boxes == 13
		}) == 14
	})
}

// Two boxes of each data centre become relays, and two of the relays watch the store. Each box learns
// the sums of all others, and changes of the store reach all boxes.
func TestRelaysAndMembers(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 4 })
	waitUntil(t, func() bool { return slices.Equal(watcherDataCentres(bs), []string{"dc0", "dc1"}) })
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool {
			s := b.othersTotal()
			return s.Boxes == 6 && s.Load["x"].Tokens == 60
		}) == 7
	})
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return b.answersOfOthers() == 6 }) == 7
	})
	m.Set("config", `{"Version":5}`)
	m.Set("e/y", "ready")
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return b.version() == 5 && len(b.state.Roster.IDs()) == 2 }) == 7
	})
}

// The age of the others' reports is the time since LastContact. If rounds without an answer renewed it,
// a box that is cut off would take old reports for new.
func TestLastContactEndsWithOtherBoxes(t *testing.T) {
	m := &memstore.Store{}
	a, b := startBox(t, m, "a", "dc"), startBox(t, m, "b", "dc")
	waitUntil(t, func() bool { return a.othersTotal().Boxes == 1 })
	b.stop()
	last, n := a.LastContact(), a.roundCount()
	require.False(t, last.IsZero())
	waitUntil(t, func() bool { return a.roundCount() >= n+2 })
	require.Equal(t, last, a.LastContact())
}

// When a relay stops, a member claims its slot, and changes still reach all boxes.
func TestMemberReplacesStoppedRelay(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 4 })
	var remaining []*box
	stopped := false
	for _, b := range bs {
		if !stopped && b.IsRelay() && b.DataCentre == "dc0" {
			stopped = true
			b.stop()
			continue
		}
		remaining = append(remaining, b)
	}
	waitUntil(t, func() bool { return countBoxes(remaining, (*box).IsRelay) == 4 })
	m.Set("config", `{"Version":6}`)
	waitUntil(t, func() bool { return countBoxes(remaining, func(b *box) bool { return b.version() == 6 }) == 6 })
}

// unavailableStore is a store that one box can't reach.
type unavailableStore struct {
	store.Store
}

func (unavailableStore) Range(context.Context, string) ([]store.Item, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (unavailableStore) Watch(context.Context, string, uint64, time.Duration, int) ([]store.Item, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (unavailableStore) Grant(context.Context, time.Duration) (store.Lease, time.Duration, error) {
	return 0, 0, store.ErrUnavailable
}

// A box that can't reach the store from its start on learns the configuration and the endpoints from
// other boxes, one of which is in its settings.
func TestBoxWithoutStoreLearnsFromSeed(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	a := startBox(t, m, "a", "dc0")
	waitUntil(t, func() bool { return a.version() == 3 })
	b := startBox(t, unavailableStore{m}, "b", "dc1", a.Address)
	waitUntil(t, func() bool { return b.version() == 3 && len(b.state.Roster.IDs()) == 1 })
	m.Set("config", `{"Version":4}`)
	waitUntil(t, func() bool { return b.version() == 4 })
}

// faultyStore is a store that can be made to reject commits, and to leave lease calls unanswered.
type faultyStore struct {
	store.Store
	readOnly, silent atomic.Bool
}

func (f *faultyStore) Commit(c context.Context, x store.Change) (uint64, error) {
	if f.readOnly.Load() {
		return 0, store.ErrUnavailable
	}
	return f.Store.Commit(c, x)
}

func (f *faultyStore) Renew(c context.Context, l store.Lease) error {
	if f.silent.Load() {
		return store.ErrUnavailable
	}
	return f.Store.Renew(c, l)
}

func (f *faultyStore) Revoke(c context.Context, l store.Lease) error {
	if f.silent.Load() {
		return store.ErrUnavailable
	}
	return f.Store.Revoke(c, l)
}

// startFourBoxes starts two relays of a data centre with a store each, a member of the same data
// centre, and a box of another one.
func startFourBoxes(t *testing.T, m *memstore.Store, p, q *faultyStore) []*box {
	t.Helper()
	a := startBox(t, p, "a", "dc0")
	waitUntil(t, a.IsRelay)
	b := startBox(t, q, "b", "dc0")
	waitUntil(t, b.IsRelay)
	bs := []*box{a, b, startBox(t, m, "c", "dc0"), startBox(t, m, "d", "dc1")}
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 3 }) == 4 })
	return bs
}

// While the store doesn't answer a relay, its members are represented by the other relay, and counted
// once.
func TestMemberCountedOnceAfterRelayChange(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	stores := []*faultyStore{{Store: m}, {Store: m}}
	bs := startFourBoxes(t, m, stores[0], stores[1])
	relay := 0
	if len(bs[1].Members()) > 0 {
		relay = 1
	}
	waitUntil(t, func() bool { return bs[3].othersTotal().Load["x"].Tokens == 30 })
	stores[relay].silent.Store(true)
	waitUntil(t, func() bool { return len(bs[1-relay].Members()) == 1 })
	n := bs[3].roundCount()
	waitUntil(t, func() bool { return bs[3].roundCount() > n+2 })
	waitUntil(t, func() bool { return bs[3].othersTotal().Boxes == 3 })
	require.Equal(t, 30, bs[3].othersTotal().Load["x"].Tokens)
}

// A box that starts learns from the store the former number of boxes, the accounts that were short
// and the endpoint statistics, before it receives other boxes' reports.
func TestSnapshotRestoredAtStart(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := []*box{startBox(t, m, "a", "dc0"), startBox(t, m, "b", "dc0"), startBox(t, m, "c", "dc1")}
	waitUntil(t, func() bool {
		var p quota.Before
		i, err := m.Get(t.Context(), "before")
		return err == nil && json.Unmarshal(i.Value, &p) == nil && p.Boxes == 3
	})
	for _, b := range bs {
		b.stop()
	}
	b := startBox(t, m, "d", "dc1")
	waitUntil(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.restoredQuota.Boxes == 3 && b.restoredQuota.Short["a"] == -7 && b.restoredStats["s"].Moments[0] == 10
	})
}
