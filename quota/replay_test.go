package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/quota"
)

// pattern is the load of one account, read from testdata.
type pattern struct {
	rate, burst, demand  float64
	boxes, dataCentres   int
	seconds              int
	impatient, elsewhere float64
	kinds                []kind
}

type kind struct {
	name                      string
	fixed, varying, perSecond float64
	wait, late                time.Duration
	urgent                    bool
}

func readPattern(t testing.TB, name string) pattern {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	var p pattern
	for l := range strings.Lines(string(b)) {
		key, rest, _ := strings.Cut(strings.TrimSpace(l), " ")
		switch key {
		case "limit":
			_, err = fmt.Sscan(rest, &p.rate, &p.burst)
		case "demand":
			_, err = fmt.Sscan(rest, &p.demand)
		case "boxes":
			_, err = fmt.Sscan(rest, &p.boxes)
		case "data_centres":
			_, err = fmt.Sscan(rest, &p.dataCentres)
		case "seconds":
			_, err = fmt.Sscan(rest, &p.seconds)
		case "impatient":
			_, err = fmt.Sscan(rest, &p.impatient)
		case "elsewhere":
			_, err = fmt.Sscan(rest, &p.elsewhere)
		case "kind":
			var k kind
			var wait, late, urgent string
			_, err = fmt.Sscan(rest, &k.name, &k.fixed, &k.varying, &k.perSecond, &wait, &late, &urgent)
			require.NoError(t, err, l)
			k.wait, err = time.ParseDuration(wait)
			require.NoError(t, err, l)
			k.late, err = time.ParseDuration(late)
			k.urgent = urgent == "yes"
			p.kinds = append(p.kinds, k)
		}
		require.NoError(t, err, l)
	}
	require.NotEmpty(t, p.kinds)
	return p
}

// request is a request of a replay with its caller.
type request struct {
	kind      int
	size      float64
	content   uint64
	arrived   time.Time
	box       int
	impatient bool
	refusals  int
	returns   time.Time // when the caller returns
	placed    bool      // the last refusal named the time of a place
	last      bool      // the next return is the last
}

// result counts what became of the requests of one kind.
type result struct {
	requests, refusedFirst, refusedTwice, lost, inTime int
	large, largeLost                                   int
	secondTry                                          int
	impatient, impatientLost                           int
}

// replay replays a pattern at a fleet.
type replay struct {
	pattern
	f                *fleet
	rng              *rand.Rand // of the requests
	callers          *rand.Rand // of what callers do
	waiting          []*request
	all              []*request
	served           map[*request]time.Duration
	offered, used    float64
	early            int
	cameBack, missed int // patient callers that returned to a place, and those of them that were refused
}

func newReplay(p pattern, seed uint64, reserve, returnTimes bool) *replay {
	f := newFleet(p.boxes, p.dataCentres, seed)
	f.accounts = []catalog.Account{{Name: account.Name, InTokens: true, Rate: p.rate, Burst: p.burst}}
	f.reserve, f.returnTimes = reserve, returnTimes
	for i := range f.nodes {
		f.startProcess(i, nil)
	}
	f.idle(10 * time.Second)
	return &replay{pattern: p, f: f, rng: rand.New(rand.NewPCG(seed, 3)), callers: rand.New(rand.NewPCG(seed, 4)), served: map[*request]time.Duration{}}
}

// run sends the pattern for its time, and lets the callers return that were refused.
func (r *replay) run() {
	mean, total := 0.0, 0.0
	for _, k := range r.kinds {
		mean += k.perSecond * (k.fixed + k.varying)
		total += k.perSecond
	}
	perTick := r.demand / mean * total * tick.Seconds()
	for range int(time.Duration(r.seconds) * time.Second / tick) {
		r.f.step()
		r.returnCallers()
		for n := perTick; n > 0; n-- {
			if r.rng.Float64() < n {
				r.arrive(total)
			}
		}
	}
	r.used, r.offered = r.sumAdmitted(), r.sumOffered()
	for range int(5 * time.Second / tick) {
		r.f.step()
		r.returnCallers()
	}
}

func (r *replay) sumAdmitted() float64 {
	n := 0.0
	for _, a := range r.f.admissions {
		n += a.size
	}
	return n
}

func (r *replay) sumOffered() float64 {
	n := 0.0
	for _, q := range r.all {
		n += q.size
	}
	return n
}

func (r *replay) arrive(total float64) {
	x, i := r.rng.Float64()*total, 0
	for ; i < len(r.kinds)-1 && x >= r.kinds[i].perSecond; i++ {
		x -= r.kinds[i].perSecond
	}
	k := r.kinds[i]
	q := &request{
		kind: i, size: math.Round(k.fixed + k.varying*min(r.rng.ExpFloat64(), 5)), content: r.rng.Uint64(), arrived: r.f.now,
		box: r.rng.IntN(len(r.f.nodes)), impatient: r.rng.Float64() < r.impatient,
	}
	r.all = append(r.all, q)
	r.attempt(q)
}

func (r *replay) attempt(q *request) {
	k := r.kinds[q.kind]
	// The caller has three times k.wait from its arrival to its deadline.
	left := 3*k.wait - r.f.now.Sub(q.arrived)
	x := quota.Question{
		Account: account.Name, Size: q.size, Urgent: k.urgent, Route: k.name, Content: q.content, Wait: left / 3,
	}
	v := r.f.ask(q.box, x)
	count(&r.early, v.Return == quota.ReturnedEarly)
	if q.placed && q.last && !q.impatient {
		count(&r.cameBack, true)
		count(&r.missed, !v.OK)
	}
	if v.OK {
		r.served[q] = r.f.now.Sub(q.arrived)
		return
	}
	q.refusals++
	if q.last {
		return
	}
	q.placed = v.Placed
	after := min(max(v.After, 50*time.Millisecond), left/3)
	q.last = !q.impatient
	if q.impatient {
		after = 60 * time.Millisecond
		q.last = r.f.now.Add(2 * after).After(q.arrived.Add(k.wait))
	}
	q.returns = r.f.now.Add(after)
	if r.callers.Float64() < r.elsewhere {
		q.box = r.callers.IntN(len(r.f.nodes))
	} else { // another box of the same data centre
		q.box = q.box%r.dataCentres + r.dataCentres*r.callers.IntN(len(r.f.nodes)/r.dataCentres)
	}
	r.waiting = append(r.waiting, q)
}

func (r *replay) returnCallers() {
	var now []*request
	r.waiting = slices.DeleteFunc(r.waiting, func(q *request) bool {
		if q.returns.After(r.f.now) {
			return false
		}
		now = append(now, q)
		return true
	})
	for _, q := range now {
		r.attempt(q)
	}
}

// results returns the results by kind.
func (r *replay) results() []result {
	out := make([]result, len(r.kinds))
	for i, k := range r.kinds {
		var sizes []float64
		for _, q := range r.all {
			if q.kind == i {
				sizes = append(sizes, q.size)
			}
		}
		slices.Sort(sizes)
		for _, q := range r.all {
			if q.kind == i {
				d, served := r.served[q]
				out[i].add(q, served, served && d < k.late, q.size > sizes[len(sizes)*9/10])
			}
		}
	}
	return out
}

// count adds one to n if a condition holds.
func count(n *int, when bool) {
	if when {
		*n++
	}
}

func (o *result) add(q *request, served, inTime, large bool) {
	o.requests++
	count(&o.refusedFirst, q.refusals > 0)
	count(&o.refusedTwice, q.refusals > 1)
	count(&o.lost, !served)
	count(&o.inTime, inTime)
	count(&o.large, large)
	count(&o.largeLost, large && !served)
	count(&o.secondTry, served && q.refusals == 1)
	count(&o.impatient, q.impatient)
	count(&o.impatientLost, q.impatient && !served)
}

// usedShare returns the tokens that were admitted, as a share of the limit over the time of the replay
// and one burst.
func (r *replay) usedShare() float64 { return r.used / (r.rate*float64(r.seconds) + r.burst) }

// outcome sums replays of a pattern with several seeds.
type outcome struct {
	kinds            []result // by kind, and of all together last
	used             float64
	cameBack, missed int
	early            int
}

func runReplays(t testing.TB, p pattern, reserve, returnTimes bool) outcome {
	t.Helper()
	seeds := max(settingsSeeds(t)/20, 1)
	o := outcome{kinds: make([]result, len(p.kinds)+1)}
	for seed := range seeds {
		r := newReplay(p, seed, reserve, returnTimes)
		r.run()
		o.used += r.usedShare() / float64(seeds)
		o.cameBack, o.missed, o.early = o.cameBack+r.cameBack, o.missed+r.missed, o.early+r.early
		for i, x := range r.results() {
			o.kinds[i].sum(x)
			o.kinds[len(p.kinds)].sum(x)
		}
		limit := (p.rate*tolerance.Window.Seconds()+p.burst)*(1+tolerance.Overage) + tolerance.Slack
		require.LessOrEqual(t, r.f.peakWindow(), limit)
	}
	t.Logf("reserve %t, return times %t: used %.4f of the limit; %d early; %d callers returned to a place, %d of them were refused",
		reserve, returnTimes, o.used, o.early, o.cameBack, o.missed)
	for i, x := range o.kinds {
		name := "all"
		if i < len(p.kinds) {
			name = p.kinds[i].name
		}
		t.Logf("%-11s %5d: refused first %.3f, twice %.3f, lost %.3f (largest tenth %.3f, impatient %.3f), second try %.3f, in time %.3f",
			name, x.requests, x.share(x.refusedFirst), x.share(x.refusedTwice), x.share(x.lost), float64(x.largeLost)/float64(max(x.large, 1)),
			float64(x.impatientLost)/float64(max(x.impatient, 1)), x.share(x.secondTry), x.share(x.inTime))
	}
	return o
}

func (o *result) share(n int) float64 { return float64(n) / float64(max(o.requests, 1)) }

func (o *result) sum(x result) {
	o.requests += x.requests
	o.refusedFirst += x.refusedFirst
	o.refusedTwice += x.refusedTwice
	o.lost += x.lost
	o.inTime += x.inTime
	o.large += x.large
	o.largeLost += x.largeLost
	o.secondTry += x.secondTry
	o.impatient += x.impatient
	o.impatientLost += x.impatientLost
}

// An account that asks for a third more than its limit, with the decisions of before and with the
// reserve and the return times. Guards against small requests that are refused beside large ones,
// callers that return in vain, large requests that pay for their size within their kind, and a limit
// that is no longer used up. QUOTA_SEEDS=40 replays two seeds, otherwise one.
func TestReplayOfCalmAccount(t *testing.T) {
	t.Parallel()
	p := readPattern(t, "calm-account.txt")
	before := runReplays(t, p, false, false)
	now := runReplays(t, p, true, true)
	for i, k := range p.kinds {
		o := &now.kinds[i]
		served := 1 - o.share(o.lost)
		if o.large > 0 {
			require.GreaterOrEqual(t, 1-float64(o.largeLost)/float64(o.large), served/2, "the largest tenth of the %s", k.name)
		}
		if k.fixed+k.varying < 1000 {
			require.Greater(t, before.kinds[i].share(before.kinds[i].lost), 0.4, k.name)
			require.Less(t, o.share(o.lost), 0.02, k.name)
		}
		require.GreaterOrEqual(t, o.share(o.inTime), before.kinds[i].share(before.kinds[i].inTime), k.name)
	}
	all, allBefore := &now.kinds[len(p.kinds)], &before.kinds[len(p.kinds)]
	require.Less(t, all.share(all.refusedTwice), 0.6*allBefore.share(allBefore.refusedTwice))
	require.Less(t, float64(now.missed), 0.04*float64(now.cameBack))
	require.InDelta(t, before.used, now.used, 0.01)
}

// An account below its limit is served as before: the reserve lies below a level of zero, and nobody
// holds a place. Guards against requests within the limit that are refused for the sake of others.
func TestReplayBelowLimit(t *testing.T) {
	t.Parallel()
	p := readPattern(t, "calm-account.txt")
	p.demand, p.seconds = 0.85*p.rate, 20
	before := runReplays(t, p, false, false)
	now := runReplays(t, p, true, true)
	for i := range now.kinds {
		require.LessOrEqual(t, now.kinds[i].lost, before.kinds[i].lost)
	}
	require.InDelta(t, before.used, now.used, 0.005)
}
