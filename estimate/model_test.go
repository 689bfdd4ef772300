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

// engine is one kind of engine; times are in milliseconds.
type engine struct {
	name                           string
	fixed, tokens, long, perRunner float64
}

func engines(t *testing.T) []engine {
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
		_, err := fmt.Sscan(s.Text(), &e.name, &e.fixed, &e.tokens, &e.long, &e.perRunner)
		require.NoError(t, err, s.Text())
		out = append(out, e)
	}
	return out
}

// first is the time to the first event of a request on its way.
func (e engine) first(l estimate.Load, r *rand.Rand) time.Duration {
	read := float64(l.Read)
	ms := e.fixed + (read+float64(l.Ahead))/e.tokens + e.long*read*read/1e8 + e.perRunner*float64(l.Running)
	ms *= 1 + 0.1*r.Float64()
	if r.Float64() < 0.1 {
		ms *= 1 + 3*r.Float64() // it waited for what nobody here knew
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func load(r *rand.Rand) estimate.Load {
	l := estimate.Load{Read: int(math.Exp(7 + 1.5*r.NormFloat64())), Running: r.IntN(20)}
	if r.Float64() < 0.3 {
		l.Ahead = r.IntN(8000)
	}
	return l
}

func expect(m *estimate.Model, l estimate.Load, now time.Time) time.Duration {
	v := m.View(now)
	return v.Expect(l)
}

// observe lets a model see a minute of answers, ten a second, from engines in turn.
func observe(m *estimate.Model, es []engine, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	for i := range 600 {
		l := load(r)
		m.Observe(l, es[i%len(es)].first(l, r), time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
	}
}

// answers is how many the errors are taken over.
const answers = 200

// off is the median of the errors of what is expected, as a part of what is seen.
func off(m *estimate.Model, es []engine) float64 {
	r := rand.New(rand.NewPCG(99, 0))
	errs := make([]float64, 0, answers)
	for i := range answers {
		l := load(r)
		saw := es[i%len(es)].first(l, r)
		expected := expect(m, l, start.Add(time.Minute+time.Duration(i)*time.Second))
		errs = append(errs, math.Abs(float64(expected-saw))/float64(saw))
	}
	slices.Sort(errs)
	return errs[len(errs)/2]
}

// After a minute what is expected is within a third of what is seen, for engines of
// any speed, though a tenth of the answers waited for what nobody knew.
func TestSpeedIsLearnt(t *testing.T) {
	for _, e := range engines(t) {
		t.Run(e.name, func(t *testing.T) {
			var m estimate.Model
			observe(&m, []engine{e}, 1)
			require.Less(t, off(&m, []engine{e}), 1.0/3)
		})
	}
}

// table is the other way to learn: the median of what was seen at prompts of about a
// length, with about as much ahead; the median of all where that was not seen.
type table map[[2]int][]float64

func cell(l estimate.Load) [2]int {
	return [2]int{bits.Len(uint(l.Read)), bits.Len(uint(l.Ahead / 1000))}
}

func (t table) expect(l estimate.Load) time.Duration {
	seen := t[cell(l)]
	if len(seen) == 0 {
		for _, v := range t {
			seen = append(seen, v...)
		}
	}
	seen = slices.Sorted(slices.Values(seen))
	return time.Duration(seen[len(seen)/2])
}

// Within the first few seconds a fit expects better than a table of medians does, and
// much better than the prior alone, for engines of every speed.
func TestAgainstTable(t *testing.T) {
	const seen = 40
	for _, e := range engines(t) {
		r := rand.New(rand.NewPCG(7, 0))
		var m, none estimate.Model
		by := table{}
		for i := range seen {
			l := load(r)
			d := e.first(l, r)
			m.Observe(l, d, time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
			by[cell(l)] = append(by[cell(l)], float64(d))
		}
		fit, medians, prior := make([]float64, 0, answers), make([]float64, 0, answers), make([]float64, 0, answers)
		for range answers {
			l := load(r)
			saw := float64(e.first(l, r))
			miss := func(d time.Duration) float64 { return math.Abs(float64(d)-saw) / saw }
			now := start.Add(5 * time.Second)
			fit = append(fit, miss(expect(&m, l, now)))
			medians = append(medians, miss(by.expect(l)))
			prior = append(prior, miss(expect(&none, l, now)))
		}
		for _, v := range [][]float64{fit, medians, prior} {
			slices.Sort(v)
		}
		t.Logf("%s: fit %.2f, table %.2f, prior %.2f", e.name, fit[answers/2], medians[answers/2], prior[answers/2])
		require.Less(t, fit[answers/2], medians[answers/2])
		require.Less(t, fit[answers/2], prior[answers/2])
	}
}

// A tenth of answers that take a hundred times as long, as of an endpoint that fails
// slowly, hardly change what is expected of the others.
func TestOutliers(t *testing.T) {
	e := engines(t)[0]
	var m estimate.Model
	r := rand.New(rand.NewPCG(3, 0))
	for i := range 600 {
		l := load(r)
		d := e.first(l, r)
		if i%10 == 0 {
			d *= 100
		}
		m.Observe(l, d, time.Second, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	require.Less(t, off(&m, []engine{e}), 1.0/3)
}

// What several boxes observed adds up to what one would have that saw it all.
func TestTogether(t *testing.T) {
	e := engines(t)[1]
	var one, two, all estimate.Model
	r := rand.New(rand.NewPCG(4, 0))
	for i := range 100 {
		l, at := load(r), start.Add(time.Duration(i)*time.Millisecond)
		d := e.first(l, r)
		all.Observe(l, d, time.Second, at)
		if i%2 == 0 {
			one.Observe(l, d, time.Second, at)
		} else {
			two.Observe(l, d, time.Second, at)
		}
	}
	now := start.Add(time.Second)
	one.Tell(two.Own(now))
	l := estimate.Load{Read: 3000, Running: 4}
	require.InEpsilon(t, float64(expect(&all, l, now)), float64(expect(&one, l, now)), 0.01)
	require.InEpsilon(t, all.Bear(0.1, 24, 0).Tokens, one.Bear(0.1, 24, 0).Tokens, 0.01)
	require.InDelta(t, 100, one.Samples(), 3)
}

// Sums over other features, as a box of another version may tell, are left out.
func TestOtherVersion(t *testing.T) {
	var m estimate.Model
	observe(&m, engines(t)[:1], 5)
	l := estimate.Load{Read: 3000}
	before := expect(&m, l, start.Add(time.Minute))
	m.Tell(estimate.Stats{First: estimate.Sums{Products: []float64{1}, Observed: []float64{1}}})
	require.Equal(t, before, expect(&m, l, start.Add(2*time.Minute)))
}

// Objectives that no route has any more give their places to new ones.
func TestObjectivesChange(t *testing.T) {
	var m estimate.Model
	for i := range 100 {
		at := start.Add(time.Duration(i) * 10 * time.Minute)
		m.Observe(estimate.Load{Read: 1000}, time.Millisecond, time.Duration(i+1)*time.Second, at)
		require.Contains(t, m.Own(at).Classes, 1000*(i+1))
	}
}

// Sums that cannot be solved leave the prior.
func TestNotSolvable(t *testing.T) {
	var m, none estimate.Model
	m.Observe(estimate.Load{Read: 100}, time.Second, time.Second, start)
	s := m.Own(start)
	s.First.Products[0] = math.NaN()
	m.Tell(s)
	l := estimate.Load{Read: 3000}
	require.Equal(t, expect(&none, l, start), expect(&m, l, start.Add(time.Second)))
}

// More to do is never expected to take less time, whatever was observed.
func TestNeverLessForMore(t *testing.T) {
	var m estimate.Model
	for i := range 200 {
		m.Observe(estimate.Load{Read: 100 * i, Running: 20}, time.Duration(300-i)*time.Millisecond, time.Second, start)
	}
	now := start.Add(time.Second)
	last := time.Duration(0)
	for _, n := range []int{0, 1000, 10_000, 50_000} {
		d := expect(&m, estimate.Load{Read: n}, now)
		require.GreaterOrEqual(t, d, last)
		last = d
	}
}

// An engine bears load in proportion to its speed, and more where more may be late.
func TestBear(t *testing.T) {
	tokens := map[string]float64{}
	for _, e := range engines(t) {
		var m estimate.Model
		r := rand.New(rand.NewPCG(6, 0))
		for i := range 600 {
			l := load(r)
			objective := time.Duration((e.fixed + 20_000/e.tokens) * float64(time.Millisecond))
			m.Observe(l, e.first(l, r), objective, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		strict, loose := m.Bear(0.02, 24, 0), m.Bear(0.3, 24, 0)
		require.Less(t, strict.Tokens, loose.Tokens)
		require.Less(t, loose.Tokens, 1000*e.tokens)
		require.Greater(t, loose.Tokens, 100*e.tokens)
		tokens[e.name] = loose.Tokens
	}
	require.InEpsilon(t, 10, tokens["first_sites"]/tokens["ten_times_slow"], 0.3)
}

// Running requests are bound by the slots, and by the pauses that the routes allow.
func TestPauses(t *testing.T) {
	var m estimate.Model
	require.InDelta(t, 18, m.Bear(0.1, 24, time.Minute).Running, 0.1)
	for i := range 300 {
		n := i % 30
		m.ObservePause(n, time.Duration(50+10*n)*time.Millisecond, start.Add(time.Duration(i)*time.Second/10))
	}
	// A mean pause of 150 ms comes with 10 requests.
	require.InDelta(t, 10, m.Bear(0.1, 24, 300*time.Millisecond).Running, 1.5)
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
		m.Observe(estimate.Load{Read: 3000, Running: 4}, 100*time.Millisecond, time.Second, start.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkView(b *testing.B) {
	var m estimate.Model
	for i := range 100 {
		m.Observe(estimate.Load{Read: 100 * i}, time.Duration(i)*time.Millisecond, time.Second, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		expect(&m, estimate.Load{Read: 3000}, start)
	}
}
