package fleetstate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/store"
)

// simulation is a store whose keys are written and deleted, and boxes that are updated from the
// store or from each other, late and with gaps.
type simulation struct {
	rng      *rand.Rand
	revision uint64
	current  map[string]store.Item
	events   []store.Item
	boxes    []*recordSet
}

func (s *simulation) key() string { return fmt.Sprint("e/", s.rng.IntN(30)) }

// mutate writes or deletes a random key.
func (s *simulation) mutate() {
	s.revision++
	i := store.Item{Key: s.key(), Revision: s.revision, Deleted: s.rng.IntN(3) == 0}
	if i.Deleted {
		delete(s.current, i.Key)
	} else {
		s.current[i.Key] = i
	}
	s.events = append(s.events, i)
}

// deliverWatch gives b the changes in the store since b's revision.
func (s *simulation) deliverWatch(b *recordSet) {
	var items []store.Item
	for _, i := range s.events {
		if i.Revision > b.revision {
			items = append(items, i)
		}
	}
	b.apply(Records{Items: items, From: b.revision, To: s.revision})
}

// deliverAll gives b all records in the store.
func (s *simulation) deliverAll(b *recordSet) {
	b.apply(Records{Items: slices.Collect(maps.Values(s.current)), Whole: true, To: s.revision})
}

// fetchFrom gives b the changes that b lacks and source has.
func (s *simulation) fetchFrom(b, source *recordSet) {
	if r := source.changesSince(b.revision); r.To > b.revision {
		b.apply(r)
	}
}

// Guards against answers with all records, 10,000 in the largest fleet, to each box that missed one
// change. The answer holds the changes since the box's revision only. After any mix of watches,
// whole lists and such answers, a box has exactly the records in the store.
func TestChangesSince(t *testing.T) {
	for seed := range uint64(300) {
		c := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), current: map[string]store.Item{}}
		for range 4 {
			c.boxes = append(c.boxes, &recordSet{})
		}
		for range 200 {
			b, source := c.boxes[c.rng.IntN(4)], c.boxes[c.rng.IntN(4)]
			switch c.rng.IntN(10) {
			case 0:
				c.deliverAll(b)
			case 1:
				if b.revision > 0 {
					c.deliverWatch(b)
				}
			case 2, 3, 4:
				c.fetchFrom(b, source)
			default:
				c.mutate()
			}
		}
		c.deliverAll(c.boxes[0])
		for _, b := range c.boxes {
			c.fetchFrom(b, c.boxes[0])
			require.Equal(t, c.current, b.items, "seed %d", seed)
		}
	}
}

// A box that lacks one change to 10,000 records gets only that change.
func TestChangesSinceIsIncremental(t *testing.T) {
	var r recordSet
	all := Records{Whole: true, To: 10_000}
	for i := range uint64(10_000) {
		all.Items = append(all.Items, store.Item{Key: fmt.Sprint("e/", i), Revision: i + 1})
	}
	r.apply(all)
	r.apply(Records{Items: []store.Item{{Key: "e/7", Revision: 10_001, Deleted: true}}, From: 10_000, To: 10_001})
	require.Equal(t, Records{Items: []store.Item{{Key: "e/7", Revision: 10_001, Deleted: true}}, From: 10_000, To: 10_001}, r.changesSince(10_000))
	require.True(t, r.changesSince(9_999).Whole, "deletions before the first read are unknown")
}
