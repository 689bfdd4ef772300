package stream

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/splice"
	"birchlink.dev/birchlink/view"
	"birchlink.dev/birchlink/wait"
)

// The times of a run. A stream without a token for stallFirst or stallNext is
// taken to be stuck.
const (
	maxFirstTokenTimeout = 10 * time.Second
	minFirstTokenTimeout = 2 * time.Second
	nextTokenTimeout     = 2 * time.Second
	reattachBackOff      = 50 * time.Millisecond
	retryInterval        = 250 * time.Millisecond
	settleTimeout        = 2 * time.Second
)

// outcome is how a pump of lines ended.
type outcome int

const (
	interrupted    outcome = iota // recovery decides
	answerComplete                // the answer is whole
	moveRequested                 // the stream leaves its endpoint
	runDone                       // nothing is left to do here
)

// moveRequest tells a run to leave the endpoint on a box, or to go to the peer at an
// address.
type moveRequest struct {
	box  string
	move reclaim.Move
	peer member.Member
}

// run is one stream on its way through its attempts.
type run struct {
	k            *Service
	s            *Stream
	splice       splice.Splicer
	executor     executor
	target       target
	attempt      int
	reattaches   int
	mayHaveRun   bool
	maybeAdopted bool
	kvHandle     string
	preferredBox string
	avoid        map[string]bool
	pending      moveRequest
	contentHash  content.Hash // what the stream asks for
}

// target is the endpoint, or the peer in another data centre, of an attempt.
type target struct {
	box         string
	incarnation string
	address     string
	slot        *view.Slot
}

func newRun(k *Service, s *Stream) *run {
	return &run{
		k: k, s: s, avoid: map[string]bool{}, contentHash: s.contentHash(),
		splice: splice.Splicer{RequestID: s.ID, Max: s.MaxTokens, Next: s.Len()},
	}
}

// start chooses an endpoint and drives the stream to its end.
func (r *run) start(c context.Context) {
	if err := r.choose(c); err != nil {
		r.s.finish(err)
		return
	}
	e, b := r.generate(c)
	r.drive(c, e, b)
}

// drive goes on from the end of a pump until the stream is finished.
func (r *run) drive(c context.Context, e outcome, b recovery.Interruption) {
	for {
		switch e {
		case answerComplete:
			r.k.suspects.RecordAnswer(r.contentHash)
			r.s.finish(nil)
			return
		case runDone:
			return
		case moveRequested:
			e, b = r.moveAway(c)
			continue
		}
		d := r.decide(c, b)
		switch d.Step {
		case recovery.Reattach:
			r.reattaches++
			wait.For(c, reattachBackOff<<r.reattaches)
			e, b = r.reattach(c)
		case recovery.Stop:
			e, b = r.stopAttempt(c)
		case recovery.Failover:
			e, b = r.failOver(c, b)
		default:
			r.cancelAttempt()
			r.s.finish(errkind.New(d.Kind, "%s", d.Reason))
			return
		}
	}
}

// decide asks recovery, and notes what it says.
func (r *run) decide(c context.Context, b recovery.Interruption) recovery.Decision {
	if b == recovery.Disconnected && r.target.slot != nil && c.Err() == nil {
		r.k.suspects.RecordFailure(c, r.contentHash, r.target.slot.Process(), r.target.address)
	}
	if b != recovery.Refused && b != recovery.Unreachable && b != recovery.NeverSeen {
		r.mayHaveRun = true
	}
	st := recovery.State{
		Interruption: b, Repeatable: r.s.Repeatable, Reattaches: r.reattaches, Attempts: r.attempt, MayHaveRun: r.mayHaveRun,
		Expired: c.Err() != nil, HasBudget: true,
	}
	d := recovery.Decide(st)
	if d.Step == recovery.Failover && b != recovery.Halted {
		st.HasBudget = r.k.allowRetry(r.s.Account)
		d = recovery.Decide(st)
	}
	if r.maybeAdopted && d.Step != recovery.Reattach {
		d = recovery.Decision{Step: recovery.Fail, Kind: errkind.OutcomeUnknown, Reason: "a peer may have taken the stream over"}
	}
	r.logDecision("recover", d.Reason)
	return d
}

func (r *run) logDecision(event, reason string) {
	r.k.decisions.Note(decisions.Decision{
		Subject: r.s.ID, Event: event, Choice: r.target.box, Reason: reason, Attempt: r.attempt, Workload: r.s.Workload,
	})
}

// generate begins a new attempt at the target.
func (r *run) generate(c context.Context) (outcome, recovery.Interruption) {
	r.attempt++
	r.reattaches = 0
	r.splice.Begin(r.attempt)
	r.s.update(func() { r.s.stats.Attempts, r.s.stats.Box = r.attempt, r.target.box })
	p, _ := r.s.Kind.Priority()
	q := engine.Request{
		RequestID: r.s.ID, Attempt: r.attempt, Incarnation: r.target.incarnation, Model: r.s.Workload,
		Prompt: r.s.Prompt, From: r.splice.Next, MaxTokens: r.s.MaxTokens, Priority: p, KV: r.kvHandle,
	}
	r.kvHandle = ""
	return r.readAttempt(c, func(x context.Context) (lineStream, error) { return r.executor.Generate(x, q) }, false)
}

// reattach reads on from the attempt that there is.
func (r *run) reattach(c context.Context) (outcome, recovery.Interruption) {
	return r.readAttempt(c, func(x context.Context) (lineStream, error) {
		return r.executor.Resume(x, r.s.attempt(r.attempt, r.target.incarnation, r.splice.Next))
	}, true)
}

// readAttempt opens a stream of lines and reads it until it ends in some way.
func (r *run) readAttempt(c context.Context, open func(context.Context) (lineStream, error), resumed bool) (outcome, recovery.Interruption) {
	done := r.k.trackSent(r.target)
	defer done()
	x, cancel := context.WithCancel(c)
	defer cancel()
	l, late, err := r.openWithTimeout(x, cancel, open)
	if late {
		return interrupted, recovery.Stalled
	}
	if err != nil {
		r.recordBackOff(err)
		return interrupted, classifyOpenError(err, resumed)
	}
	ch := readLines(x, l)
	t := time.NewTimer(r.firstTokenTimeout(c))
	defer t.Stop()
	for {
		select {
		case n, ok := <-ch:
			if !ok {
				return interrupted, r.classifyDisconnect()
			}
			if e, b, ended := r.handleLine(n); ended {
				return e, b
			}
			if r.splice.Next > 0 {
				t.Reset(nextTokenTimeout)
			}
		case <-t.C:
			return interrupted, recovery.Stalled
		case g := <-r.s.moveRequests:
			if g.peer.Address != "" || g.box == r.target.box {
				r.pending = g
				return moveRequested, 0
			}
		case <-c.Done():
			return interrupted, recovery.Stalled
		}
	}
}

// recordBackOff keeps for how long an engine that refused wants nothing: it has the most free slots,
// and would get every stream.
func (r *run) recordBackOff(err error) {
	var e *engine.RestError
	if r.target.slot != nil && errors.As(err, &e) {
		r.k.view.Rests.Extend(r.target.slot.Process(), e.For, boottime.Now())
	}
}

// openWithTimeout bounds how long an endpoint may take to answer at all, and reports
// whether it took longer.
func (r *run) openWithTimeout(x context.Context, cancel context.CancelFunc, open func(context.Context) (lineStream, error)) (l lineStream, late bool, err error) {
	t := time.AfterFunc(r.firstTokenTimeout(x), cancel)
	l, err = open(x)
	if t.Stop() {
		return l, false, err
	}
	if l != nil {
		_ = l.Close()
	}
	return nil, true, err
}

// firstTokenTimeout is how long a run waits for its first token: a third of the time
// that its caller has left, within bounds.
func (r *run) firstTokenTimeout(c context.Context) time.Duration {
	d, ok := c.Deadline()
	if !ok {
		return maxFirstTokenTimeout
	}
	return min(max(time.Until(d)/3, minFirstTokenTimeout), maxFirstTokenTimeout)
}

// handleLine gives a line to the splicer. The last result says that the pump ends.
func (r *run) handleLine(l engine.Line) (outcome, recovery.Interruption, bool) {
	switch r.splice.Take(l) {
	case splice.Accepted:
		r.mayHaveRun = true
		r.reattaches = 0
		r.recordLine(l)
		r.s.addToken(l.Token)
	case splice.Ended:
		return answerComplete, 0, true
	case splice.Halted:
		return interrupted, recovery.Halted, true
	case splice.Gap:
		return interrupted, recovery.Disconnected, true
	}
	return interrupted, 0, false
}

// recordLine adds what the attempt computed again, and learns where the prompt's
// prefix is cached.
func (r *run) recordLine(l engine.Line) {
	if r.target.slot != nil {
		r.k.prefixes.Add(engine.Prefix(r.s.Workload, r.s.Prompt), r.target.box)
	}
	if r.attempt > 1 && l.Prefill > 0 {
		r.s.update(func() { r.s.stats.Recomputed += l.Prefill })
		r.k.recomputed.Inc(int64(l.Prefill))
	}
}

func (r *run) classifyDisconnect() recovery.Interruption {
	if r.isGone() {
		return recovery.Gone
	}
	return recovery.Disconnected
}

// isGone reports whether the endpoint's box was taken, or the peer that carries
// the stream has ended.
func (r *run) isGone() bool {
	if r.target.slot != nil {
		return r.k.isGone(r.target.box)
	}
	m, up := r.k.members.Answering(r.target.incarnation)
	return !up || m.Box != r.target.box
}

// failOver goes on at another endpoint. The attempt that broke is told to
// stop, where that was not confirmed.
func (r *run) failOver(c context.Context, b recovery.Interruption) (outcome, recovery.Interruption) {
	if b == recovery.Disconnected || b == recovery.Stalled {
		r.cancelAttempt()
	}
	r.avoid[r.target.box] = true
	err := r.choose(c)
	switch {
	case err == nil:
		return r.generate(c)
	case errkind.Is(err, errkind.Quarantined):
		if r.mayHaveRun {
			err = errkind.New(errkind.EngineFailed, "%w", err)
		}
		r.s.finish(err)
		return runDone, 0
	case r.s.remoteOnly && !r.mayHaveRun:
		// Nobody accepted it, so it is refused at once.
		r.s.finish(err)
		return runDone, 0
	default:
		return r.awaitEndpoint(c, err)
	}
}

// awaitEndpoint waits a little for an endpoint, since the request was accepted.
func (r *run) awaitEndpoint(c context.Context, err error) (outcome, recovery.Interruption) {
	clear(r.avoid)
	for c.Err() == nil {
		wait.For(c, retryInterval)
		if r.choose(c) == nil {
			return r.generate(c)
		}
	}
	r.logDecision("recover", "no endpoint until the deadline: "+err.Error())
	return interrupted, recovery.Unreachable
}

// cancelAttempt asks the endpoint to stop the attempt and does not wait for it.
func (r *run) cancelAttempt() {
	p, a := r.executor, r.s.attempt(r.attempt, r.target.incarnation, 0)
	if p == nil {
		return
	}
	r.k.group.Go(func() {
		c, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_, _ = p.Cancel(c, a)
	})
}

// stopAttempt asks the endpoint to stop the attempt until it confirms, and takes the
// tokens that came before.
func (r *run) stopAttempt(c context.Context) (outcome, recovery.Interruption) {
	if r.target.slot == nil {
		return r.awaitPeer(c)
	}
	ended := 0
	for c.Err() == nil {
		st, err := r.executor.Cancel(c, r.s.attempt(r.attempt, r.target.incarnation, 0))
		switch {
		case err == nil && st.State == engine.NotStarted:
			return interrupted, recovery.NeverSeen
		case err == nil:
			return r.readRemaining(c)
		case errors.Is(err, engine.ErrRestarted):
			return interrupted, recovery.Restarted
		case errors.Is(err, engine.ErrEnded) && ended >= recovery.MaxReattaches:
			return interrupted, recovery.Gone
		case errors.Is(err, engine.ErrEnded):
			ended++
		case r.isGone():
			return interrupted, recovery.Gone
		}
		wait.For(c, retryInterval)
	}
	return interrupted, recovery.Stalled
}

// awaitPeer waits for a peer that carries the stream to be reached again: it goes
// on with it meanwhile. A peer that has ended leaves the outcome unknown.
func (r *run) awaitPeer(c context.Context) (outcome, recovery.Interruption) {
	for c.Err() == nil {
		if r.isGone() {
			return interrupted, recovery.Gone
		}
		e, b := r.reattach(c)
		if e != interrupted || b != recovery.Disconnected && b != recovery.Stalled {
			return e, b
		}
		wait.For(c, retryInterval)
	}
	return interrupted, recovery.Stalled
}

// readRemaining reads what a stopped attempt still has, up to its end mark.
func (r *run) readRemaining(c context.Context) (outcome, recovery.Interruption) {
	for range recovery.MaxReattaches {
		e, b := r.reattach(c)
		if e != interrupted || b != recovery.Disconnected && b != recovery.Stalled {
			return e, b
		}
		wait.For(c, reattachBackOff)
	}
	return interrupted, recovery.Restarted
}
