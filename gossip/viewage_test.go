package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/stand/memstore"
)

// Guards against a view that counts as new because a message says so that was under way for as long as its receiver was paused. Only
// the answer to a question is younger than the question.
func TestPushedReportsConfirmNoView(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	b := startBox(t, m, "b", "dc0")
	waitUntil(t, func() bool { return b.version() == 3 && b.IsRelay() })
	m.SetDown(true)
	waitUntil(t, func() bool { return b.state.ViewAge() > time.Second })
	age := b.state.ViewAge()
	var out gossip.Status
	in := gossip.Status{Box: "a", DataCentre: "dc1", Watching: true, Version: 3, Revision: b.state.Revision()}
	require.NoError(t, b.node.Client.Call(t.Context(), b.Address, "gossip.relay", in, &out))
	require.GreaterOrEqual(t, b.state.ViewAge(), age)
}

// Boxes must know within a few rounds that their view of the store is up to date, whether they watch it themselves, are told by a box that
// does, or by one that is told.
func TestViewsAreConfirmedEverywhere(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 6 }) == 7 })
	for range 3 {
		since := time.Now()
		waitUntil(t, func() bool {
			return countBoxes(bs, func(b *box) bool { return b.state.ViewAge() < time.Since(since) }) == 7
		})
	}
}
