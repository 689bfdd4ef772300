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

// leased is the part of every rate that is leased to a box, since the epoch.
type leased float64

func (l leased) Given(_ string, now time.Time) (seconds, part float64) {
	return float64(l) * now.Sub(epoch).Seconds(), float64(l)
}

func ExampleThrottle_Ask() {
	t := &throttle.Throttle{Leases: leased(1)}
	q := throttle.Question{Endpoint: "i-1", PerSecond: 2}
	fmt.Println(t.Ask(q, epoch))
	fmt.Println(t.Ask(q, epoch.Add(500*time.Millisecond)))
	fmt.Println(t.Ask(q, epoch.Add(500*time.Millisecond)))
	// Output:
	// {false 500ms 1}
	// {true 0s 1}
	// {false 500ms 1}
}

// Whatever is asked, a box lets no more pass than its part gives, beside what may be made up for, and
// no less if it is asked often.
func TestAsk(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 1))
		part := []float64{0.01, 0.25, 0.5, 1}[r.IntN(4)]
		rate := []float64{0, 0.3, 1, 10, 200}[r.IntN(5)]
		th := &throttle.Throttle{Leases: leased(part)}
		passed, now := 0, epoch
		for now.Sub(epoch) < 100*time.Second {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: rate}, now)
			if a.OK {
				passed++
				continue
			}
			require.Positive(t, a.After)
		}
		gives := part * max(rate, 0.2) * 100
		require.LessOrEqual(t, float64(passed), gives+1+part*(1+rate))
		require.GreaterOrEqual(t, float64(passed), 0.95*gives-1)
	}
}

// Those who are refused are told times one after the other, up to a second apart, so that they do
// not all come for the same request.
func TestRefusedInTurn(t *testing.T) {
	th := &throttle.Throttle{Leases: leased(1)}
	var last time.Duration
	for i := range 20 {
		a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: 10}, epoch)
		require.False(t, a.OK)
		require.Equal(t, min(i+1, 11), int(a.After.Round(time.Millisecond)/(100*time.Millisecond)))
		require.GreaterOrEqual(t, a.After, last)
		last = a.After
	}
}

// A box that started with its fleet had a hundredth of a rate of five a second, and another that asked
// it was told to come back in 26 s: it sent nothing there for that time, though a second later all of
// the rate was leased. The log has
//
//	"event":"permit","per_second":5,"part":0.0075,"after":26666.666666
//
// A refusal holds no longer than it takes for leases to move, or for the whole rate to give a request.
func TestSmallPart(t *testing.T) {
	th := &throttle.Throttle{Leases: leased(0.0075)}
	require.Equal(t, 2*time.Second, th.Ask(throttle.Question{Endpoint: "e", PerSecond: 5}, epoch).After)
	th = &throttle.Throttle{Leases: leased(0.5)}
	require.Equal(t, 4*time.Second, th.Ask(throttle.Question{Endpoint: "e", PerSecond: 0.25}, epoch).After)
}

// A box to which nothing is leased lets nothing pass, and says so.
func TestNothingLeased(t *testing.T) {
	th := &throttle.Throttle{Leases: leased(0)}
	a := th.Ask(throttle.Question{Endpoint: "e", PerSecond: 10}, epoch.Add(time.Hour))
	require.False(t, a.OK)
	require.Zero(t, a.Part)
	require.Positive(t, a.After)
}

// BenchmarkAsk is one question about one of many endpoints.
func BenchmarkAsk(b *testing.B) {
	th := &throttle.Throttle{Leases: leased(0.5)}
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
