package gossip_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/speed"
	"birchlink.dev/birchlink/stand/memstore"
)

// speedBoxes starts boxes in two data centres that exchange samples of speeds, except for the last.
func speedBoxes(t *testing.T, n int) ([]*box, []endpoint.Endpoint) {
	t.Helper()
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	es := make([]endpoint.Endpoint, 10)
	for i := range es {
		es[i] = endpoint.Endpoint{ID: fmt.Sprint("x", i), Service: "s"}
		m.Set("e/"+es[i].ID, "ready")
	}
	bs := make([]*box, n)
	for i := range bs {
		bs[i] = startBoxWith(t, m, fmt.Sprint("box", i), fmt.Sprint("dc", i%2), unusedAddress(t), func(b *box) {
			if i == n-1 {
				return
			}
			b.EndpointSpeeds = &speed.Estimator{}
			onRound := b.OnRound
			b.OnRound = func(others gossip.Status) {
				onRound(others)
				b.EndpointSpeeds.Update([][]endpoint.Endpoint{es}, boottime.Now())
			}
		})
	}
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == n-1 }) == n })
	return bs, es
}

// observeSlow makes a box observe that the first of some endpoints is slower than the others.
func observeSlow(b *box, es []endpoint.Endpoint) {
	for range 60 {
		for i := range es {
			ratio := 1.0
			if i == 0 {
				ratio = 1.6
			}
			b.EndpointSpeeds.Observe(speed.KeyOf(&es[i]), ratio, 1, boottime.Now())
		}
	}
}

// knownSlow returns how many boxes know that an endpoint is slower than the others.
func knownSlow(bs []*box, e endpoint.Endpoint) int {
	return countBoxes(bs, func(b *box) bool { return b.EndpointSpeeds.Factor(&e) > 1.15 })
}

// What one box observes must reach all others, whether the box is a member or a relay and whichever
// relay represents the others, also if one box has the exchange switched off.
func TestSpeedsReachAllBoxes(t *testing.T) {
	bs, es := speedBoxes(t, 8)
	speeds := bs[:7]
	for first, relay := range map[int]bool{0: false, 5: true} {
		i := slices.IndexFunc(speeds, func(b *box) bool { return b.IsRelay() == relay })
		observeSlow(speeds[i], es[first:first+5])
		waitUntil(t, func() bool { return knownSlow(speeds, es[first]) == len(speeds) })
	}
}

// When a relay ends, its members must keep what they know, and new samples must reach all through
// other relays.
func TestSpeedsSurviveRelay(t *testing.T) {
	bs, es := speedBoxes(t, 8)
	speeds := bs[:7]
	observeSlow(speeds[0], es[:5])
	waitUntil(t, func() bool { return knownSlow(speeds, es[0]) == len(speeds) })
	i := slices.IndexFunc(speeds, (*box).IsRelay)
	speeds[i].stop()
	left := slices.Delete(speeds, i, i+1)
	waitUntil(t, func() bool {
		return countBoxes(left, func(b *box) bool { return b.othersTotal().Boxes == 6 }) == len(left)
	})
	require.Equal(t, len(left), knownSlow(left, es[0]))
	observeSlow(left[0], es[5:])
	waitUntil(t, func() bool { return knownSlow(left, es[5]) == len(left) })
}
