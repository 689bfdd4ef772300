package quota_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/throttle"
)

// Bound on the requests that the boxes which know an endpoint's limit may send to it in rateWindow:
// rateTolerance times the limit plus rateAllowance requests. The bound holds from rateSettleTime
// after the limit was first reported.
const (
	rateWindow     = 4 * time.Second
	rateSettleTime = 3 * time.Second
	rateTolerance  = 1.5
	rateAllowance  = 5
)

// limitedEndpoint is an endpoint that may report a rate limit.
type limitedEndpoint struct {
	endpoint.Endpoint
	limit      endpoint.Limit
	pastLimits []pastLimit
	sent       []sentRequest
	received   int // number of requests received
}

// pastLimit is a limit in requests a second that was reported until a time; infinite for none.
type pastLimit struct {
	perSecond float64
	until     time.Time
}

// highestLimit returns the highest limit in requests a second that boxes may have used in the window
// up to now.
func (e *limitedEndpoint) highestLimit(now time.Time) float64 {
	m := math.Inf(1)
	if e.limit.Limited {
		m = e.limit.PerSecond
	}
	for _, p := range e.pastLimits {
		if now.Sub(p.until) < rateSettleTime+rateWindow {
			m = max(m, p.perSecond)
		}
	}
	return m
}

// sentRequest is one request that an endpoint received.
type sentRequest struct {
	at       time.Time
	box      int
	notified bool // its box knew the limit
}

// equalShare implements throttle.Leases with an equal share of each rate, by the number of boxes
// that a box can reach.
type equalShare struct {
	fleet   *fleet
	box     int
	at      time.Time
	accrued float64
}

func (e *equalShare) Accrued(_ string, now time.Time) (seconds, share float64) {
	n := 0
	for _, k := range e.fleet.view(e.box).Boxes {
		n += k
	}
	share = 1 / math.Max(float64(n), 1)
	if !e.at.IsZero() {
		e.accrued += share * now.Sub(e.at).Seconds()
	}
	e.at = now
	return e.accrued, share
}

func (f *fleet) leases(i int) throttle.Leases {
	if f.equalShares {
		return &equalShare{fleet: f, box: i}
	}
	return f.nodes[i].Quota
}

// exchangeRates makes two boxes exchange the rate limits that they know.
func (f *fleet) exchangeRates(a, b *node) {
	p := a.available.Rates.Report(b.available.Rates.Sum(), f.now)
	b.available.Rates.Merge(p.Words, f.now)
	p = b.available.Rates.Report(a.available.Rates.Sum(), f.now)
	a.available.Rates.Merge(p.Words, f.now)
}

// broadcastRate sends a rate limit that box i received to all boxes, through its relay and the other
// relays.
func (f *fleet) broadcastRate(i int, report endpointlimit.Statement) {
	from := i
	if !f.isRelay(i) {
		from = f.nodes[i].relay
		if from < 0 || !f.reaches(i, from) {
			return
		}
		f.nodes[from].available.Rates.Merge([]endpointlimit.Statement{report}, f.now)
	}
	relays := []int{from}
	for dc := range f.dataCentres {
		for _, r := range f.relays(dc) {
			if r != from && f.reaches(from, r) {
				f.nodes[r].available.Rates.Merge([]endpointlimit.Statement{report}, f.now)
				relays = append(relays, r)
			}
		}
	}
	for _, r := range relays {
		for m := range f.nodes[r].members {
			if f.reaches(r, m) {
				f.nodes[m].available.Rates.Merge([]endpointlimit.Statement{report}, f.now)
			}
		}
	}
}

// addEndpoints adds endpoints with the given limits in requests a second; zero or less means no
// limit.
func (f *fleet) addEndpoints(perSecond ...float64) {
	for _, x := range perSecond {
		e := &limitedEndpoint{Endpoint: endpoint.Endpoint{ID: fmt.Sprint("e", len(f.endpoints))}}
		f.endpoints = append(f.endpoints, e)
		f.setLimit(e, x)
	}
}

// setLimit changes the limit that an endpoint reports.
func (f *fleet) setLimit(e *limitedEndpoint, perSecond float64) {
	old := math.Inf(1)
	if e.limit.Limited {
		old = e.limit.PerSecond
	}
	e.pastLimits = append(e.pastLimits, pastLimit{old, f.now})
	e.limit = endpoint.Limit{Limited: perSecond > 0, PerSecond: max(perSecond, 0)}
}

// requestPermit asks for permission to send one request to an endpoint, as a box does, and skips the
// endpoint for a while if it is refused.
func (f *fleet) requestPermit(i int, e *limitedEndpoint) bool {
	n := f.nodes[i]
	l, age := n.available.Rates.Limit(e.ID, f.now)
	if !l.Limited {
		return true
	}
	x := throttle.Question{Endpoint: e.ID, PerSecond: l.PerSecond, Age: age}
	if f.equalShares {
		a := n.throttle.Ask(x, f.now)
		if !a.OK {
			n.available.SkipFor(e.ID, l.PerSecond, a.After, f.now)
		}
		return a.OK
	}
	soonest := throttle.Answer{After: time.Second}
	for _, a := range n.Arbiters(e.ID, f.now) {
		j := boxIndex(a)
		f.calls++
		if i != j && !f.reaches(i, j) {
			continue
		}
		v := f.answerPermit(f.nodes[j], x)
		if v.OK {
			return true
		}
		if v.Part > 0 && (soonest.Part == 0 || v.After < soonest.After) {
			soonest = v
		}
	}
	n.available.SkipFor(e.ID, l.PerSecond, soonest.After, f.now)
	return false
}

// answerPermit returns the answer of an arbiter.
func (f *fleet) answerPermit(n *node, x throttle.Question) throttle.Answer {
	n.available.Rates.Merge([]endpointlimit.Statement{{Incarnation: x.Endpoint, Limited: true, PerSecond: x.PerSecond, Age: x.Age}}, f.now)
	l, _ := n.available.Rates.Limit(x.Endpoint, f.now)
	if !l.Limited {
		return throttle.Answer{OK: true}
	}
	x.PerSecond = l.PerSecond
	return n.throttle.Ask(x, f.now)
}

// sendRequest sends a request of a box to the first endpoint, in random order, that its rate limit
// permits.
func (f *fleet) sendRequest(i int) {
	f.attempted++
	n := f.nodes[i]
	for _, k := range f.rng.Perm(len(f.endpoints)) {
		e := f.endpoints[k]
		if n.available.UnavailableFor(e.ID, f.now) > 0 || !f.requestPermit(i, e) {
			continue
		}
		f.admitted++
		e.received++
		notified := n.available.IsRateLimited(e.ID, f.now)
		e.sent = append(e.sent, sentRequest{f.now, i, notified})
		if w, changed := n.available.Rates.Observe(e.ID, e.limit, f.now); changed {
			f.broadcastRate(i, w)
		}
		return
	}
}

// sendRequests sends perSecond requests a second from random boxes for d and calls check at each step.
func (f *fleet) sendRequests(d time.Duration, perSecond float64, check func()) {
	for range int(d / tick) {
		f.step()
		for _, e := range f.endpoints {
			for len(e.sent) > 0 && f.now.Sub(e.sent[0].at) > rateWindow {
				e.sent = e.sent[1:]
			}
		}
		check()
		for n := perSecond * tick.Seconds(); n > 0 && f.rng.Float64() < n; n-- {
			if i := f.rng.IntN(len(f.nodes)); !f.nodes[i].dead && !f.nodes[i].frozen {
				f.sendRequest(i)
			}
		}
	}
}

// rateCheck returns a check that no endpoint received more requests in the last window than its
// limit allows from boxes that knew the limit.
func (f *fleet) rateCheck(t *testing.T) func() {
	return func() {
		t.Helper()
		for _, e := range f.endpoints {
			n := 0
			for _, s := range e.sent {
				if s.notified {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), rateTolerance*rateWindow.Seconds()*e.highestLimit(f.now)+rateAllowance, "%s with %v at %v", e.ID, e.limit, f.now)
		}
	}
}

// A limited endpoint receives about its rate, from a small and from a large fleet, and no request is
// refused while other endpoints have capacity.
func TestRateIsUsed(t *testing.T) {
	for _, n := range []int{smallFleet, largeFleet} {
		for _, rate := range []float64{0.3, 1, 10} {
			t.Run(fmt.Sprint(n, "/", rate), func(t *testing.T) {
				t.Parallel()
				f := newSettledFleet(n, 1)
				f.addEndpoints(rate, 0, 0)
				f.sendRequests(10*time.Second, 60, f.rateCheck(t))
				f.endpoints[0].received = 0
				f.resetCounts()
				const d = 60 * time.Second
				f.sendRequests(d, 60, f.rateCheck(t))
				require.Equal(t, f.attempted, f.admitted)
				require.InEpsilon(t, rate*d.Seconds(), f.endpoints[0].received, 0.2)
			})
		}
	}
}

// A fleet in which an equal share is a thousandth of each rate keeps to the rates and uses them.
func TestRatesOfLargestFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(985, 5, 1)
	f.idle(6 * time.Second)
	rates := []float64{0.5, 1, 10, 0, 0, 0, 0, 0, 0, 0}
	f.addEndpoints(rates...)
	f.sendRequests(5*time.Second, 520, f.rateCheck(t))
	f.resetCounts()
	for _, e := range f.endpoints {
		e.received = 0
	}
	const d = 8 * time.Second
	f.sendRequests(d, 520, f.rateCheck(t))
	require.Equal(t, f.attempted, f.admitted)
	for i, e := range f.endpoints[:3] {
		require.InDelta(t, rates[i]*d.Seconds(), e.received, 2)
	}
}

// If all endpoints have limits, the boxes together use them fully.
func TestRatesOfAllEndpoints(t *testing.T) {
	t.Parallel()
	for _, n := range []int{smallFleet, largeFleet} {
		f := newSettledFleet(n, 1)
		f.addEndpoints(10, 10, 10)
		f.sendRequests(10*time.Second, 60, f.rateCheck(t))
		f.resetCounts()
		f.sendRequests(20*time.Second, 60, f.rateCheck(t))
		require.InEpsilon(t, 600, f.admitted, 0.1, "%d boxes", n)
		f.resetCounts()
		f.sendRequests(20*time.Second, 20, f.rateCheck(t))
		require.GreaterOrEqual(t, f.admittedShare(), 0.95, "%d boxes", n)
	}
}

// A limit that an endpoint stops reporting is dropped within seconds, even a low one.
func TestLiftedLimit(t *testing.T) {
	for _, rate := range []float64{0.01, 1} {
		f := newSettledFleet(smallFleet, 1)
		f.addEndpoints(rate, 0)
		f.sendRequests(20*time.Second, 60, f.rateCheck(t))
		f.setLimit(f.endpoints[0], 0)
		f.sendRequests(12*time.Second, 60, f.rateCheck(t))
		f.endpoints[0].received = 0
		f.sendRequests(2*time.Second, 60, f.rateCheck(t))
		require.Greater(t, f.endpoints[0].received, 30, "%v a second", rate)
	}
}

// Boxes keep to the limits of endpoints under random faults, while many limits are set, raised,
// lowered and lifted at once. RATES_SEEDS is the number of simulated runs of each small fleet.
func TestRatesUnderRandomFaults(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("RATES_SEEDS"), "15"), 10, 64)
	require.NoError(t, err)
	for n, runs := range map[int]uint64{3: seeds, 6: seeds, 8: seeds, 24: 3, 95: 1} {
		for seed := range runs {
			t.Run(fmt.Sprint(n, "/", seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(n, min(n/2, 5), seed)
				f.idle(10 * time.Second)
				f.addEndpoints(0, 0, 0, 0, 0)
				for i := range 12 {
					if i%4 == 0 {
						f.changeLimits()
					}
					f.injectFault(faultKinds + 1)
					f.sendRequests(time.Duration(1+f.rng.IntN(8))*time.Second, []float64{5, 40, 200}[f.rng.IntN(3)], f.rateCheck(t))
					f.repair()
				}
			})
		}
	}
}

// changeLimits sets random limits at some or all endpoints.
func (f *fleet) changeLimits() {
	for _, e := range f.endpoints[:1+rand.New(rand.NewPCG(f.rng.Uint64(), 3)).IntN(len(f.endpoints))] {
		f.setLimit(e, []float64{0, 0.1, 0.5, 1, 3, 10, 40}[f.rng.IntN(7)])
	}
}

// BenchmarkRates compares two ways of enforcing a rate, permits of arbiters and an equal share for
// each box, over a minute. It reports the fraction of the rate that is used, and the largest number
// of requests in a window as a fraction of the limit.
func BenchmarkRates(b *testing.B) {
	for _, evenly := range []bool{false, true} {
		for _, n := range []int{smallFleet, largeFleet} {
			for _, rate := range []float64{0.3, 1, 10} {
				b.Run(fmt.Sprintf("evenly=%v/boxes=%d/rate=%v", evenly, n, rate), func(b *testing.B) {
					for b.Loop() {
						measureRates(b, n, rate, evenly)
					}
				})
			}
		}
	}
}

func measureRates(b *testing.B, n int, rate float64, evenly bool) {
	b.Helper()
	f := newFleet(n, min(n/2, 5), 1)
	f.equalShares = evenly
	f.restartAll(nil)
	f.idle(10 * time.Second)
	f.addEndpoints(rate, 0, 0)
	e := f.endpoints[0]
	f.sendRequests(10*time.Second, 60, func() {})
	e.received = 0
	most := 0
	f.sendRequests(time.Minute, 60, func() { most = max(most, len(e.sent)) })
	b.ReportMetric(float64(e.received)/(rate*time.Minute.Seconds()), "used")
	b.ReportMetric(float64(most)/(rate*rateWindow.Seconds()), "window")
}

// A box gets at least two different arbiters for a rate, and none without a fleet.
func TestRateArbiters(t *testing.T) {
	f := newSettledFleet(largeFleet, 1)
	for i := range 5 {
		as := f.nodes[40].Arbiters(fmt.Sprint("e", i), f.now)
		require.GreaterOrEqual(t, len(as), 2)
		require.NotEqual(t, as[0].Box, as[1].Box)
	}
	require.Empty(t, (&quota.Quota{}).Arbiters("e", f.now))
}
