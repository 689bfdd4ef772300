package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
)

// A relay whose process is killed and starts again keeps its place: it does not wait
// until the lease of the process before has ended.
func TestRestartedRelayKeepsSlot(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	p := &faultyStore{Store: m}
	a := startBox(t, p, "a", "dc0")
	waitUntil(t, a.IsRelay)
	first, err := m.Get(t.Context(), "relays/dc0/0")
	require.NoError(t, err)
	p.silent.Store(true) // a killed process gives nothing back
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

// A box that has lost its place as a relay counts nobody any more: the boxes that
// told it tell another.
func TestMembersLeaveRelayWithoutSlot(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	p := &faultyStore{Store: m}
	bs := startFourBoxes(t, m, p, &faultyStore{Store: m})
	p.readOnly.Store(true)
	m.Unset("relays/dc0/0")
	waitUntil(t, func() bool { return !bs[0].IsRelay() && bs[2].IsRelay() })
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 3 && b.othersTotal().Load["x"].Tokens == 30 }) == 4
	})
}

// placesOf returns which boxes have the places of relays, by the store.
func slotsInStore(t *testing.T, m *memstore.Memory) []string {
	t.Helper()
	items, _, err := m.Range(t.Context(), "relays/")
	require.NoError(t, err)
	out := make([]string, 0, len(items))
	for _, i := range items {
		out = append(out, i.Key+" "+string(i.Value))
	}
	return out
}

// Where the store is away for so long that all leases end, the relays before it are those
// after it: nothing that they hold or know has to move when it is back.
func TestRelaysKeepSlotsAfterOutage(t *testing.T) {
	m := &memstore.Memory{}
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
		return countBoxes(bs, func(b *box) bool { return b.session.Silent() > session.TTL+time.Second }) == 9
	})
	m.SetDown(false)
	require.Empty(t, slotsInStore(t, m))
	waitUntil(t, func() bool { return len(slotsInStore(t, m)) == 4 })
	require.Equal(t, before, slotsInStore(t, m))
	m.Set("config", `{"Version":5}`)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.version() == 5 }) == 9 })
}
