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

// watchers returns the data centres of the boxes that watch the store, sorted.
func watchers(bs []*box) []string {
	var dcs []string
	for _, b := range bs {
		if !b.stopped && b.known.Follows() {
			dcs = append(dcs, b.DataCentre)
		}
	}
	slices.Sort(dcs)
	return dcs
}

// gate is one box's way to the store, which may be closed to it alone.
type gate struct {
	store.Store
	closed atomic.Bool
}

func (g *gate) Renew(c context.Context, l store.Lease) error {
	if g.closed.Load() {
		return store.ErrAway
	}
	return g.Store.Renew(c, l)
}

func (g *gate) Watch(c context.Context, prefix string, since uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if g.closed.Load() {
		return nil, 0, store.ErrAway
	}
	return g.Store.Watch(c, prefix, since, wait)
}

// Of all relays two watch the store, of different data centres. When one stops, or the
// store answers it no more, another does, and all boxes hear of each change.
func TestWatchers(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":1}`)
	bs, gates := make([]*box, 0, 9), make([]*gate, 0, 9)
	for i := range 9 {
		g := &gate{Store: m}
		gates = append(gates, g)
		bs = append(bs, start(t, g, fmt.Sprint("box", i), fmt.Sprint("dc", i%3)))
	}
	version := 1
	heard := func() bool {
		return !slices.ContainsFunc(bs, func(b *box) bool {
			return !b.stopped && (b.version() != uint64(version) || len(b.known.Roster.IDs()) != version-1)
		})
	}
	settled := func() bool {
		w := watchers(bs)
		return len(w) == 2 && w[0] != w[1]
	}
	change := func() {
		version++
		m.Set("config", fmt.Sprintf(`{"Version":%d}`, version))
		m.Set(fmt.Sprint("e/", version), "ready")
		await(t, heard)
	}
	await(t, func() bool { return count(bs, (*box).Relay) == 6 })
	await(t, settled)
	change()
	first := slices.IndexFunc(bs, func(b *box) bool { return b.known.Follows() })
	bs[first].stop()
	change()
	await(t, settled)
	next := slices.IndexFunc(bs, func(b *box) bool { return !b.stopped && b.known.Follows() })
	gates[next].closed.Store(true)
	change()
	await(t, func() bool {
		return len(watchers(bs)) >= 2 && !bs[next].known.Follows()
	})
	change()
}

// counting counts the calls that read what is under a prefix, or wait for changes there.
type counting struct {
	*memstore.Memory
	ranges  atomic.Int64
	watches atomic.Int64
}

func (c *counting) Watch(x context.Context, prefix string, since uint64, wait time.Duration) ([]store.Item, uint64, error) {
	c.watches.Add(1)
	return c.Memory.Watch(x, prefix, since, wait)
}

func (c *counting) Range(x context.Context, prefix string) ([]store.Item, uint64, error) {
	c.ranges.Add(1)
	return c.Memory.Range(x, prefix)
}

// While the store answers nobody, members stay with what they know: none asks it for
// everything for want of a relay that hears it. When it is back, all hear of changes.
func TestStoreAwayFromAll(t *testing.T) {
	m := &counting{Memory: &memstore.Memory{}}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 12)
	for i := range 12 {
		bs = append(bs, start(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	all := func(version uint64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(bs, func(b *box) bool { return b.version() != version || b.sum().Boxes != 11 })
		}
	}
	await(t, all(3))
	last, since := int64(0), 0
	await(t, func() bool {
		if n := m.ranges.Load(); n != last {
			last, since = n, bs[0].played()
		}
		return bs[0].played() >= since+6 // nobody looks for a place, or for a relay, any more
	})
	m.SetDown(true)
	before := m.ranges.Load() + m.watches.Load()
	await(t, func() bool {
		return !slices.ContainsFunc(bs, func(b *box) bool { return b.session.StoreUnresponsiveFor() < 3*time.Second })
	})
	require.LessOrEqual(t, m.ranges.Load()+m.watches.Load()-before, int64(24))
	m.SetDown(false)
	m.Set("config", `{"Version":5}`)
	await(t, all(5))
}

// Many endpoints that change together reach all boxes.
func TestManyRecords(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := seven(t, m)
	await(t, func() bool { return count(bs, (*box).Relay) == 4 && len(watchers(bs)) == 2 })
	for i := range 200 {
		m.Set(fmt.Sprint("e/", i), "ready")
	}
	await(t, func() bool { return count(bs, func(b *box) bool { return len(b.known.Roster.IDs()) == 200 }) == 7 })
}
