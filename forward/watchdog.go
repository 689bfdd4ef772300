package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
)

// errUnresponsive reports that an attempt was cancelled because its endpoint was unresponsive and another one answers.
var errUnresponsive = errors.New("the endpoint is silent")

// A successor of an attempt is started if neither it nor any other call of its endpoint has received anything for the
// time maxSilence. Otherwise a stream at an unreachable endpoint would hang until its caller gives up. Before the first
// event of a call the time is longer by expectedFactor times the expected time to the first event: on a simulated day without
// failures, all 8 endpoints that seemed unresponsive were prefilling long prompts, which took up to three times the
// expected time.
const (
	maxSilence     = 1200 * time.Millisecond
	expectedFactor = 2.0
	watchInterval  = 200 * time.Millisecond

	// checkFraction is the part of the allowed silence, a third, after which the link is checked.
	checkFraction = 3

	// successorInterval is the time until another successor may be started after one could not be, or has failed.
	successorInterval = 600 * time.Millisecond
)

// objectiveFactor is the time that a repeatable call of a plain service may take at one endpoint
// before a successor is started, as a multiple of the route's latency objective. Without an objective it is half of the
// time left.
const objectiveFactor = 1.0

// watchdog starts a successor of an attempt whose endpoint is unresponsive, and decides which of the two goes on: the
// one that first receives something. Silence alone never ends an attempt, since its endpoint may still be running the
// request. Requests that must not run twice have no successors.
type watchdog struct {
	r      *run
	c      context.Context // of the request
	cancel context.CancelCauseFunc
	choice balance.Choice

	mu             sync.Mutex
	lastEventAt    time.Time     // of the last event; on the monotonic clock, which stops while the box is suspended
	allowedSilence time.Duration // the time allowed until the next event
	retryAt        time.Time     // when the next successor may be started
	timer          *time.Timer
	stopped        bool
	held           bool    // the request must not be sent elsewhere
	passing        bool    // an event is being passed to the caller, who may be slow
	expired        bool    // the endpoint's silence is known to last, for example because the link is lost
	credit         *credit // for a successor; nil if there is none
	superseded     bool    // the successor goes on instead of the attempt
	successor      *successor
	successors     []*successor // all that were started
}

// startWatchdog starts the watchdog of an attempt at the chosen endpoint.
func (r *run) startWatchdog(c context.Context, cancel context.CancelCauseFunc, ch balance.Choice) *watchdog {
	w := &watchdog{
		r: r, c: c, cancel: cancel, choice: ch,
		lastEventAt: time.Now(), allowedSilence: maxSilence + time.Duration(expectedFactor*float64(ch.Expected)),
	}
	if r.continued != nil && r.continued.mayBeWhole {
		w.allowedSilence = maxSilence // nothing is prefilled, and the caller may wait for the end only
	}
	if !r.q.Route.Repeatable() {
		return w
	}
	interval := watchInterval
	if !r.isStream() {
		interval = time.Duration(objectiveFactor * float64(r.q.Route.LatencyObjective))
		if interval <= 0 {
			interval = boottime.Until(r.q.Expires) / 2
		}
		w.allowedSilence = interval
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(interval, w.check)
	return w
}

// check starts a successor if the endpoint has been unresponsive for too long.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(watchInterval)
	if w.passing {
		return
	}
	e := w.choice.Endpoint
	silence, unresponsive := time.Since(w.lastEventAt), w.r.f.Balancer.UnresponsiveFor(e.ID, boottime.Now())
	if w.r.isStream() && silence > w.allowedSilence/checkFraction {
		w.r.f.Pool.CheckLink(e.ID, e.Address, boottime.Now().Add(-silence))
	}
	if w.held || w.successor != nil {
		return
	}
	isSilent := silence >= w.allowedSilence && (unresponsive > w.allowedSilence || !w.r.isStream())
	if (isSilent || w.expired) && !time.Now().Before(w.retryAt) {
		w.startSuccessor(silence, unresponsive)
	}
}

// startSuccessor starts a successor unless no other endpoint may get the request. The lock must be held.
func (w *watchdog) startSuccessor(silence, unresponsive time.Duration) {
	w.retryAt = time.Now().Add(successorInterval)
	if w.r.isStream() && !w.r.f.Pool.IsLost(w.choice.Endpoint.ID) {
		w.r.f.Balancer.Avoid(w.choice.Endpoint, boottime.Now())
	}
	s, obstacle := w.newSuccessor()
	w.r.logSilence(w.allowedSilence, silence, unresponsive, w.choice.Endpoint, obstacle)
	if obstacle != "" {
		return
	}
	w.successor = s
	w.successors = append(w.successors, s)
	go s.run(w)
}

// beginEvent records that something arrived, which ends a successor that has received nothing. It returns false if the
// successor goes on instead of the attempt. Otherwise no successor is started before endEvent is called.
func (w *watchdog) beginEvent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.superseded {
		return false
	}
	w.endSuccessor()
	w.passing = true
	return true
}

// hasSuccessor reports whether a successor is under way.
func (w *watchdog) hasSuccessor() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.successor != nil
}

// endEvent records that an event was passed to the caller.
func (w *watchdog) endEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing, w.expired, w.lastEventAt, w.allowedSilence = false, false, time.Now(), maxSilence
}

// endSuccessor cancels the successor. The lock must be held.
func (w *watchdog) endSuccessor() {
	if w.successor != nil {
		w.successor.cancel()
		w.successor = nil
	}
}

// supersede makes a successor that has received something go on instead of the attempt. It returns false if the attempt
// has received something meanwhile.
func (w *watchdog) supersede(s *successor) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successor != s {
		return false
	}
	if !w.superseded {
		w.superseded = true
		w.cancel(errUnresponsive)
	}
	return true
}

// detach removes a successor that has ended without superseding the attempt.
func (w *watchdog) detach(s *successor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successor == s && !w.superseded {
		w.successor = nil
	}
}

// isSupersededBy reports whether a successor goes on instead of the attempt.
func (w *watchdog) isSupersededBy(s *successor) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.superseded && w.successor == s
}

// isSuperseded reports whether any successor goes on instead of the attempt.
func (w *watchdog) isSuperseded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.superseded
}

// expire makes the watchdog start a successor without waiting any longer. The credit pays for it, and is nil if there is none
// yet.
func (w *watchdog) expire(k *credit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped {
		return
	}
	w.expired = true
	if k != nil {
		w.credit = k
	}
	w.timer.Reset(0)
}

// started returns the successors that were started.
func (w *watchdog) started() []*successor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.successors)
}

// hold sets whether the request must not be sent elsewhere: its endpoint may have been told to stop the run, and
// whether it did is not known yet.
func (w *watchdog) hold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held && !on {
		w.lastEventAt = time.Now()
	}
	if w.held = on; on && !w.superseded {
		w.endSuccessor()
	}
}

// stop ends the watchdog, and returns the successors that were started. The last of them may still be under way.
func (w *watchdog) stop() []*successor {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.successors
}

// logSilence logs and counts that an endpoint has sent nothing for longer than allowed. Silence is the time since the
// last event of the attempt, and unresponsive that since anything came from the endpoint. The obstacle is why no successor
// is started, if none is.
func (r *run) logSilence(allowed, silence, unresponsive time.Duration, e endpoint.Endpoint, obstacle string) {
	metrics.GetOrRegisterCounter("attempts.silent", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "silence").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Str("version", e.Version).Str("last_event", r.lastID()).
		Dur("silence", silence).Dur("allowed", allowed).Dur("endpoint_silence", unresponsive).
		Int("attempts", len(r.reached)+1).Int("max_attempts", r.maxAttempts()).Str("obstacle", obstacle).
		Bool("link_lost", r.f.Pool.IsLost(e.ID)).Msg("the endpoint has sent nothing for longer than expected")
}
