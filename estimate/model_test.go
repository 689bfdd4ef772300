package estimate_test

import (
	"bufio"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/estimate"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine describes the performance of one kind of engine. Times are in milliseconds.
type engine struct {
	name                                       string
	fixed, tokensPerMs, longPrompt, perRunning float64
}

func readEngines(t *testing.T) []engine {
	t.Helper()
	f, err := os.Open("testdata/engines.txt")
	require.NoError(t, err)
	defer f.Close()
	var out []engine
	for s := bufio.NewScanner(f); s.Scan(); {
		if strings.HasPrefix(s.Text(), "#") {
			continue
		}
		var e engine
		_, err := fmt.Sscan(s.Text(), &e.name, &e.fixed, &e.tokensPerMs, &e.longPrompt, &e.perRunning)
		require.NoError(t, err, s.Text())
		out = append(out, e)
	}
	return out
}

// firstEvent returns a random time to the first event under a load.
func (e engine) firstEvent(l estimate.Load, r *rand.Rand) time.Duration {
	tokens := float64(l.Prefill)
	ms := e.fixed + (tokens+float64(l.LocalQueued))/e.tokensPerMs + e.longPrompt*tokens*tokens/1e8 + e.perRunning*float64(l.Running)
	ms *= 1 + 0.1*r.Float64()
	if r.Float64() < 0.1 {
		ms *= 1 + 3*r.Float64() // queued behind load that the model does not see
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func randomLoad(r *rand.Rand) estimate.Load {
	l := estimate.Load{Prefill: int(math.Exp(7 + 1.5*r.NormFloat64())), Running: r.IntN(20)}
	if r.Float64() < 0.3 {
		l.LocalQueued = r.IntN(8000)
	}
	return l
}

func predictFirstEvent(m *estimate.Model, l estimate.Load, now time.Time) time.Duration {
	p := m.Predict(now)
	return p.FirstEvent(l)
}

// observe records a minute of answers, ten per second, which come from the engines in turn.
func observe(m *estimate.Model, es []engine, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	for i := range 600 {
		l := randomLoad(r)
		m.Observe(l, es[i%len(es)].firstEvent(l, r), time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
	}
}

// sampleCount is the number of predictions that a median error is taken over.
const sampleCount = 200

// medianError returns the median relative error of the predictions.
func medianError(m *estimate.Model, es []engine) float64 {
	r := rand.New(rand.NewPCG(99, 0))
	errs := make([]float64, 0, sampleCount)
	for i := range sampleCount {
		l := randomLoad(r)
		actual := es[i%len(es)].firstEvent(l, r)
		expected := predictFirstEvent(m, l, start.Add(time.Minute+time.Duration(i)*time.Second))
		errs = append(errs, math.Abs(float64(expected-actual))/float64(actual))
	}
	slices.Sort(errs)
	return errs[len(errs)/2]
}

// After a minute of answers the median error is below a third for engines of any speed, although a
// tenth of the answers are delayed by load that the model does not see.
func TestFitConverges(t *testing.T) {
	for _, e := range readEngines(t) {
		t.Run(e.name, func(t *testing.T) {
			var m estimate.Model
			observe(&m, []engine{e}, 1)
			require.Less(t, medianError(&m, []engine{e}), 1.0/3)
		})
	}
}

// medianTable is an alternative to the fit. It predicts the median of the observations with a
// similar prompt length and a similar number of queued tokens, or the median of all observations if
// there are none.
type medianTable map[[2]int][]float64

func bucketOf(l estimate.Load) [2]int {
	return [2]int{bits.Len(uint(l.Prefill)), bits.Len(uint(l.LocalQueued / 1000))}
}

func (m medianTable) predictFirstEvent(l estimate.Load) time.Duration {
	observed := m[bucketOf(l)]
	if len(observed) == 0 {
		for _, v := range m {
			observed = append(observed, v...)
		}
	}
	observed = slices.Sorted(slices.Values(observed))
	return time.Duration(observed[len(observed)/2])
}

// After 40 answers, four seconds of traffic, the fit predicts better than a table of medians and
// better than the prior alone, for engines of every speed.
func TestFitBeatsMedianTable(t *testing.T) {
	const observed = 40
	for _, e := range readEngines(t) {
		r := rand.New(rand.NewPCG(7, 0))
		var m, none estimate.Model
		table := medianTable{}
		for i := range observed {
			l := randomLoad(r)
			d := e.firstEvent(l, r)
			m.Observe(l, d, time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
			table[bucketOf(l)] = append(table[bucketOf(l)], float64(d))
		}
		fit, medians, prior := make([]float64, 0, sampleCount), make([]float64, 0, sampleCount), make([]float64, 0, sampleCount)
		for range sampleCount {
			l := randomLoad(r)
			actual := float64(e.firstEvent(l, r))
			relativeError := func(d time.Duration) float64 { return math.Abs(float64(d)-actual) / actual }
			now := start.Add(5 * time.Second)
			fit = append(fit, relativeError(predictFirstEvent(&m, l, now)))
			medians = append(medians, relativeError(table.predictFirstEvent(l)))
			prior = append(prior, relativeError(predictFirstEvent(&none, l, now)))
		}
		for _, v := range [][]float64{fit, medians, prior} {
			slices.Sort(v)
		}
		t.Logf("%s: fit %.2f, table %.2f, prior %.2f", e.name, fit[sampleCount/2], medians[sampleCount/2], prior[sampleCount/2])
		require.Less(t, fit[sampleCount/2], medians[sampleCount/2])
		require.Less(t, fit[sampleCount/2], prior[sampleCount/2])
	}
}

// Outliers, such as the answers of an endpoint that fails slowly, have little effect on the fit:
// here a tenth of the answers take a hundred times as long.
func TestOutliers(t *testing.T) {
	e := readEngines(t)[0]
	var m estimate.Model
	r := rand.New(rand.NewPCG(3, 0))
	for i := range 600 {
		l := randomLoad(r)
		d := e.firstEvent(l, r)
		if i%10 == 0 {
			d *= 100
		}
		m.Observe(l, d, time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	require.Less(t, medianError(&m, []engine{e}), 1.0/3)
}

// The sums of two boxes give the same predictions as one box that observes all answers.
func TestRemoteStatsAddUp(t *testing.T) {
	e := readEngines(t)[1]
	var one, two, all estimate.Model
	r := rand.New(rand.NewPCG(4, 0))
	for i := range 100 {
		l, at := randomLoad(r), start.Add(time.Duration(i)*time.Millisecond)
		d := e.firstEvent(l, r)
		all.Observe(l, d, time.Second, at)
		if i%2 == 0 {
			one.Observe(l, d, time.Second, at)
		} else {
			two.Observe(l, d, time.Second, at)
		}
	}
	now := start.Add(time.Second)
	one.SetRemote(two.Local(now))
	l := estimate.Load{Prefill: 3000, Running: 4}
	require.InEpsilon(t, float64(predictFirstEvent(&all, l, now)), float64(predictFirstEvent(&one, l, now)), 0.01)
	require.InEpsilon(t, all.EndpointCapacity(0.1, 24, 0).TokensPerSecond, one.EndpointCapacity(0.1, 24, 0).TokensPerSecond, 0.01)
	require.InDelta(t, 100, one.Samples(), 3)
}

// Sums over another number of features, which a box of another version may report, are ignored.
func TestIncompatibleStatsIgnored(t *testing.T) {
	var m estimate.Model
	observe(&m, readEngines(t)[:1], 5)
	l := estimate.Load{Prefill: 3000}
	before := predictFirstEvent(&m, l, start.Add(time.Minute))
	m.SetRemote(estimate.Stats{First: estimate.Sums{Products: []float64{1}, Observed: []float64{1}}})
	require.Equal(t, before, predictFirstEvent(&m, l, start.Add(2*time.Minute)))
}

// Objectives that are not observed for some time are removed, so that new ones fit into the limit.
func TestUnusedObjectivesEvicted(t *testing.T) {
	var m estimate.Model
	for i := range 100 {
		at := start.Add(time.Duration(i) * 10 * time.Minute)
		m.Observe(estimate.Load{Prefill: 1000}, time.Millisecond, time.Duration(i+1)*time.Second, at)
		require.Contains(t, m.Local(at).Classes, 1000*(i+1))
	}
}

// If the sums cannot be solved, the predictions are those of the prior.
func TestUnsolvableSumsUsePrior(t *testing.T) {
	var m, none estimate.Model
	m.Observe(estimate.Load{Prefill: 100}, time.Second, time.Second, start)
	s := m.Local(start)
	s.First.Products[0] = math.NaN()
	m.SetRemote(s)
	l := estimate.Load{Prefill: 3000}
	require.Equal(t, predictFirstEvent(&none, l, start), predictFirstEvent(&m, l, start.Add(time.Second)))
}

// A longer prompt is never predicted to take less time, even if the observations suggest so.
func TestMonotonicInPromptLength(t *testing.T) {
	var m estimate.Model
	for i := range 200 {
		m.Observe(estimate.Load{Prefill: 100 * i, Running: 20}, time.Duration(300-i)*time.Millisecond, time.Second, start)
	}
	now := start.Add(time.Second)
	last := time.Duration(0)
	for _, n := range []int{0, 1000, 10_000, 50_000} {
		d := predictFirstEvent(&m, estimate.Load{Prefill: n}, now)
		require.GreaterOrEqual(t, d, last)
		last = d
	}
}

// The capacity of an engine is proportional to its speed, and grows with the fraction of requests
// that may be late.
func TestCapacityFollowsSpeed(t *testing.T) {
	tokens := map[string]float64{}
	for _, e := range readEngines(t) {
		var m estimate.Model
		r := rand.New(rand.NewPCG(6, 0))
		for i := range 600 {
			l := randomLoad(r)
			objective := time.Duration((e.fixed + 20_000/e.tokensPerMs) * float64(time.Millisecond))
			m.Observe(l, e.firstEvent(l, r), objective, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		strict, loose := m.EndpointCapacity(0.02, 24, 0), m.EndpointCapacity(0.3, 24, 0)
		require.Less(t, strict.TokensPerSecond, loose.TokensPerSecond)
		require.Less(t, loose.TokensPerSecond, 1000*e.tokensPerMs)
		require.Greater(t, loose.TokensPerSecond, 100*e.tokensPerMs)
		tokens[e.name] = loose.TokensPerSecond
	}
	require.InEpsilon(t, 10, tokens["first_sites"]/tokens["ten_times_slow"], 0.3)
}

// The number of running requests is limited by the slots and by the pauses that the routes allow.
func TestConcurrencyBounds(t *testing.T) {
	var m estimate.Model
	require.InDelta(t, 18, m.EndpointCapacity(0.1, 24, time.Minute).Running, 0.1)
	for i := range 300 {
		n := i % 30
		m.ObservePause(n, time.Duration(50+10*n)*time.Millisecond, start.Add(time.Duration(i)*time.Second/10))
	}
	// The mean pause may be half of 300 ms, which 10 running requests cause.
	require.InDelta(t, 10, m.EndpointCapacity(0.1, 24, 300*time.Millisecond).Running, 1.5)
}

func TestPauseTarget(t *testing.T) {
	d := &catalog.Document{Routes: []catalog.Route{
		{GapTarget: time.Second, Shares: []catalog.Share{{Service: "a"}, {Service: "b"}}},
		{GapTarget: 2 * time.Second, Shares: []catalog.Share{{Service: "a"}}},
		{Shares: []catalog.Share{{Service: "c"}}},
	}}
	require.Equal(t, time.Second, estimate.PauseTarget(d, "a"))
	require.Zero(t, estimate.PauseTarget(d, "c"))
}

func BenchmarkObserve(b *testing.B) {
	var m estimate.Model
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Observe(estimate.Load{Prefill: 3000, Running: 4}, 100*time.Millisecond, time.Second, start.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkView(b *testing.B) {
	var m estimate.Model
	for i := range 100 {
		m.Observe(estimate.Load{Prefill: 100 * i}, time.Duration(i)*time.Millisecond, time.Second, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		predictFirstEvent(&m, estimate.Load{Prefill: 3000}, start)
	}
}
