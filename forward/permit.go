package forward

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/throttle"
)

// permitsFor is the time for which one attempt asks for permits of rate-limited endpoints. After it
// only endpoints without a limit are chosen.
const permitsFor = 50 * time.Millisecond

// Permit asks for permission to send one request to an endpoint that limits the request rate of all
// boxes together.
type Permit func(c context.Context, q throttle.Question) throttle.Answer

// permits is the state of the permit requests of one choice of an endpoint.
type permits struct {
	began   time.Time
	refused bool          // at least one permit was refused
	first   time.Duration // shortest retry time of the refusals
}

// over reports whether no more permits should be requested.
func (p *permits) over() bool { return p.refused && boottime.Since(p.began) > permitsFor }

// permit reports whether the request may be sent to an endpoint. A rate limit applies to all boxes
// together, so each attempt gets a permit from an arbiter. This box skips an endpoint whose rate is
// used up until the rate allows another request.
func (r *run) permit(c context.Context, p *permits, e endpoint.Endpoint) bool {
	now := boottime.Now()
	available := &r.f.Book.Availability
	l, age := available.Rates.Limit(e.Incarnation(), now)
	r.permitted = l.Named
	if !l.Named {
		return true
	}
	a := r.f.Permit(c, throttle.Question{Endpoint: e.Incarnation(), PerSecond: l.PerSecond, Age: age})
	if a.OK {
		return true
	}
	available.SkipFor(e.Incarnation(), l.PerSecond, a.After, boottime.Now())
	if !p.refused || a.After < p.first {
		p.refused, p.first = true, a.After
	}
	metrics.GetOrRegisterCounter("permits.refused", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "permit").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Int64("born", e.Born).Float64("per_second", l.PerSecond).
		Dur("age", age).Float64("part", a.Part).Dur("after", a.After).Msg("the endpoint's rate is used up; another is chosen")
	return false
}

// may reports whether the request may still be sent to the chosen endpoint. The endpoint may have
// set a limit or requested a back-off while the connection was established.
func (r *run) may(e endpoint.Endpoint) bool {
	now := boottime.Now()
	a := &r.f.Book.Availability
	return r.f.serves(e) && !a.IsBackingOff(e.Incarnation(), now) && (r.permitted || !a.IsRateLimited(e.Incarnation(), now))
}
