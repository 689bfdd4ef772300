package known

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/store"
)

// course is a store whose keys come and go, and boxes that learn of it from the store or from
// each other, late and with gaps.
type course struct {
	chance   *rand.Rand
	revision uint64
	now      map[string]store.Item
	events   []store.Item
	boxes    []*recordSet
}

func (c *course) key() string { return fmt.Sprint("e/", c.chance.IntN(30)) }

// change writes or removes a key.
func (c *course) change() {
	c.revision++
	i := store.Item{Key: c.key(), Revision: c.revision, Deleted: c.chance.IntN(3) == 0}
	if i.Deleted {
		delete(c.now, i.Key)
	} else {
		c.now[i.Key] = i
	}
	c.events = append(c.events, i)
}

// watch tells a box what the store has written since the box's revision.
func (c *course) watch(b *recordSet) {
	var items []store.Item
	for _, i := range c.events {
		if i.Revision > b.revision {
			items = append(items, i)
		}
	}
	b.take(Records{Items: items, From: b.revision, To: c.revision})
}

// read tells a box all that stands in the store.
func (c *course) read(b *recordSet) {
	b.take(Records{Items: slices.Collect(maps.Values(c.now)), Whole: true, To: c.revision})
}

// ask tells a box what another has that it lacks.
func (c *course) ask(b, of *recordSet) {
	if r := of.since(b.revision); r.To > b.revision {
		b.take(r)
	}
}

// After one push that was lost, each member of a relay fetched all records, 10,000 in the largest
// fleet, twice a second while endpoints were replaced: the answer to a box that lacked a change
// was everything. It is what has changed since; a box that learns by any mix of watches, whole
// reads and such answers knows in the end what the store has, and no key that has gone.
func TestSince(t *testing.T) {
	for seed := range uint64(300) {
		c := &course{chance: rand.New(rand.NewPCG(seed, 0)), now: map[string]store.Item{}}
		for range 4 {
			c.boxes = append(c.boxes, &recordSet{})
		}
		for range 200 {
			b, of := c.boxes[c.chance.IntN(4)], c.boxes[c.chance.IntN(4)]
			switch c.chance.IntN(10) {
			case 0:
				c.read(b)
			case 1:
				if b.revision > 0 {
					c.watch(b)
				}
			case 2, 3, 4:
				c.ask(b, of)
			default:
				c.change()
			}
		}
		c.read(c.boxes[0])
		for _, b := range c.boxes {
			c.ask(b, c.boxes[0])
			require.Equal(t, c.now, b.items, "seed %d", seed)
		}
	}
}

// What a box is told that lacks one change of 10,000 records is that change.
func TestSinceIsSmall(t *testing.T) {
	var r recordSet
	all := Records{Whole: true, To: 10_000}
	for i := range uint64(10_000) {
		all.Items = append(all.Items, store.Item{Key: fmt.Sprint("e/", i), Revision: i + 1})
	}
	r.take(all)
	r.take(Records{Items: []store.Item{{Key: "e/7", Revision: 10_001, Deleted: true}}, From: 10_000, To: 10_001})
	require.Equal(t, Records{Items: []store.Item{{Key: "e/7", Revision: 10_001, Deleted: true}}, From: 10_000, To: 10_001}, r.since(10_000))
	require.True(t, r.since(9_999).Whole, "what went before the records were read is not known")
}
