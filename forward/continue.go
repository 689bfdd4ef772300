package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/wait"
)

// continueMoved continues a request whose run was stopped to be moved, at as many endpoints in turn
// as it is moved to. It returns the last choice and its result. A continuation is the same run: it is
// allowed on any route, and is not an attempt.
func (r *run) continueMoved(c context.Context, ch balance.Choice, out attemptResult) (balance.Choice, attemptResult) {
	for out.stopped != nil {
		from, s := ch, out.stopped
		out.stopped = nil
		if !r.mayContinue(s) { // the run sent an event without an ID before it stopped
			return r.discardStopped(c, s, noEventID, ch, out)
		}
		ch, out = r.continueStopped(c, from, s, out)
	}
	return ch, out
}

// mayContinue reports whether a stopped run can continue after the last event. One that may be whole sends that again, so that an end
// without others shows that it is; if it has no ID, it comes again with the last event that has one.
func (r *run) mayContinue(s *stoppedRun) bool {
	_, comesAgain := r.answer.PreviousInRun()
	return r.answer.CanContinue() || s.mayBeWhole && comesAgain
}

// continueStopped continues a stopped run at its destination, at others to which the source copies
// the memory again while there are credits for those that refused, or at the source if that is known to have stopped it. If all of
// them refuse, the result is that of a lost run. Before is the result of the attempt at the source.
func (r *run) continueStopped(c context.Context, from balance.Choice, s *stoppedRun, before attemptResult) (balance.Choice, attemptResult) {
	r.moves++
	r.trace.Moves = r.moves
	var refused endpoint.Endpoint // the destination that used up the handle, if one did
	used := ""
	for range maxTargets {
		if c.Err() != nil || s.target == nil && !r.copyElsewhere(c, s) {
			break
		}
		t := s.target
		s.target = nil
		s.skip[t.choice.Endpoint.Incarnation()] = true
		out := r.continueAt(c, t.choice, s, t.attempt)
		isPaid := r.payContinuation(c, out, t.choice.Endpoint)
		if !out.isNotRun() && s.countsAsWhole() && out.showsNothing() && c.Err() == nil {
			r.checkCrash(c, out, t.choice.Endpoint)
			return r.discardStopped(c, s, "failed", from, before)
		}
		if !out.isNotRun() {
			r.recordMove(s, "moved", t.choice, out)
			return t.choice, out
		}
		if out.interruption == recovery.Refused {
			refused, used = t.choice.Endpoint, s.handle
			delete(r.tried, refused.Incarnation()) // it refused the handle, and may begin the stream
		}
		if !isPaid {
			break
		}
	}
	switch {
	case c.Err() != nil:
		return r.discardStopped(c, s, "cancelled", from, before)
	case !s.confirmed:
		return r.discardStopped(c, s, "refused", from, before)
	}
	if used == s.handle { // a handle serves once, so the source needs another
		if a, err := r.stopAndCopy(c, s.source, refused, s.ends, isStopped); err == nil && a.Handle != "" {
			s.handle = a.Handle
		}
	}
	return r.continueAtSource(c, from, s, before)
}

// continueAtSource returns a stopped run to its source.
func (r *run) continueAtSource(c context.Context, from balance.Choice, s *stoppedRun, before attemptResult) (balance.Choice, attemptResult) {
	from.Tokens, from.TypicalFirstEvent = 0, 0 // as for other destinations: nothing is prefilled again
	out := r.continueAt(c, from, s, nil)
	r.payContinuation(c, out, from.Endpoint)
	if out.isNotRun() {
		return r.discardStopped(c, s, "refused", from, before)
	}
	r.recordMove(s, "returned", from, out)
	return from, out
}

// discardStopped gives up a stopped run. The result is that of a lost run or, if it is not known to have been stopped, of the attempt
// at the source.
func (r *run) discardStopped(
	c context.Context, s *stoppedRun, outcome string, from balance.Choice, before attemptResult,
) (balance.Choice, attemptResult) {
	s.discard()
	r.recordMove(s, outcome, from, attemptResult{})
	if !s.confirmed {
		r.trace.Choice = from
		if s.countsAsWhole() && c.Err() == nil {
			before.done, before.unproven, before.err = true, nil, nil
		}
		return from, before
	}
	return from, attemptResult{interruption: recovery.Gone, err: fmt.Errorf("no endpoint continues the run that %s stopped", s.source.ID)}
}

// isStopped is the condition for further orders to stop a run whose stream has ended.
func isStopped() bool { return true }

// copyElsewhere copies the memory of a stopped run from its source to another destination.
func (r *run) copyElsewhere(c context.Context, s *stoppedRun) bool {
	for range maxTargets {
		t := r.chooseTarget(s.source, s.skip)
		if t == nil {
			return false
		}
		s.skip[t.choice.Endpoint.Incarnation()] = true
		a, err := r.stopAndCopy(c, s.source, t.choice.Endpoint, s.ends, isStopped)
		if a.Handle != "" {
			s.handle, s.confirmed = a.Handle, true
		}
		if err == nil && a.Result == call.Copied {
			s.target = t
			return true
		}
		t.release()
		if err != nil || a.Result != call.NoRoom {
			return false
		}
	}
	return false
}

// continueAt sends the request to an endpoint that continues the stopped run.
func (r *run) continueAt(c context.Context, ch balance.Choice, s *stoppedRun, reserved *balance.Attempt) attemptResult {
	r.tried[ch.Endpoint.Incarnation()] = true
	r.trace.Choice = ch
	r.hasPermit = false
	r.continued, r.reserved = s, reserved
	defer func() { r.continued, r.reserved = nil, nil }()
	if s.countsAsWhole() { // the caller waits for the end only
		x, cancel := context.WithCancelCause(c)
		defer cancel(nil)
		s.timer = time.AfterFunc(maxSilence, func() { cancel(errNoProof) })
		defer s.timer.Stop()
		c = x
	}
	if !s.confirmed {
		r.awaitAdmission(c, ch.Endpoint)
	}
	return r.attempt(c, ch)
}

// awaitAdmission waits, for as long as callers may wait, until an endpoint that has the only copy of a run accepts requests of this box.
func (r *run) awaitAdmission(c context.Context, e endpoint.Endpoint) {
	p := permitState{started: boottime.Now()}
	for c.Err() == nil && boottime.Since(p.started) < maxSilence {
		if r.f.Balancer.Availability.UnavailableFor(e.Incarnation(), boottime.Now()) == 0 && r.acquirePermit(c, &p, e) {
			return
		}
		r.hasPermit = false
		wait.For(c, endpointPollInterval)
	}
}

// mayAttempt reports whether the attempt may be sent to the chosen endpoint. One that drains may continue a run that it stopped, or of
// which it has the only copy.
func (r *run) mayAttempt(ch balance.Choice) bool {
	e := ch.Endpoint
	switch s := r.continued; {
	case s != nil && s.source.Incarnation() == e.Incarnation():
		return true
	case s != nil && !s.confirmed:
		return r.isAdmitted(e)
	default:
		return r.maySend(e)
	}
}

// showsNothing reports whether a continuation has shown neither that the answer is whole nor that it is not.
func (r attemptResult) showsNothing() bool { return !r.done && !r.hasMore && r.stopped == nil }

// isNotRun reports whether the endpoint did not and will not run the attempt.
func (r attemptResult) isNotRun() bool {
	if r.done || r.stopped != nil {
		return false
	}
	return r.interruption == recovery.Refused || r.interruption == recovery.Unreachable || r.interruption == recovery.NeverSeen
}

// recordMove logs and counts the move of a stopped run. The pause is the time from its last event at
// the source until the first one of the continuation.
func (r *run) recordMove(s *stoppedRun, outcome string, to balance.Choice, out attemptResult) {
	metrics.GetOrRegisterCounter("moves."+outcome, r.f.Metrics).Inc(1)
	s.stream.mu.Lock()
	events, last := s.stream.passed+s.stream.events, s.stream.last
	s.stream.mu.Unlock()
	e := r.f.Log.Info().Str("event", "move").Str("request", r.q.Call.ID).Str("endpoint", s.source.ID).Str("version", s.source.Version).
		Str("to", to.Endpoint.ID).Str("to_version", to.Endpoint.Version).Str("action", "move").
		Str("reason", outcome).Bool("confirmed", s.confirmed).Int("events", events).Int("created", s.created).Dur("took", boottime.Since(s.since)).Dur("left", boottime.Until(s.ends))
	if out.eventCount > 0 && !last.IsZero() {
		e.Dur("pause", out.firstEventAt.Sub(last))
	}
	e.Func(r.marshalStopOrders(s.source)).Msg("decision")
}
