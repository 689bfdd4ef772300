package forward

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/throttle"
)

// permitsFor is for how long one attempt asks for permits of endpoints that take a bounded rate;
// afterwards it goes to one that takes any, or to none.
const permitsFor = 50 * time.Millisecond

// Permit asks whether one more request may be sent to an endpoint that takes a bounded rate from
// all boxes together.
type Permit func(c context.Context, q throttle.Question) throttle.Answer

// permits is what one choice of an endpoint has asked for.
type permits struct {
	began   time.Time
	refused bool          // some were
	first   time.Duration // when the first of those is worth another try
}

// over reports whether enough has been asked.
func (p *permits) over() bool { return p.refused && boottime.Since(p.began) > permitsFor }

// permit reports whether the request may be sent to an endpoint. A rate holds for all boxes
// together, so that no box can tell by itself: each attempt takes its permit from an arbiter. An
// endpoint whose rate is used up is not chosen by this box until there is more.
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

// may reports whether the request may still be sent to the endpoint for which it was permitted:
// one may have named a limit, or asked for rest, while a connection was made.
func (r *run) may(e endpoint.Endpoint) bool {
	now := boottime.Now()
	a := &r.f.Book.Availability
	return r.f.serves(e) && !a.IsBackingOff(e.Incarnation(), now) && (r.permitted || !a.IsRateLimited(e.Incarnation(), now))
}
