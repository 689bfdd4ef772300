package gossip_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
)

// slowSnapshotStore is one box's connection to the store, over which the snapshot never comes.
type slowSnapshotStore struct {
	store.Store
	reads atomic.Int64
}

func (s *slowSnapshotStore) Get(c context.Context, key string) (store.Item, error) {
	if key != "before" {
		return s.Store.Get(c, key)
	}
	s.reads.Add(1)
	<-c.Done()
	return store.Item{}, c.Err()
}

// Guards against boxes that report to no other and know nothing while the store sends them the snapshot slowly, although other boxes
// have all else.
func TestSlowSnapshotHoldsUpNoRounds(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	a := startBox(t, m, "a", "dc0")
	waitUntil(t, func() bool { return a.IsRelay() && a.version() == 3 })
	s := &slowSnapshotStore{Store: m}
	b := startBox(t, s, "b", "dc0")
	waitUntil(t, func() bool { return b.version() == 3 && b.othersTotal().Boxes == 1 && b.roundCount() > 2 })
	require.EqualValues(t, 1, s.reads.Load(), "the read goes on")
}
