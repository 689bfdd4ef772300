package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/rollout"
)

// simulatePolicy simulates an order of 12 s with 100 requests per second. rates returns the rates
// of failures and of slow answers of the new version. simulatePolicy returns the stages of the
// order, when each began, and the number of requests sent to the new version.
func simulatePolicy(
	seed uint64, rates func(at time.Duration, share float64) (failed, slow float64),
) (stages []rollout.Stage, at []time.Duration, sent int) {
	r := rand.New(rand.NewPCG(seed, 0))
	p := rollout.Policy{MaxShare: 0.1}
	o := rollout.Order{Service: "s", Version: "v2", Duration: 12 * time.Second, Revision: 1}
	e := rollout.Evidence{Revision: 1, Routes: map[string]rollout.RouteCounts{}}
	stage, since := rollout.Closed, time.Duration(0)
	count := func(c *rollout.Counts, failed, slow float64) {
		c.Answers++
		if r.Float64() < failed {
			c.Failed++
		} else if r.Float64() < slow {
			c.Slow++
		}
	}
	const interval = 10 * time.Millisecond
	for t := time.Duration(0); t < o.Duration && !stage.Final(); t += interval {
		share := rollout.Share(stage, p.MaxShare)
		counts := e.Routes["r"]
		if r.Float64() < share {
			failed, slow := rates(t, share)
			count(&counts.New, failed, slow)
			sent++
		} else {
			count(&counts.Old, 0.01, 0.03)
		}
		e.Routes["r"] = counts
		e.Busy = 0
		if t-since < 800*time.Millisecond || stage != rollout.Whole {
			e.Busy = 5
		}
		if next := p.Next(o, stage, t-since, t, e); next != stage {
			stage, since = next, t
			stages, at = append(stages, stage), append(at, t)
		}
	}
	return stages, at, sent
}

// A good version passes through all stages and is complete in time in at least 98% of the runs.
func TestGoodVersionsComplete(t *testing.T) {
	complete := 0
	for seed := range uint64(300) {
		stages, at, _ := simulatePolicy(seed, func(time.Duration, float64) (float64, float64) { return 0.01, 0.03 })
		if stages[len(stages)-1] == rollout.Complete {
			complete++
			require.Equal(t, []rollout.Stage{rollout.Canary, rollout.Ramp, rollout.Whole, rollout.Complete}, stages)
			require.Less(t, at[len(at)-1], 12*time.Second)
		}
	}
	require.GreaterOrEqual(t, complete, 294)
}

// A bad version is reverted in at least 99% of the runs, and receives at most a tenth of the
// requests plus 50.
func TestBadVersionsReverted(t *testing.T) {
	for name, rates := range map[string]func(at time.Duration, share float64) (float64, float64){
		"fails 20 in 100":        func(time.Duration, float64) (float64, float64) { return 0.2, 0.03 },
		"fails all":              func(time.Duration, float64) (float64, float64) { return 1, 0 },
		"is several times slow":  func(time.Duration, float64) (float64, float64) { return 0.01, 0.9 },
		"turns bad after 6 s":    func(at time.Duration, _ float64) (float64, float64) { return failureRate(at > 6*time.Second), 0.03 },
		"turns bad under load":   func(_ time.Duration, share float64) (float64, float64) { return failureRate(share > 0.1), 0.03 },
		"turns slow under load":  func(_ time.Duration, share float64) (float64, float64) { return 0.01, failureRate(share > 0.1) * 4 },
		"turns bad in the ramp":  func(at time.Duration, _ float64) (float64, float64) { return failureRate(at > 7*time.Second), 0.03 },
		"is slow and also fails": func(time.Duration, float64) (float64, float64) { return 0.15, 0.5 },
	} {
		reverted := 0
		for seed := range uint64(300) {
			stages, _, sent := simulatePolicy(seed, rates)
			if stages[len(stages)-1] == rollout.Reverted {
				reverted++
			}
			require.LessOrEqual(t, sent, 170, "%s, seed %d", name, seed)
		}
		require.GreaterOrEqual(t, reverted, 297, name)
	}
}

func failureRate(bad bool) float64 {
	if bad {
		return 0.2
	}
	return 0.01
}

// A good version is not rejected when all versions fail a fraction of the requests on one route.
func TestBaselineFailuresIgnored(t *testing.T) {
	p := rollout.Policy{MaxShare: 0.1}
	o := rollout.Order{Service: "s", Version: "v2", Duration: 12 * time.Second, Revision: 1}
	e := rollout.Evidence{Revision: 1, Routes: map[string]rollout.RouteCounts{
		"tick":  {Old: rollout.Counts{Answers: 1000, Failed: 140}, New: rollout.Counts{Answers: 100, Failed: 17}},
		"alert": {Old: rollout.Counts{Answers: 1000, Failed: 4}, New: rollout.Counts{Answers: 100, Failed: 1}},
	}}
	require.Equal(t, rollout.Ramp, p.Next(o, rollout.Canary, time.Second, 7*time.Second, e))
}

// A version that does not have enough answers in time is reverted. A final stage does not change.
func TestTooFewAnswers(t *testing.T) {
	p := rollout.Policy{MaxShare: 0.1}
	o := rollout.Order{Service: "s", Version: "v2", Duration: 12 * time.Second, Revision: 1}
	few := rollout.Evidence{Revision: 1, Routes: map[string]rollout.RouteCounts{"r": {New: rollout.Counts{Answers: 5}}}}
	require.Equal(t, rollout.Canary, p.Next(o, rollout.Canary, time.Second, 8*time.Second, few))
	require.Equal(t, rollout.Reverted, p.Next(o, rollout.Canary, time.Second, 11500*time.Millisecond, few))
	require.Equal(t, rollout.Complete, p.Next(o, rollout.Complete, time.Second, time.Hour, few))
}
