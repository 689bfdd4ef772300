package gossip_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
)

// watcherDataCentres returns the data centres of the boxes that watch the store, sorted.
func watcherDataCentres(bs []*box) []string {
	var dcs []string
	for _, b := range bs {
		if !b.stopped && b.state.IsWatching() {
			dcs = append(dcs, b.DataCentre)
		}
	}
	slices.Sort(dcs)
	return dcs
}

// closableStore is one box's connection to the store, which can be closed.
type closableStore struct {
	store.Store
	closed atomic.Bool
}

func (cs *closableStore) Renew(c context.Context, l store.Lease) error {
	if cs.closed.Load() {
		return store.ErrUnavailable
	}
	return cs.Store.Renew(c, l)
}

func (cs *closableStore) Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	if cs.closed.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return cs.Store.Watch(c, prefix, since, wait, limit)
}

// Two relays of different data centres watch the store. When one stops, or gets no more answers from
// the store, another takes over, and all changes reach all boxes.
func TestWatcherReplaced(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":1}`)
	bs, stores := make([]*box, 0, 9), make([]*closableStore, 0, 9)
	for i := range 9 {
		g := &closableStore{Store: m}
		stores = append(stores, g)
		bs = append(bs, startBox(t, g, fmt.Sprint("box", i), fmt.Sprint("dc", i%3)))
	}
	version := 1
	caughtUp := func() bool {
		return !slices.ContainsFunc(bs, func(b *box) bool {
			return !b.stopped && (b.version() != uint64(version) || len(b.state.Roster.IDs()) != version-1)
		})
	}
	settled := func() bool {
		w := watcherDataCentres(bs)
		return len(w) == 2 && w[0] != w[1]
	}
	change := func() {
		version++
		m.Set("config", fmt.Sprintf(`{"Version":%d}`, version))
		m.Set(fmt.Sprint("e/", version), "ready")
		waitUntil(t, caughtUp)
	}
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 6 })
	waitUntil(t, settled)
	change()
	first := slices.IndexFunc(bs, func(b *box) bool { return b.state.IsWatching() })
	bs[first].stop()
	change()
	waitUntil(t, settled)
	next := slices.IndexFunc(bs, func(b *box) bool { return !b.stopped && b.state.IsWatching() })
	stores[next].closed.Store(true)
	change()
	waitUntil(t, func() bool {
		return len(watcherDataCentres(bs)) >= 2 && !bs[next].state.IsWatching()
	})
	change()
}

// callCounter counts the calls that read or watch a prefix.
type callCounter struct {
	*memstore.Store
	ranges  atomic.Int64
	watches atomic.Int64
}

func (c *callCounter) Watch(x context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	c.watches.Add(1)
	return c.Store.Watch(x, prefix, since, wait, limit)
}

func (c *callCounter) Range(x context.Context, prefix string) ([]store.Item, uint64, error) {
	c.ranges.Add(1)
	return c.Store.Range(x, prefix)
}

// While the store answers no box, members keep what they know, and none requests everything from the
// store because it finds no usable relay. When the store is back, changes reach all boxes.
func TestStoreOutageForAllBoxes(t *testing.T) {
	m := &callCounter{Store: &memstore.Store{}}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 12)
	for i := range 12 {
		bs = append(bs, startBox(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	caughtUp := func(version uint64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(bs, func(b *box) bool { return b.version() != version || b.othersTotal().Boxes != 11 })
		}
	}
	waitUntil(t, caughtUp(3))
	last, since := int64(0), 0
	waitUntil(t, func() bool {
		if n := m.ranges.Load(); n != last {
			last, since = n, bs[0].roundCount()
		}
		return bs[0].roundCount() >= since+6 // no box is looking for a slot or a relay
	})
	m.SetDown(true)
	before := m.ranges.Load() + m.watches.Load()
	waitUntil(t, func() bool {
		return !slices.ContainsFunc(bs, func(b *box) bool { return b.session.StoreUnresponsiveFor() < 3*time.Second })
	})
	require.LessOrEqual(t, m.ranges.Load()+m.watches.Load()-before, int64(24))
	m.SetDown(false)
	m.Set("config", `{"Version":5}`)
	waitUntil(t, caughtUp(5))
}

// Changes of many endpoints at once reach all boxes.
func TestManyRecordsReachAllBoxes(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool { return countBoxes(bs, (*box).IsRelay) == 4 && len(watcherDataCentres(bs)) == 2 })
	for i := range 200 {
		m.Set(fmt.Sprint("e/", i), "ready")
	}
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return len(b.state.Roster.IDs()) == 200 }) == 7 })
}
