package forward

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/throttle"
)

// permitTimeout is the time for which one attempt asks for permits of rate-limited endpoints.
// After it only endpoints without a limit are chosen.
const permitTimeout = 50 * time.Millisecond

// PermitFunc asks for permission to send one request to an endpoint that limits the request rate
// of all boxes together.
type PermitFunc func(c context.Context, q throttle.Question) throttle.Answer

// permitState is the state of the permit requests of one choice of an endpoint.
type permitState struct {
	started    time.Time
	refused    bool          // at least one permit was refused
	retryAfter time.Duration // shortest retry time of the refusals

	full       map[string]bool // incarnations that have no place now
	placeAfter time.Duration   // shortest time until one of them may have one
}

// isTimedOut reports whether no more permits should be requested.
func (p *permitState) isTimedOut() bool {
	return p.refused && boottime.Since(p.started) > permitTimeout
}

// acquirePermit reports whether the request may be sent to an endpoint. A rate limit applies to
// all boxes together, so each attempt gets a permit from an arbiter. This box skips an endpoint
// whose rate is used up until the rate allows another request.
func (r *run) acquirePermit(c context.Context, p *permitState, e endpoint.Endpoint) bool {
	now := boottime.Now()
	available := &r.f.Balancer.Availability
	l, age := available.Rates.Limit(e.Incarnation(), now)
	r.hasPermit = l.Limited
	if !l.Limited {
		return true
	}
	a := r.f.RequestPermit(c, throttle.Question{Endpoint: e.Incarnation(), PerSecond: l.PerSecond, Age: age})
	if a.OK {
		return true
	}
	available.SkipFor(e.Incarnation(), l.PerSecond, a.After, boottime.Now())
	if !p.refused || a.After < p.retryAfter {
		p.refused, p.retryAfter = true, a.After
	}
	metrics.GetOrRegisterCounter("permits.refused", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "permit").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Int64("born", e.StartMillis).Float64("per_second", l.PerSecond).
		Dur("age", age).Float64("part", a.Part).Dur("after", a.After).Msg("the endpoint's rate is used up; another is chosen")
	return false
}

// maySend reports whether the request may still be sent to the chosen endpoint. The endpoint may
// have set a limit or requested a back-off while the connection was established, or others may have crashed under the
// request's items.
func (r *run) maySend(e endpoint.Endpoint) bool { return r.f.isServing(e) && r.isAdmitted(e) }

// isAdmitted is maySend for an endpoint that serves or drains.
func (r *run) isAdmitted(e endpoint.Endpoint) bool {
	now := boottime.Now()
	a := &r.f.Balancer.Availability
	if a.IsBackingOff(e.Incarnation(), now) || !r.hasPermit && a.IsRateLimited(e.Incarnation(), now) {
		return false
	}
	return r.f.Quarantine.Admit(r.quarantineAttempt(e), r.f.versionsFunc(e.Service), now)
}
