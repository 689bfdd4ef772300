package gossip_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
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

// lateClaimStore is a store that carries out the first claim of a relay slot, which gets no answer, just before the next one.
type lateClaimStore struct {
	store.Store
	pending *store.Change
	claims  []string // keys of all claims
}

func (s *lateClaimStore) Commit(c context.Context, x store.Change) (uint64, error) {
	if !strings.HasPrefix(x.Put[0].Key, "relays/") {
		return s.Store.Commit(c, x)
	}
	s.claims = append(s.claims, x.Put[0].Key)
	if len(s.claims) == 1 {
		s.pending = &x
		return 0, store.ErrOutcomeUnknown
	}
	if p := s.pending; p != nil {
		s.pending = nil
		if _, err := s.Store.Commit(c, *p); err != nil {
			return 0, err
		}
	}
	return s.Store.Commit(c, x)
}

// Guards against a box that takes both relay slots of its data centre, since its own claim of the first one was carried out late.
func TestLateClaimTakesOneSlot(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	s := &lateClaimStore{Store: m}
	a := startBox(t, s, "a", "dc0")
	waitUntil(t, a.IsRelay)
	a.stop()
	require.Equal(t, []string{"relays/dc0/0", "relays/dc0/0"}, s.claims)
}
