package stream

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/splice"
	"birchlink.dev/birchlink/view"
	"birchlink.dev/birchlink/wait"
)

// A stream that receives no token within the timeout for its first or next token is treated as
// stalled.
const (
	maxFirstTokenTimeout = 10 * time.Second
	minFirstTokenTimeout = 2 * time.Second
	nextTokenTimeout     = 2 * time.Second
	reattachBackOff      = 50 * time.Millisecond  // doubles with every attempt to reattach
	retryInterval        = 250 * time.Millisecond // between cancels, and between searches for an endpoint
	settleTimeout        = 2 * time.Second        // of a cancel, a transfer or a handover
)

// outcome is the result of reading the lines of an attempt.
type outcome int

const (
	interrupted    outcome = iota // recovery decides on the next step
	answerComplete                // the end mark of a complete answer was read
	moveRequested                 // the stream must leave its endpoint or this box
	runDone                       // the stream was finished or handed over
)

// moveRequest asks a run to leave the endpoint on a box, or to hand the stream over to a peer if
// that has an address.
type moveRequest struct {
	box  string
	move reclaim.Move
	peer member.Member
}

// concerns reports whether a run with an endpoint on a box must move.
func (g moveRequest) concerns(box string) bool { return g.peer.Address != "" || g.box == box }

// run is the execution of one stream, over all its attempts.
type run struct {
	k            *Service
	s            *Stream
	splice       splice.Splicer
	executor     executor
	target       target
	attempt      int // the current one
	lastAttempt  int // the highest number of one
	counted      int // attempts that count against the limit: not those that were stopped for a move, or whose box is gone
	maxAttempts  int // limit; zero for the default
	reattaches   int
	mayHaveRun   bool
	maybeAdopted bool   // a peer may have taken the stream over
	kvHandle     string // imported cache for the next attempt
	preferredBox string // box of the next attempt by the reclaim plan
	avoid        map[string]bool
	pending      moveRequest
	items        quarantine.Request
	sent         time.Time // when the current attempt was sent
	begun        time.Time // when the current attempt sent its first token; zero before
	isRunning    bool      // the quarantine knows that it has gone on for a while
}

// target is the endpoint of an attempt, or a box in another data centre if endpoint is nil.
type target struct {
	box         string
	incarnation string
	address     string
	endpoint    *view.EndpointState
}

func newRun(k *Service, s *Stream) *run {
	return &run{
		k: k, s: s, avoid: map[string]bool{}, items: s.items(),
		splice: splice.Splicer{RequestID: s.ID, MaxTokens: s.MaxTokens, Next: s.Len()},
	}
}

// start chooses an endpoint and runs the stream until it ends.
func (r *run) start(c context.Context) {
	if err := r.choose(c); err != nil {
		r.s.finish(err)
		return
	}
	e, b := r.generate(c)
	r.drive(c, e, b)
}

// drive acts on the outcome of an attempt, and on those of the attempts that follow, until the run
// is done.
func (r *run) drive(c context.Context, e outcome, b recovery.Interruption) {
	for {
		switch e {
		case answerComplete:
			r.recordComplete()
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
		case recovery.Wait:
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

// decide returns the next step after an interruption, and logs the reason.
func (r *run) decide(c context.Context, b recovery.Interruption) recovery.Decision {
	if b == recovery.Disconnected {
		r.recordFailure(c)
	}
	if b != recovery.Refused && b != recovery.Unreachable && b != recovery.NeverSeen {
		r.mayHaveRun = true
	}
	if b == recovery.Gone && r.target.endpoint != nil && r.isGone() {
		r.counted--
	}
	st := recovery.State{
		Interruption: b, Repeatable: r.s.Repeatable, Reattaches: r.reattaches, Attempts: r.counted, MaxAttempts: r.maxAttempts, MayHaveRun: r.mayHaveRun,
		Expired: c.Err() != nil, HasBudget: !r.maybeAdopted, CanWait: true,
	}
	d := recovery.Decide(st)
	if d.Step == recovery.Failover && b != recovery.Halted {
		st.HasBudget = r.k.allowRetry(r.s.Account)
		d = recovery.Decide(st)
	}
	if r.maybeAdopted && d.Step != recovery.Reattach && d.Step != recovery.Wait {
		d = recovery.Decision{Step: recovery.Fail, Kind: errkind.OutcomeUnknown, Reason: "a peer may have taken the stream over"}
	}
	r.logDecision("recover", d.Reason)
	return d
}

func (r *run) logDecision(event, reason string) {
	r.k.decisions.Record(decisions.Decision{
		Subject: r.s.ID, Event: event, Choice: r.target.box, Reason: reason, Attempt: r.attempt, Workload: r.s.Workload,
	})
}

// generate starts a new attempt at the target.
func (r *run) generate(c context.Context) (outcome, recovery.Interruption) {
	r.startAttempt()
	return r.readAttempt(c, r.openNew(), false)
}

// startAttempt makes a new attempt at the target the current one.
func (r *run) startAttempt() {
	r.lastAttempt++
	r.counted++
	r.attempt = r.lastAttempt
	r.reattaches = 0
	r.splice.StartAttempt(r.attempt)
	r.sent, r.begun, r.isRunning = boottime.Now(), time.Time{}, false
	r.s.update(func() { r.s.stats.Attempts, r.s.stats.Box = r.attempt, r.target.box })
}

// openNew returns the function that opens the current attempt, which has just been started.
func (r *run) openNew() func(context.Context) (lineStream, error) {
	p, _ := r.s.Kind.Priority()
	q := engine.Request{
		RequestID: r.s.ID, Attempt: r.attempt, Incarnation: r.target.incarnation, Model: r.s.Workload,
		Prompt: r.s.Prompt, From: r.splice.Next, MaxTokens: r.s.MaxTokens, Priority: p, KV: r.kvHandle,
	}
	r.kvHandle = ""
	e := r.executor
	return func(x context.Context) (lineStream, error) { return e.Generate(x, q) }
}

// reattach continues to read the current attempt, after it was tried before also from the box that has taken it over.
func (r *run) reattach(c context.Context) (outcome, recovery.Interruption) {
	if r.target.endpoint == nil && r.reattaches > 0 {
		r.followRelay(c)
	}
	return r.readAttempt(c, func(x context.Context) (lineStream, error) {
		return r.executor.Resume(x, r.s.attempt(r.attempt, r.target.incarnation, r.splice.Next))
	}, true)
}

// readAttempt opens a stream of lines and reads it until the attempt is complete, is interrupted or
// must move.
func (r *run) readAttempt(c context.Context, open func(context.Context) (lineStream, error), resumed bool) (outcome, recovery.Interruption) {
	x, cancel := context.WithCancel(c)
	defer cancel()
	lines, opened := r.follow(x, open)
	return r.readFollowed(c, lines, opened, resumed)
}

// readFollowed reads the lines of an attempt that is being opened.
func (r *run) readFollowed(
	c context.Context, lines <-chan engine.Line, opened <-chan error, resumed bool,
) (outcome, recovery.Interruption) {
	e, b := r.readLines(c, lines, r.firstTokenTimeout(c))
	if e == interrupted && b != recovery.Stalled && b != recovery.Halted {
		b = r.classifyEnd(opened, resumed)
	}
	return e, b
}

// follow opens the stream of an attempt and sends its lines until the stream or the context ends. The result of opening it is
// sent to opened.
func (r *run) follow(c context.Context, open func(context.Context) (lineStream, error)) (lines <-chan engine.Line, opened <-chan error) {
	out, result := make(chan engine.Line, lineBufferSize), make(chan error, 1)
	done := r.k.trackInFlight(r.target)
	go func() {
		defer close(out)
		defer done()
		l, err := open(c)
		result <- err
		if err == nil {
			sendLines(c, l, out)
		}
	}()
	return out, result
}

// classifyEnd returns how an attempt ended whose lines have ended, given the result of opening it.
func (r *run) classifyEnd(opened <-chan error, resumed bool) recovery.Interruption {
	if err := <-opened; err != nil {
		r.recordBackOff(err)
		return classifyOpenError(err, resumed)
	}
	return r.classifyDisconnect()
}

// readLines reads the lines of the current attempt until it is complete, is interrupted or must move. The first is due
// within a time.
func (r *run) readLines(c context.Context, ch <-chan engine.Line, first time.Duration) (outcome, recovery.Interruption) {
	t := time.NewTimer(first)
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
			if g.concerns(r.target.box) {
				r.pending = g
				return moveRequested, 0
			}
		case <-c.Done():
			return interrupted, recovery.Stalled
		}
	}
}

// recordBackOff stores the back-off period that an engine asked for when it refused. A refusing
// engine has the most free slots, and would otherwise be chosen for every stream.
func (r *run) recordBackOff(err error) {
	var e *engine.BackOffError
	if r.target.endpoint != nil && errors.As(err, &e) {
		r.k.view.BackOffs.Extend(r.target.endpoint.ProcessID(), e.Duration, boottime.Now())
	}
}

// firstTokenTimeout returns a third of the time until the deadline, within the bounds.
func (r *run) firstTokenTimeout(c context.Context) time.Duration {
	d, ok := c.Deadline()
	if !ok {
		return maxFirstTokenTimeout
	}
	return min(max(time.Until(d)/3, minFirstTokenTimeout), maxFirstTokenTimeout)
}

// handleLine passes a line to the splicer. The last result reports whether reading ends.
func (r *run) handleLine(l engine.Line) (outcome, recovery.Interruption, bool) {
	switch r.splice.Accept(l) {
	case splice.Accepted:
		r.mayHaveRun = true
		r.reattaches = 0
		r.recordLine(l)
		r.recordProgress()
		if r.target.endpoint != nil {
			l.Software = r.target.endpoint.Label(fleet.SoftwareLabel)
		}
		r.s.addToken(l.Token, l.Software)
	case splice.Complete:
		return answerComplete, 0, true
	case splice.Halted:
		return interrupted, recovery.Halted, true
	case splice.Gap:
		return interrupted, recovery.Disconnected, true
	}
	return interrupted, 0, false
}

// recordLine counts the tokens that the attempt computed again, and stores on which box the
// prompt's prefix is cached.
func (r *run) recordLine(l engine.Line) {
	if r.target.endpoint != nil {
		r.k.prefixes.Add(engine.PrefixHash(r.s.Workload, r.s.Prompt), r.target.box)
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

// isGone reports whether the endpoint's box was reclaimed, or the peer that carries the stream has
// terminated.
func (r *run) isGone() bool {
	if r.target.endpoint != nil {
		return r.k.isGone(r.target.box)
	}
	m, up := r.k.members.ResolveIncarnation(r.target.incarnation)
	return !up || m.Box != r.target.box
}

// failOver continues the stream at another endpoint. It cancels the interrupted attempt unless that
// is confirmed not to run.
func (r *run) failOver(c context.Context, b recovery.Interruption) (outcome, recovery.Interruption) {
	if b == recovery.Stalled {
		return r.overtake(c)
	}
	if b == recovery.Disconnected {
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
		// No box has accepted the request yet, so it is refused at once.
		r.s.finish(err)
		return runDone, 0
	default:
		return r.awaitEndpoint(c, err)
	}
}

// awaitEndpoint retries until an endpoint is available or the deadline passes, since an accepted
// request must not be refused because no endpoint is available at the moment.
func (r *run) awaitEndpoint(c context.Context, err error) (outcome, recovery.Interruption) {
	clear(r.avoid)
	for c.Err() == nil {
		if r.awaitHandoverFor(c, retryInterval) {
			return moveRequested, 0
		}
		if r.choose(c) == nil {
			return r.generate(c)
		}
	}
	r.logDecision("recover", "no endpoint until the deadline: "+err.Error())
	return interrupted, recovery.Unreachable
}

// cancelAttempt asks the endpoint to stop the attempt without waiting for the result.
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

// stopAttempt asks the endpoint to stop the attempt until the endpoint confirms it, and then reads
// the tokens that were generated before.
func (r *run) stopAttempt(c context.Context) (outcome, recovery.Interruption) {
	if r.target.endpoint == nil {
		return r.awaitPeer(c)
	}
	notListening := 0
	for c.Err() == nil {
		st, handedOver, err := r.cancelOrHandOver(c)
		switch {
		case handedOver:
			return moveRequested, 0
		case err == nil && st.State == engine.NotStarted:
			return interrupted, recovery.NeverSeen
		case err == nil:
			return r.readRemaining(c)
		case errors.Is(err, engine.ErrRestarted):
			return interrupted, recovery.Restarted
		case errors.Is(err, engine.ErrNotListening) && notListening >= recovery.MaxReattaches:
			return interrupted, recovery.Gone
		case errors.Is(err, engine.ErrNotListening):
			notListening++
		case r.isGone():
			return interrupted, recovery.Gone
		}
		if r.awaitHandoverFor(c, retryInterval) {
			return moveRequested, 0
		}
	}
	return interrupted, recovery.Stalled
}

// cancelOrHandOver asks the endpoint to stop the attempt. It returns true as soon as the stream is to be handed over.
func (r *run) cancelOrHandOver(c context.Context) (engine.Cancelled, bool, error) {
	x, stop := context.WithCancel(c)
	defer stop()
	var st engine.Cancelled
	var err error
	done := make(chan struct{})
	p, a := r.executor, r.s.attempt(r.attempt, r.target.incarnation, 0)
	go func() {
		defer close(done)
		st, err = p.Cancel(x, a)
	}()
	if r.awaitHandover(c, done) {
		return engine.Cancelled{}, true, nil
	}
	<-done
	return st, false, err
}

// awaitHandover waits until done is closed. It returns true as soon as the stream is to be handed over to a peer, which
// then finds out how far the attempt came.
func (r *run) awaitHandover(c context.Context, done <-chan struct{}) bool {
	for {
		select {
		case g := <-r.s.moveRequests:
			if g.peer.Address != "" {
				r.pending = g
				return true
			}
		case <-done:
			return false
		case <-c.Done():
			return false
		}
	}
}

// awaitHandoverFor is awaitHandover for a duration.
func (r *run) awaitHandoverFor(c context.Context, d time.Duration) bool {
	x, cancel := context.WithTimeout(c, d)
	defer cancel()
	return r.awaitHandover(c, x.Done())
}

// awaitPeer tries to reattach to a peer that carries the stream until the peer can be reached. The
// peer continues the stream meanwhile. The outcome is unknown if the peer has terminated.
func (r *run) awaitPeer(c context.Context) (outcome, recovery.Interruption) {
	for c.Err() == nil {
		if r.isGone() && !r.followRelay(c) {
			return interrupted, recovery.Gone
		}
		e, b := r.reattach(c)
		if e != interrupted || b != recovery.Disconnected && b != recovery.Stalled {
			return e, b
		}
		if r.awaitHandoverFor(c, retryInterval) {
			return moveRequested, 0
		}
	}
	return interrupted, recovery.Stalled
}

// readRemaining reads the tokens left of a stopped attempt, up to its end mark.
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
