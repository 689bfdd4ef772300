package gossip_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
)

func (b *box) isDraining(id string) bool {
	e, ok := b.state.Roster.Get(id)
	return ok && e.Draining
}

func anyMember(bs []*box) *box {
	for _, b := range bs {
		if !b.IsRelay() {
			return b
		}
	}
	return nil
}

// All boxes learn that an endpoint is draining although its record doesn't say so: from a
// notification, or in a round if they missed the notification or started later.
func TestDrainingEndpointsReachAllBoxes(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	m.Set("e/x", "ready")
	m.Set("e/y", "ready")
	m.Set("e/z", "ready")
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return len(b.state.Roster.IDs()) == 3 && b.othersTotal().Boxes == 6 }) == 7
	})
	b := anyMember(bs)
	require.True(t, b.state.Roster.MarkDraining("x"))
	b.BroadcastDraining("x")
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.isDraining("x") }) == 7 })
	require.True(t, b.state.Roster.MarkDraining("y"))
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.isDraining("y") }) == 7 })
	bs = append(bs, startBox(t, m, "late", "dc1"))
	waitUntil(t, func() bool { return bs[7].isDraining("x") && bs[7].isDraining("y") })
	require.Zero(t, countBoxes(bs, func(b *box) bool { return b.isDraining("z") }))
}

// Each box receives the failure counts of the other boxes of its data centre, and of no others.
func TestFailingByDataCentre(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m) // four in dc0, three in dc1
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool {
			others := map[string]float64{"dc0": 3, "dc1": 2}[b.DataCentre]
			return b.othersTotal().Failing["x"].Total == 2*others && b.othersTotal().Failing["x"].Failed == others
		}) == 7
	})
}
