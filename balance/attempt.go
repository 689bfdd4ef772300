package balance

import (
	"cmp"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/speed"
)

// Attempt is one call at an endpoint, from when it is sent until it ends.
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
	unjudged    bool      // tells nothing about the endpoint's speed and failures
	trial       bool      // began after a back-off period, to find out whether the endpoint runs calls
	firstEvent  time.Time // when the endpoint first sent something; zero before
	lastEvent   time.Time // when the endpoint last sent something
	events      int

	key          speed.Key
	meanExpected time.Duration       // of the choice
	speedFactor  float64             // as of the choice
	prediction   estimate.Prediction // as of the choice
	steady       time.Duration       // sum of the pauses, each bounded
	longest      time.Duration       // longest pause
	gapTarget    time.Duration
	service      string
	speedClass   int8 // as of the choice
}

// Begin records that a call is sent.
func (b *Balancer) Begin(e endpoint.Endpoint, c Choice, now time.Time) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(e.ID)
	if st.running == 0 {
		st.busySince = now
	}
	st.running++
	st.tokens += c.Tokens
	st.cached.add(c.Parts, now)
	trial := !st.probationFrom.IsZero() && !now.Before(st.probationFrom)
	if trial {
		st.trials++
	}
	return &Attempt{
		balancer: b, state: st, model: b.model(e.Service), incarnation: e.Incarnation(), dataCentre: e.DataCentre, tokens: c.Tokens, load: c.Load,
		expected: c.Expected, objective: c.Objective, start: now, trial: trial,
		key: speed.KeyOf(&e), speedFactor: cmp.Or(c.SpeedFactor, 1), prediction: c.prediction, meanExpected: c.meanExpected,
		gapTarget: c.GapTarget, service: e.Service, speedClass: c.speedClass,
	}
}

// Unjudge makes the attempt count for the endpoint's load only. It is called if a part of its time or its failure is due
// to the links of this box.
func (a *Attempt) Unjudge() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.unjudged = true
}

// RecordProgress records that the endpoint, which runs the call, sent something for it.
func (a *Attempt) RecordProgress(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.recordEvent(now)
	if a.trial {
		a.state.probationFrom = time.Time{}
	}
}

// RecordRefusal records that the endpoint answered that it does not run the call.
func (a *Attempt) RecordRefusal(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.recordEvent(now)
}

// An endpoint that has sent nothing to its calls for wakeSilence has been silent. That is an exception if it was not silent for
// wakeFactor times as long before; an endpoint that is always so slow has no exceptions.
const (
	wakeSilence = time.Second
	wakeFactor  = 3
)

// recordWake records that the endpoint sends something again if it has been silent.
func (st *endpointState) recordWake(now time.Time) {
	if !st.isSilent(wakeSilence, now) {
		return
	}
	silence := st.silence(now)
	if now.Add(-silence).Sub(st.wokeAt) > wakeFactor*silence {
		st.excusedAt = now
	}
	st.wokeAt = now
}

// isExcused reports whether the endpoint was silent during the call as an exception. How long the call took then says nothing
// about others.
func (a *Attempt) isExcused() bool { return !a.start.After(a.state.excusedAt) }

// recordEvent records that the endpoint sent something. The balancer's lock must be held.
func (a *Attempt) recordEvent(now time.Time) {
	a.state.recordWake(now)
	a.state.lastProgress = now
	a.state.consecutiveFailures = 0
	a.state.avoidedUntil, a.state.unproven = time.Time{}, false
	a.balancer.dataCentre(a.dataCentre).avoidedUntil = time.Time{}
	a.events++
	if a.events > 1 {
		a.recordPause(now)
	}
	a.lastEvent = now
	if !a.firstEvent.IsZero() {
		return
	}
	a.firstEvent = now
	a.state.tokens -= a.tokens
}

// RecordAnswer records that the first event belonged to an answer, not to a failure. The latency of
// the event is a sample of the endpoint's speed.
func (a *Attempt) RecordAnswer() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.unjudged || a.isExcused() {
		return
	}
	took := a.firstEvent.Sub(a.start)
	a.observeFirstEvent(took)
	a.model.Observe(a.load, a.normalized(took), a.objective, a.lastEvent)
	if a.expected > 0 {
		r := min(max(float64(took)/float64(a.expected), 0.3), 20)
		a.state.slowness += slownessWeight * (r - a.state.slowness)
	}
}

// End records that the call is over, and whether the endpoint failed or refused it. A refusal
// counts as a failure: refusals are faster than answers and would otherwise attract calls to the
// endpoints that refuse. Where a third of the endpoints refuse nine in ten calls for some seconds,
// this reduces the refused requests of a simulated day from 0.056 to 0.024.
func (a *Attempt) End(failed bool, now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.events > 1 && !a.unjudged {
		a.observePause()
		a.observeStall(now)
		if !a.isExcused() {
			a.model.ObservePause(a.load.Running, a.normalized(a.lastEvent.Sub(a.firstEvent)/time.Duration(a.events-1)), a.lastEvent)
		}
	}
	if a.firstEvent.IsZero() {
		a.state.tokens -= a.tokens
	}
	a.state.running--
	if a.trial {
		a.state.trials--
	}
	if a.unjudged {
		return
	}
	if !failed && a.events > 0 && !a.isExcused() {
		a.model.ObserveSlotTime(a.normalized(now.Sub(a.start)), now)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f := a.state.ownFailureRate(now)
	a.state.failureRate, a.state.failureRateAt = f+failureWeight*(outcome-f), now
	a.state.ownCalls.add(failed, now)
}
