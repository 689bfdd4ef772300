package forward

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/termination"
	"birchlink.dev/birchlink/wait"
)

const (
	// A request that has no attempts left waits for the end of a process that may have ended, for maxTerminationWait and the part
	// terminationWaitFraction, a quarter, of the time that it has left at most: other boxes, and this one, take a moment to notice
	// that their connections are closed, and the notice of an end may arrive late.
	maxTerminationWait      = time.Second
	terminationWaitFraction = 4
	terminationPollInterval = 50 * time.Millisecond
)

// hasEnded reports without I/O whether the process of an endpoint was found to have ended.
func (f *Forwarder) hasEnded(e endpoint.Endpoint) bool {
	return f.Terminations != nil && f.Terminations.HasEnded(e.Incarnation())
}

// awaitTermination looks for attempts that count although their processes have ended, and waits for a moment if that is not
// clear. It reports whether the request has attempts left then.
func (r *run) awaitTermination(c context.Context) bool {
	began := boottime.Now()
	limit := min(maxTerminationWait, boottime.Until(r.q.Expires)/terminationWaitFraction)
	for {
		f, e := r.f.checkTerminations(c, r.reached)
		hasLeft, waited := r.attemptsUsed() < r.maxAttempts(), boottime.Since(began)
		if !hasLeft && f.Verdict == termination.Unclear && c.Err() == nil && waited < limit {
			wait.For(c, terminationPollInterval)
			continue
		}
		if f.Reason != "" {
			r.f.Log.Info().Str("event", "attempts used").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Stringer("process", f.Verdict).
				Str("seen", string(f.Reason)).Dur("waited", waited).Bool("left", hasLeft).Msg("decision")
		}
		return hasLeft
	}
}

// checkTerminations checks the processes at which a request has been and that are not known to have ended. It returns the
// finding on one that has or, if none has, may have, and the endpoint. The finding has no reason if there are none.
func (f *Forwarder) checkTerminations(c context.Context, reached []reachedEndpoint) (best termination.Finding, at endpoint.Endpoint) {
	if f.Terminations == nil {
		return best, at
	}
	for _, s := range reached {
		if s.answered || f.hasEnded(s.endpoint) {
			continue
		}
		if n := f.Terminations.Check(c, s.endpoint); best.Reason == "" || n.Verdict > best.Verdict {
			best, at = n, s.endpoint
		}
		if best.Verdict == termination.Ended {
			break
		}
	}
	return best, at
}

// retryOnceEnded makes the watchdog try to start a successor at once if one of the processes at which its request has been has
// ended.
func (w *watchdog) retryOnceEnded(reached []reachedEndpoint) {
	if f, _ := w.r.f.checkTerminations(w.c, reached); f.Verdict != termination.Ended {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.retryAt = time.Time{}
		w.timer.Reset(0)
	}
}
