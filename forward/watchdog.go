package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
)

// errUnresponsive reports that an attempt was cancelled because its endpoint was unresponsive.
var errUnresponsive = errors.New("the endpoint is silent")

// An attempt is cancelled if neither it nor any other call of its endpoint has received anything
// for the time maxSilence. Otherwise a stream at an unreachable endpoint would hang until its
// caller gives up; without unreachable endpoints the watchdog gains nothing. Before the first event
// of a call the time is longer by expectedFactor times the expected time to the first event: on a
// simulated day without failures, all 8 endpoints that seemed unresponsive were prefilling long
// prompts, which took up to three times the expected time.
const (
	maxSilence     = 1200 * time.Millisecond
	expectedFactor = 2.0
	watchInterval  = 200 * time.Millisecond

	// checkFraction is the part of the allowed silence, a third, after which the link is checked.
	checkFraction = 3
)

// objectiveFactor is the time that a repeatable call of a plain service may take at one endpoint
// before another is tried, as a multiple of the route's latency objective.
const objectiveFactor = 1.0

// watchdog cancels an attempt whose endpoint is unresponsive. Requests that must not run twice
// are not cancelled, since the endpoint may still be running them.
type watchdog struct {
	mu             sync.Mutex
	lastEventAt    time.Time     // of the last event; on the monotonic clock, which stops while the box is suspended
	allowedSilence time.Duration // the time allowed until the next event
	timer          *time.Timer
	stopped        bool
	held           bool // the attempt must not be cancelled
}

// startWatchdog starts the watchdog of an attempt at the chosen endpoint.
func (r *run) startWatchdog(cancel context.CancelCauseFunc, ch balance.Choice) *watchdog {
	e := ch.Endpoint
	w := &watchdog{lastEventAt: time.Now(), allowedSilence: maxSilence + time.Duration(expectedFactor*float64(ch.Expected))}
	if !r.q.Route.Repeatable() {
		return w
	}
	if !r.isStream() {
		if r.countAttempts()+1 < r.maxAttempts() && r.q.Route.LatencyObjective > 0 {
			d := time.Duration(objectiveFactor * float64(r.q.Route.LatencyObjective))
			w.timer = time.AfterFunc(d, func() { cancel(errUnresponsive) })
		}
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.stopped {
			return
		}
		silence := time.Since(w.lastEventAt)
		unresponsive := r.f.Balancer.UnresponsiveFor(e.ID, boottime.Now())
		if !w.held && silence > w.allowedSilence && unresponsive > w.allowedSilence {
			r.logSilence(w.allowedSilence, silence, unresponsive, e)
			if !r.f.Pool.IsLost(e.ID) {
				r.f.Balancer.Avoid(e, boottime.Now())
			}
			cancel(errUnresponsive)
			return
		}
		if silence > w.allowedSilence/checkFraction {
			r.f.Pool.CheckLink(e.ID, e.Address, boottime.Now().Add(-silence))
		}
		w.timer.Reset(watchInterval)
	})
	return w
}

// recordEvent records an event.
func (w *watchdog) recordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventAt, w.allowedSilence = time.Now(), maxSilence
}

// hold sets whether the attempt must not be cancelled: its endpoint may have been told to stop the run,
// and the request must not be sent elsewhere until that is known.
func (w *watchdog) hold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held && !on {
		w.lastEventAt = time.Now()
	}
	w.held = on
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// logSilence logs and counts that an endpoint has sent nothing for longer than allowed. Silence is the time since the
// last event of the attempt, and unresponsive that since anything came from the endpoint.
func (r *run) logSilence(allowed, silence, unresponsive time.Duration, e endpoint.Endpoint) {
	metrics.GetOrRegisterCounter("attempts.silent", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "silence").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Str("version", e.Version).Str("last_event", r.lastEventID).
		Dur("silence", silence).Dur("allowed", allowed).Dur("endpoint_silence", unresponsive).
		Int("attempts", len(r.reached)+1).Int("max_attempts", r.maxAttempts()).
		Int("serving", len(r.f.Roster.Serving(r.q.Service.Name))).Bool("link_lost", r.f.Pool.IsLost(e.ID)).Msg("the endpoint has sent nothing for longer than expected")
}
