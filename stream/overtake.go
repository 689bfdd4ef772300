package stream

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/splice"
	"birchlink.dev/birchlink/wait"
)

// placement is an attempt with the target that runs it.
type placement struct {
	attempt  int
	target   target
	executor executor
}

func (r *run) placement() placement { return placement{r.attempt, r.target, r.executor} }

// place makes an attempt the current one.
func (r *run) place(p placement) {
	r.attempt, r.target, r.executor = p.attempt, p.target, p.executor
	r.splice.StartAttempt(p.attempt)
	r.s.update(func() { r.s.stats.Box = p.target.box })
}

// cancelPlaced asks the endpoint of an attempt to stop it without waiting for the result.
func (r *run) cancelPlaced(p placement) {
	now := r.placement()
	r.attempt, r.target, r.executor = p.attempt, p.target, p.executor
	r.cancelAttempt()
	r.attempt, r.target, r.executor = now.attempt, now.target, now.executor
}

// overtake starts another attempt beside the current one, whose endpoint is silent. The stream goes on with the
// attempt that sends the next token first, and the other is cancelled. If the new attempt ends before, or is silent too,
// the stream keeps the old one.
func (r *run) overtake(c context.Context) (outcome, recovery.Interruption) {
	silent := r.placement()
	if !r.chooseOther(c) {
		return r.reattach(c)
	}
	x, stopOld := context.WithCancel(c)
	defer stopOld()
	old := r.followSilent(x, silent)
	r.startAttempt()
	next := r.placement()
	y, stopNext := context.WithCancel(c)
	defer stopNext()
	lines, opened := r.follow(y, r.openNew())
	t := time.NewTimer(r.firstTokenTimeout(c))
	defer t.Stop()
	for {
		select {
		case n, ok := <-old:
			if r.goesOn(silent, n) {
				stopNext()
				r.cancelAttempt()
				r.place(silent)
				return r.readFrom(c, n, old)
			}
			if r.endsAttempt(silent, n, ok) {
				// Only the new attempt is left.
				r.cancelPlaced(silent)
				stopOld()
				return r.readFollowed(c, lines, opened, false)
			}
		case n, ok := <-lines:
			if r.goesOn(next, n) {
				stopOld()
				r.cancelPlaced(silent)
				return r.readFrom(c, n, lines)
			}
			if r.endsAttempt(next, n, ok) {
				return r.keep(c, silent, r.classifyNext(ok, opened))
			}
		case <-t.C:
			return r.keep(c, silent, recovery.Stalled)
		case g := <-r.s.moveRequests:
			if !g.concerns(silent.target.box) {
				continue
			}
			r.cancelAttempt()
			r.place(silent)
			r.pending = g
			return moveRequested, 0
		case <-c.Done():
			r.cancelAttempt()
			r.place(silent)
			return interrupted, recovery.Stalled
		}
	}
}

// chooseOther chooses the target of an attempt beside the current one. This is the same endpoint, which may serve other
// attempts, if there is no other and none has failed.
func (r *run) chooseOther(c context.Context) bool {
	r.avoid[r.target.box] = true
	if r.choose(c) == nil {
		return true
	}
	alone := len(r.avoid) == 1
	clear(r.avoid)
	return alone && r.choose(c) == nil
}

// keep returns to a silent attempt after the one beside it ended.
func (r *run) keep(c context.Context, silent placement, b recovery.Interruption) (outcome, recovery.Interruption) {
	if b == recovery.Disconnected {
		r.recordFailure(c)
	}
	if b == recovery.Disconnected || b == recovery.Stalled {
		r.cancelAttempt()
	}
	r.logDecision("recover", "the attempt beside the silent one ended: "+b.String())
	r.avoid[r.target.box] = true
	r.place(silent)
	return interrupted, recovery.Stalled
}

// goesOn reports whether a line of an attempt continues the stream.
func (r *run) goesOn(p placement, n engine.Line) bool {
	v := r.verdict(p, n)
	return v == splice.Accepted || v == splice.Complete
}

// endsAttempt reports whether a line shows that an attempt has ended early or cannot continue the stream, or there is none.
func (r *run) endsAttempt(p placement, n engine.Line, ok bool) bool {
	v := r.verdict(p, n)
	return !ok || v == splice.Halted || v == splice.Gap
}

func (r *run) verdict(p placement, n engine.Line) splice.Verdict {
	s := r.splice
	s.StartAttempt(p.attempt)
	return s.Accept(n)
}

// classifyNext returns how a new attempt ended that sent no token: by a line, or else as its stream did.
func (r *run) classifyNext(byLine bool, opened <-chan error) recovery.Interruption {
	if byLine {
		return recovery.Disconnected
	}
	return r.classifyEnd(opened, false)
}

// readFrom handles a line and then reads the lines that follow.
func (r *run) readFrom(c context.Context, n engine.Line, lines <-chan engine.Line) (outcome, recovery.Interruption) {
	if e, b, ended := r.handleLine(n); ended {
		return e, b
	}
	return r.readLines(c, lines, nextTokenTimeout)
}

// followSilent sends the lines of an attempt from the next token on. It opens the stream again until there is one, the
// attempt is known to have ended, or the context ends.
func (r *run) followSilent(c context.Context, p placement) <-chan engine.Line {
	out := make(chan engine.Line, lineBufferSize)
	a := r.s.attempt(p.attempt, p.target.incarnation, r.splice.Next)
	done := r.k.trackInFlight(p.target)
	go func() {
		defer close(out)
		defer done()
		for sent := false; !sent && c.Err() == nil; {
			l, err := p.executor.Resume(c, a)
			if errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrRestarted) || errors.Is(err, engine.ErrNotListening) {
				return
			}
			if err == nil {
				sent = sendLines(c, l, out)
			}
			if !sent {
				wait.For(c, retryInterval)
			}
		}
	}()
	return out
}
