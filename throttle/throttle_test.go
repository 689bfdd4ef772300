package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/throttle"
)

var epoch = time.Unix(1_000_000, 0)

// fixedLease is a constant share of every rate, leased since the epoch.
type fixedLease float64

func (l fixedLease) Accrued(_ string, now time.Time) (seconds, share float64) {
	return float64(l) * now.Sub(epoch).Seconds(), float64(l)
}

func ExampleThrottle_Ask() {
	t := &throttle.Throttle{Leases: fixedLease(1)}
	q := throttle.Question{Endpoint: "i-1", PerSecond: 2}
	fmt.Println(t.Ask(q, epoch))
	fmt.Println(t.Ask(q, epoch.Add(500*time.Millisecond)))
	fmt.Println(t.Ask(q, epoch.Add(500*time.Millisecond)))
	// Output:
	// {false 500ms 1}
	// {true 0s 1}
	// {false 500ms 1}
}

// For random shares, rates and times of questions, a box grants no more than its share of the rate
// and the burst allow, and if asked often nearly as much.
func TestAskKeepsLeasedRate(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 1))
		share := []float64{0.01, 0.25, 0.5, 1}[r.IntN(4)]
		rate := []float64{0, 0.3, 1, 10, 200}[r.IntN(5)]
		th := &throttle.Throttle{Leases: fixedLease(share)}
		granted, now := 0, epoch
		for now.Sub(epoch) < 100*time.Second {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: rate}, now)
			if a.OK {
				granted++
				continue
			}
			require.Positive(t, a.After)
		}
		allowed := share * max(rate, 0.2) * 100
		require.LessOrEqual(t, float64(granted), allowed+1+share*(1+rate))
		require.GreaterOrEqual(t, float64(granted), 0.95*allowed-1)
	}
}

// Successive refusals carry increasing retry times, spread over up to a second, so that the refused
// callers do not all return for the same token.
func TestRefusalsAreSpread(t *testing.T) {
	th := &throttle.Throttle{Leases: fixedLease(1)}
	var last time.Duration
	for i := range 20 {
		a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: 10}, epoch)
		require.False(t, a.OK)
		require.Equal(t, min(i+1, 11), int(a.After.Round(time.Millisecond)/(100*time.Millisecond)))
		require.GreaterOrEqual(t, a.After, last)
		last = a.After
	}
}

// A box that has just started holds a small share of a rate. With a share of 0.0075 of 5 requests per
// second, a retry time computed from the share alone is 26.7 s, during which the refused box would
// send nothing although the whole rate may be leased a second later. The retry time must not exceed
// the time in which leases move, or in which the whole rate allows a request.
func TestRetryAfterBoundedForSmallShare(t *testing.T) {
	th := &throttle.Throttle{Leases: fixedLease(0.0075)}
	require.Equal(t, 2*time.Second, th.Ask(throttle.Question{Endpoint: "e", PerSecond: 5}, epoch).After)
	th = &throttle.Throttle{Leases: fixedLease(0.5)}
	require.Equal(t, 4*time.Second, th.Ask(throttle.Question{Endpoint: "e", PerSecond: 0.25}, epoch).After)
}

// A box that holds no share refuses every request and reports a share of zero.
func TestNoLeaseRefuses(t *testing.T) {
	th := &throttle.Throttle{Leases: fixedLease(0)}
	a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: 10}, epoch.Add(time.Hour))
	require.False(t, a.OK)
	require.Zero(t, a.Part)
	require.Positive(t, a.After)
}

// BenchmarkAsk measures one question about one of 1000 endpoints.
func BenchmarkAsk(b *testing.B) {
	th := &throttle.Throttle{Leases: fixedLease(0.5)}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		th.Ask(throttle.Question{Endpoint: names[i%len(names)], PerSecond: 10}, now)
	}
}
