package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// failureHalfLife is the time in which half of an endpoint's failures is forgotten, without which
// one that runs calls again would get none. Where a third of the endpoints refuse nine in ten
// calls for some seconds 0.024 of a day's requests are refused with 10 s, 0.021 without
// forgetting and 0.026 with 3 s; where they fail calls 0.0138, 0.0132 and 0.0157 fail (means of
// nine days each).
const failureHalfLife = 10 * time.Second

const (
	// priorCalls is how many calls without a failure an endpoint is taken to have run before
	// any is known, so that the failures of few calls say little.
	priorCalls = 2

	// minReportedFailures is the number of failures from which on an endpoint is told of.
	minReportedFailures = 0.5

	// maxReportedEndpoints bounds the endpoints in one message, those with the most failures first: some
	// 40 bytes each.
	maxReportedEndpoints = 32
)

// CallCounts are calls at one endpoint and how many of them failed, the later ones counting more.
type CallCounts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Total  float64
	Failed float64
}

// decayingCounts are calls up to a time.
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

// decayed returns the calls as they count at a time.
func (c *decayingCounts) decayed(now time.Time) CallCounts {
	k := math.Exp2(-float64(max(now.Sub(c.at), 0)) / float64(failureHalfLife))
	return CallCounts{Total: k * c.Total, Failed: k * c.Failed}
}

// failureProbability returns the part of an endpoint's calls that is taken to fail: as this box has seen
// it, or as all boxes of its data centre have together. With 70 boxes each sends to one of 60
// endpoints once in seconds, and learns too late by itself. Where a part of the endpoints
// refuses much of its work 0.031 of a day's requests are refused so and 0.051 without the
// others' word (one day).
func (p *endpointState) failureProbability(now time.Time) float64 {
	own := p.ownFailureRate(now)
	if p.remoteCalls.Failed == 0 {
		return own
	}
	c, o := p.ownCalls.decayed(now), p.remoteCalls.decayed(now)
	return max(own, (c.Failed+o.Failed)/(c.Total+o.Total+priorCalls))
}

// ownFailureRate is the part that this box has seen, smoothed.
func (p *endpointState) ownFailureRate(now time.Time) float64 {
	if p.failureRate == 0 {
		return 0
	}
	return p.failureRate * math.Exp2(-float64(max(now.Sub(p.failureRateAt), 0))/float64(failureHalfLife))
}

// FailureReport returns what this box tells the others of its data centre: its calls at the
// endpoints that failed some, or that others say do.
func (b *Balancer) FailureReport(now time.Time) map[string]CallCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]CallCounts{}
	for id, p := range b.states {
		c := p.ownCalls.decayed(now)
		if c.Failed >= minReportedFailures || c.Total >= minReportedFailures && p.remoteCalls.decayed(now).Failed >= minReportedFailures {
			out[id] = c
		}
	}
	return keepMostFailed(out)
}

// keepMostFailed keeps the endpoints with the most failures, up to the bound of a message.
func keepMostFailed(of map[string]CallCounts) map[string]CallCounts {
	if len(of) <= maxReportedEndpoints {
		return of
	}
	ids := slices.SortedFunc(maps.Keys(of), func(x, y string) int {
		return cmp.Or(cmp.Compare(of[y].Failed, of[x].Failed), cmp.Compare(x, y))
	})
	for _, id := range ids[maxReportedEndpoints:] {
		delete(of, id)
	}
	return of
}

// SetRemoteFailures replaces what the other boxes of the data centre say.
func (b *Balancer) SetRemoteFailures(others map[string]CallCounts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.states {
		p.remoteCalls = decayingCounts{}
	}
	for id, c := range others {
		b.state(id).remoteCalls = decayingCounts{c, now}
	}
}
