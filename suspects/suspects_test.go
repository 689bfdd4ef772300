package suspects_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/stand/kvstore"
	"birchlink.dev/birchlink/suspects"
)

// box is an entry box with only the services that suspects needs.
type box struct {
	*suspects.Service
	members *member.Service
	address string
}

// freeAddress returns an address that is not in use. Its IP address is used for no outgoing
// connections, whose local ports could collide with it.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.4:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T, name, dc string, seeds ...string) *box {
	t.Helper()
	b := &box{Service: suspects.New(zerolog.Nop()), members: member.New(name, dc, seeds, zerolog.Nop()), address: freeAddress(t)}
	k := &kernel.Kernel{}
	store := httptest.NewServer(kvstore.New(1000, 1000))
	t.Cleanup(store.Close)
	m := metrics.NewRegistry()
	keys := &kv.Service{Client: kv.New(store.Listener.Addr().String(), name, 100, 100, m)}
	for _, s := range []kernel.Service{peer.NewNode(b.address, b.address, "secret", m), keys, b.members, b.Service} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	return b
}

func await(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 30*time.Second, 5*time.Millisecond)
}

func (b *box) refuses(h requesthash.Hash) bool {
	_, err := b.Check(attempt(h, "").Request, nil)
	return errkind.Is(err, errkind.Quarantined)
}

func attempt(h requesthash.Hash, endpoint string) quarantine.Attempt {
	return quarantine.Attempt{Request: quarantine.Request{Content: h}, Endpoint: endpoint}
}

// A content under which three endpoints crashed at one box is refused by all boxes, in each data
// centre, and by a box that starts later. An endpoint that still listens has not crashed.
func TestQuarantineReachesAllBoxes(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "north", a.address)
	c := start(t, "c", "south", a.address)
	bs := []*box{a, b, c}
	await(t, func() bool {
		return len(a.members.Up("")) == 3 && len(b.members.Up("")) == 3 && len(c.members.Up("")) == 3
	})
	live, err := net.Listen("tcp", "127.0.0.4:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = live.Close() })
	for i := range 5 {
		a.RecordFailure(t.Context(), attempt(1, fmt.Sprint("e", i)), time.Time{}, live.Addr().String())
		require.False(t, a.refuses(1))
	}
	for i := range 3 {
		require.False(t, a.refuses(2))
		a.RecordFailure(t.Context(), attempt(2, fmt.Sprint("e", i)), time.Time{}, freeAddress(t))
	}
	for _, x := range bs {
		await(t, func() bool { return x.refuses(2) })
		require.False(t, x.refuses(3))
	}
	d := start(t, "d", "south", a.address)
	await(t, func() bool { return d.refuses(2) })
}

// A part of prompts under which endpoints of one version crashed at one box is refused by all boxes at that version, and goes on at
// a version that has answered it since.
func TestPartsReachAllBoxes(t *testing.T) {
	a := start(t, "a", "north")
	b := start(t, "b", "south", a.address)
	await(t, func() bool { return len(a.members.Up("")) == 2 && len(b.members.Up("")) == 2 })
	r := quarantine.Request{Content: 1, Parts: []requesthash.Hash{10, 11}}
	other := quarantine.Request{Content: 2, Parts: []requesthash.Hash{10}}
	versions := []string{"v1", "v2"}
	for i := range 3 {
		b.RecordAnswer(other, "v2", boottime.Now())
		boottime.SimulateSuspension(crashInterval)
		r.Content = requesthash.Hash(100 + i)
		sent := boottime.Now()
		a.RecordFailure(t.Context(), quarantine.Attempt{Request: r, Endpoint: fmt.Sprint("e", i), Version: "v2"}, sent, freeAddress(t))
	}
	for _, x := range []*box{a, b} {
		await(t, func() bool { _, err := x.Check(r, versions[1:]); return errkind.Is(err, errkind.Quarantined) })
	}
	b.RecordAnswer(quarantine.Request{Content: 3, Parts: r.Parts}, "v1", boottime.Now())
	for _, x := range []*box{a, b} {
		await(t, func() bool {
			v, err := x.Check(r, versions)
			return err == nil && v.Allows("v1") && !v.Allows("v2")
		})
		await(t, func() bool { _, err := x.Check(other, versions); return err == nil })
	}
}

// crashInterval is longer than the time within which crashes are at one moment.
const crashInterval = 60 * time.Millisecond
