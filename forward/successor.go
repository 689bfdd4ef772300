package forward

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
)

var (
	// errSuperseded reports that an attempt was given up because another attempt of its request goes on.
	errSuperseded = errors.New("another attempt of the request goes on")

	// errNoCredit reports that a successor did not start for lack of a credit.
	errNoCredit = errors.New("no credit for another attempt")
)

// maxSuccessorSilence is the silence from which an endpoint with calls under way gets no successor of an attempt. It is half
// of maxSilence, so that endpoints that fell silent together get none of each other's requests.
const maxSuccessorSilence = maxSilence / 2

// Obstacles to a successor, as values in logs.
const (
	earlierUnended = "not_ended" // an earlier successor that was cancelled
	noAttemptLeft  = "no_attempt"
	noVersionLeft  = "no_version"
	noEventID      = "no_event_id" // of the last event
	noEndpointLeft = "no_endpoint"
	notAllowed     = "not_allowed" // the quarantine refuses the request, or its endpoints accept none
)

// successor is a run of a request beside an attempt of it whose endpoint is silent. The caller gets nothing from it
// before it supersedes the attempt, with the first event or the complete response that it receives.
type successor struct {
	r      *run
	of     *watchdog // of the attempt
	c      context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed when the fields below are final

	served bool  // the sink has received the complete response
	err    error // that ended the run

	cancelledAt string // incarnation of the endpoint at which the attempt cancelled it; empty if it did not
}

func (s *successor) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// newSuccessor returns the successor that the watchdog's attempt may get, or what speaks against one. The watchdog's lock must be
// held, so that the attempt passes nothing to the caller.
func (w *watchdog) newSuccessor() (s *successor, obstacle string) {
	p, e := w.r, w.choice.Endpoint
	r := &run{
		f: p.f, q: p.q, sink: p.sink, tried: maps.Clone(p.tried), reached: append(slices.Clone(p.reached), reachedEndpoint{endpoint: e}),
		failedDials: p.failedDials, refusedDials: p.refusedDials, mayHaveRun: true, shared: p.shared, headSent: p.headSent,
		answer: p.answer, lastEvent: p.lastEvent, moves: p.moves, begun: p.begun,
	}
	r.trace = Trace{Content: p.q.Content, Parts: p.q.Parts, Attempts: p.trace.Attempts}
	for _, o := range w.successors {
		if !o.hasEnded() {
			return nil, earlierUnended
		}
		r.mergeUse(o)
	}
	switch {
	case r.attemptsUsed() >= r.maxAttempts():
		go w.retryOnceEnded(r.reached)
		return nil, noAttemptLeft
	case !r.answer.CanContinue():
		return nil, noEventID
	case r.begun != nil && !r.f.hasServingVersion(r.q.Service.Name, *r.begun, r.tried):
		return nil, noVersionLeft
	}
	verdict, err := r.f.judge(r.q)
	if err != nil {
		return nil, notAllowed
	}
	r.verdict = verdict
	c, cancel := context.WithCancel(w.c)
	s = &successor{r: r, of: w, c: c, cancel: cancel, done: make(chan struct{})}
	r.versions = r.f.Rollouts.PickVersion(r.q.Service.Name, true, boottime.Now())
	q := r.newQuery()
	if r.isStream() {
		q.MaxSilence = maxSuccessorSilence
	}
	if _, _, ok := r.find(q); !ok {
		cancel()
		return nil, noEndpointLeft
	}
	r.credit, w.credit = w.credit, nil
	for _, o := range w.successors {
		r.inheritCredit(o.r)
	}
	r.successor = s
	return s, ""
}

// run runs the request until it is answered or fails.
func (s *successor) run(w *watchdog) {
	defer close(s.done)
	defer w.detach(s)
	defer s.r.f.Pool.Budget.Release(s.r)
	defer s.cancel()
	if !s.r.takeCredit(s.c, causeSilent, w.choice.Endpoint) {
		s.err = errNoCredit
		return
	}
	for !s.served && s.err == nil {
		s.served, s.err = s.r.step(s.c)
	}
}

// lead reports whether the attempt goes on, given that it has received something: no successor has superseded it, and it
// supersedes the attempts that its run is to succeed.
func (r *run) lead(w *watchdog) bool { return w.beginEvent() && r.supersede() }

// supersede makes the run go on instead of the attempt that it is a successor of, if it is one.
func (r *run) supersede() bool {
	s := r.successor
	if s == nil {
		return true
	}
	return s.of.supersede(s) && s.of.r.supersede()
}

// mayAnswer reports whether the run may pass an error response to the caller. A successor may not, since the attempt that it
// succeeds may still be answered.
func (r *run) mayAnswer() bool { return r.successor == nil || r.successor.of.isSuperseded() }

// join waits for the successors of the attempts that ended, and returns the one that went on instead, if one did. What the
// others did counts for the request.
func (r *run) join() (leading *successor) {
	ss := r.successors
	r.successors = nil
	for _, s := range ss {
		<-s.done
		if s.of.isSupersededBy(s) {
			return s
		}
		r.merge(s)
	}
	return nil
}

// merge adds what a successor did that did not go on. An endpoint at which it was cancelled may get the request again, as
// it neither failed nor refused.
func (r *run) merge(s *successor) {
	r.mergeUse(s)
	if p := s.r.errorResponse; p != nil && r.errorResponse == nil && r.holdErrorResponse(s.r.trace.Choice.Endpoint.ID, len(p.body)) {
		r.errorResponse = p
	}
	r.inheritCredit(s.r)
}

// inheritCredit takes the credit that another run of the request did not use, unless the run has one.
func (r *run) inheritCredit(o *run) {
	if r.credit == nil {
		r.credit, o.credit = o.credit, nil
	}
}

// mergeUse adds what a successor used up of what the request may use.
func (r *run) mergeUse(s *successor) {
	o := s.r
	for i := range o.tried {
		if i != s.cancelledAt {
			r.tried[i] = true
		}
	}
	for _, e := range o.reached {
		isOwn := e.endpoint.Incarnation() == s.of.choice.Endpoint.Incarnation() // recorded when the attempt ends
		if isOwn {
			continue
		}
		r.mayHaveRun = r.mayHaveRun || !e.refused
		if !slices.ContainsFunc(r.reached, func(k reachedEndpoint) bool { return k.endpoint.Incarnation() == e.endpoint.Incarnation() }) {
			r.reached = append(r.reached, e)
		}
	}
	r.failedDials, r.refusedDials = max(r.failedDials, o.failedDials), max(r.refusedDials, o.refusedDials)
}

// recordCancelled records a successor's attempt at e that was cancelled because the attempt before it goes on.
func (r *run) recordCancelled(out attemptResult, e endpoint.Endpoint) {
	if out.isNotSent() {
		return
	}
	r.reached = append(r.reached, reachedEndpoint{endpoint: e, refused: out.interruption == recovery.Refused})
	r.successor.cancelledAt = e.Incarnation()
}

// recordSuperseded logs and counts an attempt at e that a successor superseded.
func (r *run) recordSuperseded(c context.Context, out attemptResult, e endpoint.Endpoint) {
	r.recordFailure(out, e)
	r.checkCrash(c, out, e)
	metrics.GetOrRegisterCounter("attempts.superseded", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "attempt superseded").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Str("version", e.Version).
		Func(r.marshalAttempts).Str("last_event", r.lastID()).Err(out.err).Msg("decision")
}
