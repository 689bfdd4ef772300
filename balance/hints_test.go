package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/estimate"
)

// trainedBalancer returns a balancer with a model of its endpoints: 30 ms and 100,000 tokens a
// second.
func trainedBalancer() (*balance.Balancer, time.Time) {
	b := &balance.Balancer{}
	now := time.Unix(1000, 0)
	for i := range 300 {
		l := estimate.Load{Prefill: 100 * (i % 200), RemoteQueued: 50 * (i % 30)}
		b.Model("s").Observe(l, 30*time.Millisecond+time.Duration(l.Prefill+l.RemoteQueued)*10*time.Microsecond, time.Second, now)
	}
	return b, now
}

// The longer a prompt delays others, the more boxes get a hint of it.
func TestHintScope(t *testing.T) {
	b, now := trainedBalancer()
	for tokens, want := range map[int]balance.HintScope{
		0: balance.HintNone, 500: balance.HintNone, 2000: balance.HintNearby, 9000: balance.HintNearby, 15_000: balance.HintAll,
	} {
		require.Equal(t, want, b.HintScope("s", tokens, now), "%d tokens", tokens)
	}
}

// The unobserved fraction follows from the number of boxes that send hints of each kind, and from
// the fraction of tokens in very long prompts.
func TestUnobservedFraction(t *testing.T) {
	b, now := trainedBalancer()
	b.SetRemoteLoad(nil, 70, now)
	b.SetPeers(20, 50)
	require.InDelta(t, 5.0/7, b.UnobservedFraction(), 1e-9)
	for range 30 {
		b.HintScope("s", 5000, now)
		b.HintScope("s", 15_000, now)
	}
	require.InDelta(t, 1-(20+0.75*50)/70, b.UnobservedFraction(), 1e-9)
}

// With 197 boxes nearby, hints of all long prompts would be 88 datagrams a second to each box,
// growing with the fleet. The threshold rises instead, and the unobserved fraction accounts for the
// prompts below it.
func TestHintScopeManyNearbyBoxes(t *testing.T) {
	b, now := trainedBalancer()
	b.SetRemoteLoad(nil, 984, now)
	b.SetPeers(196, 0)
	for range 30 {
		require.Equal(t, balance.HintNone, b.HintScope("s", 5000, now))
		require.Equal(t, balance.HintNearby, b.HintScope("s", 10_000, now))
	}
	require.InDelta(t, 1-2.0/3*196/984, b.UnobservedFraction(), 1e-9)
}
