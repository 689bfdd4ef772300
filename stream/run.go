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
	stallFirst = 10 * time.Second
	stallLeast = 2 * time.Second
	stallNext  = 2 * time.Second
	reattachIn = 50 * time.Millisecond
	stopEvery  = 250 * time.Millisecond
	settleIn   = 2 * time.Second
)

// end is how a pump of lines ended.
type end int

const (
	broken end = iota // recovery decides
	whole             // the answer is whole
	moving            // the stream leaves its endpoint
	handed            // nothing is left to do here
)

// signal tells a run to leave the endpoint on a box, or to go to the peer at an
// address.
type signal struct {
	box  string
	move reclaim.Move
	peer member.Member
}

// run is one stream on its way through its attempts.
type run struct {
	k       *Keeper
	s       *Stream
	splice  splice.Splicer
	place   place
	target  target
	attempt int
	tries   int
	ran     bool
	shared  bool
	kv      string
	prefer  string
	avoid   map[string]bool
	signal  signal
	content content.Hash // what the stream asks for
}

// target is the endpoint, or the peer in another data centre, of an attempt.
type target struct {
	box         string
	incarnation string
	address     string
	slot        *view.EndpointState
}

func newRun(k *Keeper, s *Stream) *run {
	return &run{
		k: k, s: s, avoid: map[string]bool{}, content: s.content(),
		splice: splice.Splicer{RequestID: s.ID, MaxTokens: s.MaxTokens, Next: s.Len()},
	}
}

// begin chooses an endpoint and drives the stream to its end.
func (r *run) begin(c context.Context) {
	if err := r.choose(c); err != nil {
		r.s.finish(err)
		return
	}
	e, b := r.generate(c)
	r.drive(c, e, b)
}

// drive goes on from the end of a pump until the stream is finished.
func (r *run) drive(c context.Context, e end, b recovery.Break) {
	for {
		switch e {
		case whole:
			r.k.suspects.RecordAnswer(r.content)
			r.s.finish(nil)
			return
		case handed:
			return
		case moving:
			e, b = r.leave(c)
			continue
		}
		d := r.decide(c, b)
		switch d.Step {
		case recovery.Reattach:
			r.tries++
			wait.For(c, reattachIn<<r.tries)
			e, b = r.reattach(c)
		case recovery.Stop:
			e, b = r.stop(c)
		case recovery.Elsewhere:
			e, b = r.elsewhere(c, b)
		default:
			r.abandon()
			r.s.finish(errkind.New(d.Kind, "%s", d.Reason))
			return
		}
	}
}

// decide asks recovery, and notes what it says.
func (r *run) decide(c context.Context, b recovery.Break) recovery.Decision {
	if b == recovery.Cut && r.target.slot != nil && c.Err() == nil {
		r.k.suspects.RecordFailure(c, r.content, r.target.slot.ProcessID(), r.target.address)
	}
	if b != recovery.Refused && b != recovery.Unreachable && b != recovery.NeverSeen {
		r.ran = true
	}
	st := recovery.State{
		Break: b, Repeatable: r.s.Repeatable, Tries: r.tries, Attempts: r.attempt, Ran: r.ran,
		Expired: c.Err() != nil, Budget: true,
	}
	d := recovery.Decide(st)
	if d.Step == recovery.Elsewhere && b != recovery.Halted {
		st.Budget = r.k.retry(r.s.Account)
		d = recovery.Decide(st)
	}
	if r.shared && d.Step != recovery.Reattach {
		d = recovery.Decision{Step: recovery.Fail, Kind: errkind.OutcomeUnknown, Reason: "a peer may have taken the stream over"}
	}
	r.note("recover", d.Reason)
	return d
}

func (r *run) note(event, reason string) {
	r.k.decisions.Record(decisions.Decision{
		Subject: r.s.ID, Event: event, Choice: r.target.box, Reason: reason, Attempt: r.attempt, Workload: r.s.Workload,
	})
}

// generate begins a new attempt at the target.
func (r *run) generate(c context.Context) (end, recovery.Break) {
	r.attempt++
	r.tries = 0
	r.splice.StartAttempt(r.attempt)
	r.s.set(func() { r.s.stats.Attempts, r.s.stats.Box = r.attempt, r.target.box })
	p, _ := r.s.Kind.Priority()
	q := engine.Request{
		RequestID: r.s.ID, Attempt: r.attempt, Incarnation: r.target.incarnation, Model: r.s.Workload,
		Prompt: r.s.Prompt, From: r.splice.Next, MaxTokens: r.s.MaxTokens, Priority: p, KV: r.kv,
	}
	r.kv = ""
	return r.follow(c, func(x context.Context) (lines, error) { return r.place.Generate(x, q) }, false)
}

// reattach reads on from the attempt that there is.
func (r *run) reattach(c context.Context) (end, recovery.Break) {
	return r.follow(c, func(x context.Context) (lines, error) {
		return r.place.Resume(x, r.s.attempt(r.attempt, r.target.incarnation, r.splice.Next))
	}, true)
}

// follow opens a stream of lines and reads it until it ends in some way.
func (r *run) follow(c context.Context, open func(context.Context) (lines, error), resumed bool) (end, recovery.Break) {
	done := r.k.count(r.target)
	defer done()
	x, cancel := context.WithCancel(c)
	defer cancel()
	l, late, err := r.open(x, cancel, open)
	if late {
		return broken, recovery.Stalled
	}
	if err != nil {
		r.noteRest(err)
		return broken, breakOf(err, resumed)
	}
	ch := pump(x, l)
	t := time.NewTimer(r.patience(c))
	defer t.Stop()
	for {
		select {
		case n, ok := <-ch:
			if !ok {
				return broken, r.cutOrGone()
			}
			if e, b, ended := r.take(n); ended {
				return e, b
			}
			if r.splice.Next > 0 {
				t.Reset(stallNext)
			}
		case <-t.C:
			return broken, recovery.Stalled
		case g := <-r.s.signals:
			if g.peer.Address != "" || g.box == r.target.box {
				r.signal = g
				return moving, 0
			}
		case <-c.Done():
			return broken, recovery.Stalled
		}
	}
}

// noteRest keeps for how long an engine that refused wants nothing: it has the most free slots,
// and would get every stream.
func (r *run) noteRest(err error) {
	var e *engine.RestError
	if r.target.slot != nil && errors.As(err, &e) {
		r.k.view.BackOffs.Extend(r.target.slot.ProcessID(), e.For, boottime.Now())
	}
}

// open bounds how long an endpoint may take to answer at all, and reports
// whether it took longer.
func (r *run) open(x context.Context, cancel context.CancelFunc, open func(context.Context) (lines, error)) (l lines, late bool, err error) {
	t := time.AfterFunc(r.patience(x), cancel)
	l, err = open(x)
	if t.Stop() {
		return l, false, err
	}
	if l != nil {
		_ = l.Close()
	}
	return nil, true, err
}

// patience is how long a run waits for its first token: a third of the time
// that its caller has left, within bounds.
func (r *run) patience(c context.Context) time.Duration {
	d, ok := c.Deadline()
	if !ok {
		return stallFirst
	}
	return min(max(time.Until(d)/3, stallLeast), stallFirst)
}

// take gives a line to the splicer. The last result says that the pump ends.
func (r *run) take(l engine.Line) (end, recovery.Break, bool) {
	switch r.splice.Accept(l) {
	case splice.Accepted:
		r.ran = true
		r.tries = 0
		r.account(l)
		r.s.add(l.Token)
	case splice.Complete:
		return whole, 0, true
	case splice.Halted:
		return broken, recovery.Halted, true
	case splice.Gap:
		return broken, recovery.Cut, true
	}
	return broken, 0, false
}

// account adds what the attempt computed again, and learns where the prompt's
// prefix is cached.
func (r *run) account(l engine.Line) {
	if r.target.slot != nil {
		r.k.prefixes.Add(engine.Prefix(r.s.Workload, r.s.Prompt), r.target.box)
	}
	if r.attempt > 1 && l.Prefill > 0 {
		r.s.set(func() { r.s.stats.Recomputed += l.Prefill })
		r.k.recomputed.Inc(int64(l.Prefill))
	}
}

func (r *run) cutOrGone() recovery.Break {
	if r.gone() {
		return recovery.Gone
	}
	return recovery.Cut
}

// gone reports whether the endpoint's box was taken, or the peer that carries
// the stream has ended.
func (r *run) gone() bool {
	if r.target.slot != nil {
		return r.k.gone(r.target.box)
	}
	m, up := r.k.members.ResolveIncarnation(r.target.incarnation)
	return !up || m.Box != r.target.box
}

// elsewhere goes on at another endpoint. The attempt that broke is told to
// stop, where that was not confirmed.
func (r *run) elsewhere(c context.Context, b recovery.Break) (end, recovery.Break) {
	if b == recovery.Cut || b == recovery.Stalled {
		r.abandon()
	}
	r.avoid[r.target.box] = true
	err := r.choose(c)
	switch {
	case err == nil:
		return r.generate(c)
	case errkind.Is(err, errkind.Quarantined):
		if r.ran {
			err = errkind.New(errkind.EngineFailed, "%w", err)
		}
		r.s.finish(err)
		return handed, 0
	case r.s.abroad && !r.ran:
		// Nobody accepted it, so it is refused at once.
		r.s.finish(err)
		return handed, 0
	default:
		return r.noChoice(c, err)
	}
}

// noChoice waits a little for an endpoint, since the request was accepted.
func (r *run) noChoice(c context.Context, err error) (end, recovery.Break) {
	clear(r.avoid)
	for c.Err() == nil {
		wait.For(c, stopEvery)
		if r.choose(c) == nil {
			return r.generate(c)
		}
	}
	r.note("recover", "no endpoint until the deadline: "+err.Error())
	return broken, recovery.Unreachable
}

// abandon asks the endpoint to stop the attempt and does not wait for it.
func (r *run) abandon() {
	p, a := r.place, r.s.attempt(r.attempt, r.target.incarnation, 0)
	if p == nil {
		return
	}
	r.k.group.Go(func() {
		c, cancel := context.WithTimeout(context.Background(), settleIn)
		defer cancel()
		_, _ = p.Cancel(c, a)
	})
}

// stop asks the endpoint to stop the attempt until it confirms, and takes the
// tokens that came before.
func (r *run) stop(c context.Context) (end, recovery.Break) {
	if r.target.slot == nil {
		return r.readOn(c)
	}
	ended := 0
	for c.Err() == nil {
		st, err := r.place.Cancel(c, r.s.attempt(r.attempt, r.target.incarnation, 0))
		switch {
		case err == nil && st.State == engine.NotStarted:
			return broken, recovery.NeverSeen
		case err == nil:
			return r.rest(c)
		case errors.Is(err, engine.ErrRestarted):
			return broken, recovery.Restarted
		case errors.Is(err, engine.ErrEnded) && ended >= recovery.MaxTries:
			return broken, recovery.Gone
		case errors.Is(err, engine.ErrEnded):
			ended++
		case r.gone():
			return broken, recovery.Gone
		}
		wait.For(c, stopEvery)
	}
	return broken, recovery.Stalled
}

// readOn waits for a peer that carries the stream to be reached again: it goes
// on with it meanwhile. A peer that has ended leaves the outcome unknown.
func (r *run) readOn(c context.Context) (end, recovery.Break) {
	for c.Err() == nil {
		if r.gone() {
			return broken, recovery.Gone
		}
		e, b := r.reattach(c)
		if e != broken || b != recovery.Cut && b != recovery.Stalled {
			return e, b
		}
		wait.For(c, stopEvery)
	}
	return broken, recovery.Stalled
}

// rest reads what a stopped attempt still has, up to its end mark.
func (r *run) rest(c context.Context) (end, recovery.Break) {
	for range recovery.MaxTries {
		e, b := r.reattach(c)
		if e != broken || b != recovery.Cut && b != recovery.Stalled {
			return e, b
		}
		wait.For(c, reattachIn)
	}
	return broken, recovery.Restarted
}
