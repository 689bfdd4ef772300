package gossip_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
)

func (b *box) drains(id string) bool {
	e, ok := b.known.Roster.Get(id)
	return ok && e.Draining
}

func member(bs []*box) *box {
	for _, b := range bs {
		if !b.Relay() {
			return b
		}
	}
	return nil
}

// What an endpoint says to one box, all know while its record says nothing: told at once, or
// found in a round by those that were not told, as boxes that start later are.
func TestLeaversReachAll(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	m.Set("e/y", "ready")
	m.Set("e/z", "ready")
	bs := seven(t, m)
	await(t, func() bool {
		return count(bs, func(b *box) bool { return len(b.known.Roster.IDs()) == 3 && b.sum().Boxes == 6 }) == 7
	})
	b := member(bs)
	require.True(t, b.known.Roster.Leave("x"))
	b.Leaves("x")
	await(t, func() bool { return count(bs, func(b *box) bool { return b.drains("x") }) == 7 })
	require.True(t, b.known.Roster.Leave("y"))
	await(t, func() bool { return count(bs, func(b *box) bool { return b.drains("y") }) == 7 })
	bs = append(bs, start(t, m, "late", "dc1"))
	await(t, func() bool { return bs[7].drains("x") && bs[7].drains("y") })
	require.Zero(t, count(bs, func(b *box) bool { return b.drains("z") }))
}

// Each box knows what the others of its data centre, and no more, say of endpoints that fail.
func TestFailingByDataCentre(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := seven(t, m) // four in dc0, three in dc1
	await(t, func() bool {
		return count(bs, func(b *box) bool {
			others := map[string]float64{"dc0": 3, "dc1": 2}[b.DataCentre]
			return b.sum().Failing["x"].Total == 2*others && b.sum().Failing["x"].Failed == others
		}) == 7
	})
}
