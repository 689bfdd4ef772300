package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// failureHalfLife is the half-life of the failures of an endpoint. Without decay an endpoint that
// has recovered would get no calls. Where a third of the endpoints refuse nine in ten calls for
// some seconds, 0.024 of the requests of a simulated day are refused with 10 s, 0.021 without decay
// and 0.026 with 3 s; where they fail these calls, 0.0138, 0.0132 and 0.0157 fail.
const failureHalfLife = 10 * time.Second

const (
	// priorCalls is the number of successful calls that an endpoint is assumed to have run before
	// any is known, so that a failure among few calls has little weight.
	priorCalls = 2

	// minReportedFailures is the least number of failures, after decay, that is reported.
	minReportedFailures = 0.5

	// maxReportedEndpoints bounds the endpoints in one message, at some 40 bytes each. Those with
	// the most failures come first.
	maxReportedEndpoints = 32
)

// CallCounts is the number of calls at one endpoint and of those that failed, decaying over time.
type CallCounts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Total  float64
	Failed float64
}

// decayingCounts are counts as of time at.
type decayingCounts struct {
	CallCounts
	at time.Time
}

func (c *decayingCounts) add(failed bool, now time.Time) {
	c.CallCounts = c.decayed(now)
	c.at = now
	c.Total++
	if failed {
		c.Failed++
	}
}

// decayed returns the counts after decay until now.
func (c *decayingCounts) decayed(now time.Time) CallCounts {
	decay := math.Exp2(-float64(max(now.Sub(c.at), 0)) / float64(failureHalfLife))
	return CallCounts{Total: decay * c.Total, Failed: decay * c.Failed}
}

// failureProbability returns the probability that a call at the endpoint fails: the rate that this
// box has seen or that of all boxes of its data centre together, whichever is higher. With 70 boxes
// and 60 endpoints, a box sends to each endpoint only once in some seconds, so its own counts show a
// failing endpoint too late. Where some endpoints refuse much of their work, 0.031 of the requests
// of a simulated day are refused with the counts of the other boxes and 0.051 without.
func (st *endpointState) failureProbability(now time.Time) float64 {
	own := st.ownFailureRate(now)
	if st.remoteCalls.Failed == 0 {
		return own
	}
	c, o := st.ownCalls.decayed(now), st.remoteCalls.decayed(now)
	return max(own, (c.Failed+o.Failed)/(c.Total+o.Total+priorCalls))
}

// ownFailureRate returns the smoothed failure rate that this box has seen.
func (st *endpointState) ownFailureRate(now time.Time) float64 {
	if st.failureRate == 0 {
		return 0
	}
	return st.failureRate * math.Exp2(-float64(max(now.Sub(st.failureRateAt), 0))/float64(failureHalfLife))
}

// FailureReport returns this box's report to the other boxes of its data centre: the counts of its
// calls at the endpoints that failed some of them or that others report as failing.
func (b *Balancer) FailureReport(now time.Time) map[string]CallCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]CallCounts{}
	for id, st := range b.states {
		c := st.ownCalls.decayed(now)
		if c.Failed >= minReportedFailures || c.Total >= minReportedFailures && st.remoteCalls.decayed(now).Failed >= minReportedFailures {
			out[id] = c
		}
	}
	return keepMostFailed(out)
}

// keepMostFailed drops all but the maxReportedEndpoints endpoints with the most failures.
func keepMostFailed(counts map[string]CallCounts) map[string]CallCounts {
	if len(counts) <= maxReportedEndpoints {
		return counts
	}
	ids := slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y].Failed, counts[x].Failed), cmp.Compare(x, y))
	})
	for _, id := range ids[maxReportedEndpoints:] {
		delete(counts, id)
	}
	return counts
}

// SetRemoteFailures replaces the total counts that the other boxes of the data centre report.
func (b *Balancer) SetRemoteFailures(others map[string]CallCounts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.states {
		st.remoteCalls = decayingCounts{}
	}
	for id, c := range others {
		b.state(id).remoteCalls = decayingCounts{c, now}
	}
}
