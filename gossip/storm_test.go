package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
)

// stuckStore is one box's connection to the store, over which the configuration can't be read while all else works.
type stuckStore struct {
	store.Store
	stuck atomic.Bool
}

func (s *stuckStore) Range(c context.Context, prefix string) ([]store.Item, uint64, error) {
	if prefix == "config" && s.stuck.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.Range(c, prefix)
}

func (s *stuckStore) Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	if prefix == "config" && s.stuck.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.Watch(c, prefix, since, wait, limit)
}

// Guards against a fleet that stays at an old configuration because those that watch the store for all can't read it, while
// they renew their leases and so seem to work.
func TestStuckWatchersAreReplaced(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":1}`)
	bs, stores := make([]*box, 0, 9), make([]*stuckStore, 0, 9)
	for i := range 9 {
		s := &stuckStore{Store: m}
		stores = append(stores, s)
		bs = append(bs, startBox(t, s, fmt.Sprint("box", i), fmt.Sprint("dc", i%3)))
	}
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 6 && len(watcherDataCentres(bs)) == 2 })
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.version() == 1 }) == 9 })
	for i, b := range bs {
		stores[i].stuck.Store(b.state.IsWatching())
	}
	m.Set("config", `{"Version":2}`)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.version() == 2 }) == 9 })
	for i := range stores {
		stores[i].stuck.Store(bs[i].IsRelay())
	}
	m.Set("config", `{"Version":3}`)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.version() == 3 }) == 9 })
}

// Guards against changes of endpoints that wait behind a configuration on a slow link, so that a box sends requests to an endpoint
// which has been draining for seconds.
func TestRecordsPassConfigurations(t *testing.T) {
	const size, freeBytes = 400_000, 200_000
	m := &memstore.Store{}
	pad := randomText(size)
	m.Set("config", `{"Version":1}`)
	address := unusedAddress(t)
	answers, relayAddress := newSlowLink(t, address, freeBytes)
	relay := startBoxWith(t, m, "a", "dc0", address, func(b *box) { b.Address = relayAddress })
	waitUntil(t, relay.IsRelay)
	readOnlyStore := &faultyStore{Store: m}
	readOnlyStore.readOnly.Store(true) // it can't claim a relay slot
	address = unusedAddress(t)
	calls := &slowLink{t: t, target: address, freeBytes: freeBytes, toTarget: true, released: make(chan struct{})}
	memberAddress := calls.start()
	member := startBoxWith(t, readOnlyStore, "b", "dc0", address, func(b *box) {
		b.Address = memberAddress
		status := b.LocalStatus
		b.LocalStatus = func() gossip.Status {
			s := status()
			s.Address = memberAddress
			return s
		}
	})
	waitUntil(t, func() bool { return member.version() == 1 && len(relay.Members()) == 1 })
	m.Set("config", fmt.Sprintf(`{"Version":2,"Pad":"%s"}`, pad))
	waitUntil(t, func() bool { return relay.version() == 2 })
	for i := range 5 {
		n := member.roundCount()
		waitUntil(t, func() bool { return member.roundCount() > n })
		m.Set(fmt.Sprint("e/", i), "ready")
		waitUntil(t, func() bool { return member.state.Roster.Len() == i+1 })
	}
	require.EqualValues(t, 1, member.version(), "the configuration is still under way")
	close(answers.released)
	close(calls.released)
	waitUntil(t, func() bool { return member.version() == 2 })
}

// randomText returns a text that can hardly be compressed.
func randomText(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"[rand.N(64)]
	}
	return b
}

// Guards against boxes that are sent every version of a configuration that changes faster than they take it.
func TestStormSendsNewestOnly(t *testing.T) {
	const size, changes = 200_000, 25
	m := &memstore.Store{}
	pad := randomText(size)
	set := func(version int) { m.Set("config", fmt.Sprintf(`{"Version":%d,"Pad":"%s"}`, version, pad)) }
	set(1)
	bs := startSevenBoxes(t, m)
	atVersion := func(v uint64) func() bool {
		return func() bool { return !slices.ContainsFunc(bs, func(b *box) bool { return b.version() != v }) }
	}
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 4 && len(watcherDataCentres(bs)) == 2 })
	waitUntil(t, atVersion(1))
	bytes := func() (n int64) {
		for _, b := range bs {
			n += b.node.Server.Bytes()
		}
		return n
	}
	before := bytes()
	for v := range changes {
		set(v + 2)
	}
	waitUntil(t, atVersion(changes+1))
	require.Less(t, bytes()-before, int64(len(bs)*size*4))
}
