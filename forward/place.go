package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/shutdown"
)

// PlaceFunc asks for a place at an endpoint that fails if it refuses too many requests of all boxes
// together. If the answer is OK, the function returned must be called when the request has ended there.
type PlaceFunc func(c context.Context, q occupancy.Question) (occupancy.Answer, func(refused bool))

const (
	// placeWaitFraction is the part of the time left until its deadline, a third, for which a request
	// waits at most for a place. It waits no longer than its latency objective allows.
	placeWaitFraction = 3

	// maxPlaceQuestions bounds the endpoints that are asked for a place before the request waits. In a large
	// service that has no room, all would be asked otherwise.
	maxPlaceQuestions = 4

	// placeRetryInterval is the least time after which the caller of a request that got no place is told to
	// return. The request has waited already, so that a place that is free in a moment is not
	// enough.
	placeRetryInterval = 250 * time.Millisecond

	// placeMargin is how long after the request's deadline its place lapses.
	placeMargin = time.Second
)

// acquirePlace reports whether the request may be sent to an endpoint. One whose service fails if it refuses
// too many requests gets no more of them than it has room for, so that the others wait or are refused here.
func (r *run) acquirePlace(c context.Context, p *permitState, e endpoint.Endpoint) bool {
	limit, _ := r.f.Balancer.Availability.Refusals.Limit(e.Service, boottime.Now())
	if !limit.Limited {
		return true
	}
	a, release := r.f.RequestPlace(c, occupancy.Question{
		Endpoint: e.Incarnation(), Holder: r.q.Call.ID + "/" + strconv.Itoa(int(r.shared.places.Add(1))), Room: e.Slots, RefusalsPerSecond: limit.PerSecond,
		TTL: boottime.Until(r.q.Expires) + placeMargin,
	})
	if a.OK {
		r.returnPlace(false)
		r.releasePlace = release
		return true
	}
	if p.full == nil {
		p.full = map[string]bool{}
	}
	p.full[e.Incarnation()] = true
	if p.placeAfter == 0 || a.After < p.placeAfter {
		p.placeAfter = a.After
	}
	metrics.GetOrRegisterCounter("places.refused", r.f.Metrics).Inc(1)
	return false
}

// placeRetryAfter returns the time after which the caller may return; zero if a place was not lacking.
func (p *permitState) placeRetryAfter() time.Duration {
	if p.full == nil {
		return 0
	}
	return max(p.placeAfter, placeRetryInterval)
}

// returnPlace returns the place of the current attempt, if it has one.
func (r *run) returnPlace(refused bool) {
	if r.releasePlace != nil {
		r.releasePlace(refused)
		r.releasePlace = nil
	}
}

// awaitPlace waits until a place may be free again. It returns false if the request has waited for as long
// as it may.
func (r *run) awaitPlace(c context.Context, p *permitState) bool {
	limit := r.q.Expires.Sub(p.started) / placeWaitFraction
	if o := r.q.Route.LatencyObjective; o > 0 {
		limit = min(limit, o/2)
	}
	if boottime.Since(p.started)+p.placeAfter > limit {
		return false
	}
	x, cancel := r.waitContext(c, boottime.Now().Add(p.placeAfter))
	defer cancel()
	select {
	case <-time.After(p.placeAfter):
	case <-x.Done():
		r.late = shutdown.RefusalOf(x)
		return false
	}
	p.full, p.placeAfter = nil, 0
	return true
}
