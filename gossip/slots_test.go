package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
)

// A relay that is killed and restarts keeps its slot, without waiting for the lease of its former
// process to end.
func TestRestartedRelayKeepsSlot(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	p := &faultyStore{Store: m}
	a := startBox(t, p, "a", "dc0")
	waitUntil(t, a.IsRelay)
	first, err := m.Get(t.Context(), "relays/dc0/0")
	require.NoError(t, err)
	p.silent.Store(true) // a killed process doesn't revoke its lease
	a.stop()
	b := startBoxAt(t, m, "a", "dc0", a.Address)
	waitUntil(t, func() bool {
		i, err := m.Get(t.Context(), "relays/dc0/0")
		return err == nil && strings.HasSuffix(string(i.Value), b.Quota.Incarnation)
	})
	i, err := m.Get(t.Context(), "relays/dc0/0")
	require.NoError(t, err)
	require.Equal(t, first.Created, i.Created)
}

// A box that has lost its relay slot represents no other box; its members switch to another relay.
func TestMembersLeaveRelayWithoutSlot(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	p := &faultyStore{Store: m}
	bs := startFourBoxes(t, m, p, &faultyStore{Store: m})
	p.readOnly.Store(true)
	m.Delete("relays/dc0/0")
	waitUntil(t, func() bool { return !bs[0].IsRelay() && bs[2].IsRelay() })
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 3 && b.othersTotal().Load["x"].Tokens == 30 }) == 4
	})
}

// slotsInStore returns the keys and values of all relay slots in the store.
func slotsInStore(t *testing.T, m *memstore.Store) []string {
	t.Helper()
	items, _, err := m.Range(t.Context(), "relays/")
	require.NoError(t, err)
	out := make([]string, 0, len(items))
	for _, i := range items {
		out = append(out, i.Key+" "+string(i.Value))
	}
	return out
}

// After an outage of the store in which all leases end, the same boxes are relays as before, so that
// no state or lease has to move.
func TestRelaysKeepSlotsAfterOutage(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 9)
	for i := range 9 {
		bs = append(bs, startBox(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	waitUntil(t, func() bool {
		return len(slotsInStore(t, m)) == 4 && countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 8 }) == 9
	})
	before := slotsInStore(t, m)
	m.SetDown(true)
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return b.session.StoreUnresponsiveFor() > storesession.TTL+time.Second }) == 9
	})
	m.SetDown(false)
	require.Empty(t, slotsInStore(t, m))
	waitUntil(t, func() bool { return len(slotsInStore(t, m)) == 4 })
	require.Equal(t, before, slotsInStore(t, m))
	m.Set("config", `{"Version":5}`)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.version() == 5 }) == 9 })
}
