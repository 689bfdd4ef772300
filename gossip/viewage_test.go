package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
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
	in := gossip.Status{Box: "a", DataCentre: "dc1", Watching: true, AnswersView: true, Version: 3, Revision: b.state.Revision()}
	require.NoError(t, b.node.Client.Call(t.Context(), b.Address, "gossip.relay", in, &out))
	require.GreaterOrEqual(t, b.state.ViewAge(), age)
}

// Relays of earlier software can't be asked for their views, and are believed as before, while a fleet is upgraded.
func TestEarlierWatchersConfirmViews(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	b := startBox(t, m, "b", "dc0")
	waitUntil(t, func() bool { return b.version() == 3 && b.IsRelay() })
	m.SetDown(true)
	waitUntil(t, func() bool { return b.state.ViewAge() > time.Second })
	var out gossip.Status
	in := gossip.Status{Box: "a", DataCentre: "dc1", Watching: true, Version: 3, Revision: b.state.Revision()}
	require.NoError(t, b.node.Client.Call(t.Context(), b.Address, "gossip.relay", in, &out))
	require.Less(t, b.state.ViewAge(), time.Second)
}

// slowRecords is a store that doesn't answer reads of the endpoint records.
type slowRecords struct{ *memstore.Store }

func (s *slowRecords) Range(c context.Context, prefix string) ([]store.Item, uint64, error) {
	if prefix == "e/" {
		<-c.Done()
		return nil, 0, c.Err()
	}
	return s.Store.Range(c, prefix)
}

// Guards against views that are confirmed by a relay which has just started and read nothing: others have all records that it has.
func TestStartingRelayConfirmsNoView(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	b := startBox(t, &slowRecords{m}, "b", "dc0")
	waitUntil(t, b.IsRelay)
	var out gossip.MemberReply
	in := gossip.Status{Box: "r", DataCentre: "dc0", Relay: "b", Revision: 6, Version: 3}
	require.NoError(t, b.node.Client.Call(t.Context(), b.Address, "gossip.member", in, &out))
	require.True(t, out.Relay)
	require.Greater(t, out.ViewAge, time.Minute)
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
