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
func TestKeepsItsPlace(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	p := &partial{Store: m}
	a := start(t, p, "a", "dc0")
	await(t, a.Relay)
	first, err := m.Get(t.Context(), "relays/dc0/0")
	require.NoError(t, err)
	p.silent.Store(true) // a killed process gives nothing back
	a.stop()
	b := startAt(t, m, "a", "dc0", a.Address)
	await(t, func() bool {
		i, err := m.Get(t.Context(), "relays/dc0/0")
		return err == nil && strings.HasSuffix(string(i.Value), b.Quota.Incarnation)
	})
	i, err := m.Get(t.Context(), "relays/dc0/0")
	require.NoError(t, err)
	require.Equal(t, first.Created, i.Created)
}

// A box that has lost its place as a relay counts nobody any more: the boxes that
// told it tell another.
func TestRelayLosesItsPlace(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	p := &partial{Store: m}
	bs := four(t, m, p, &partial{Store: m})
	p.readOnly.Store(true)
	m.Unset("relays/dc0/0")
	await(t, func() bool { return !bs[0].Relay() && bs[2].Relay() })
	await(t, func() bool {
		return count(bs, func(b *box) bool { return b.sum().Boxes == 3 && b.sum().Load["x"].Tokens == 30 }) == 4
	})
}

// placesOf returns which boxes have the places of relays, by the store.
func placesOf(t *testing.T, m *memstore.Memory) []string {
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
func TestPlacesLapse(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	bs := make([]*box, 0, 9)
	for i := range 9 {
		bs = append(bs, start(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	await(t, func() bool {
		return len(placesOf(t, m)) == 4 && count(bs, func(b *box) bool { return b.sum().Boxes == 8 }) == 9
	})
	before := placesOf(t, m)
	m.SetDown(true)
	await(t, func() bool {
		return count(bs, func(b *box) bool { return b.session.StoreUnresponsiveFor() > session.TTL+time.Second }) == 9
	})
	m.SetDown(false)
	require.Empty(t, placesOf(t, m))
	await(t, func() bool { return len(placesOf(t, m)) == 4 })
	require.Equal(t, before, placesOf(t, m))
	m.Set("config", `{"Version":5}`)
	await(t, func() bool { return count(bs, func(b *box) bool { return b.version() == 5 }) == 9 })
}
