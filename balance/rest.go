package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// retryAfterJitter is the part of a rest that is added at random to the time at which callers are
// told to come back, so that they do not come in one moment.
const retryAfterJitter = 0.2

// BackOff notes for how long the endpoint wants no calls of this box; zero is none. Until then it
// is chosen for none, also where there is no other: a refusal ends a call in 2 ms, so that an
// endpoint which refuses looks like the fastest. Three of them were sent 75 requests first in
// six seconds, up to 8 by one box, and refused all. Afterwards it gets one call at a time until
// it runs one.
func (n *Attempt) BackOff(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	n.balancer.mu.Lock()
	defer n.balancer.mu.Unlock()
	n.state.probationFrom = now.Add(n.balancer.Availability.BackOff(n.incarnation, d, now))
}

// exclusion returns what tells which endpoints are out for a query: those to which the request may not
// go, those that were tried, and those that take no calls now. Where there are none of either it
// looks up nothing.
func (b *Balancer) exclusion(q *Query, now time.Time) func(*endpoint.Endpoint) bool {
	tried, some := len(q.Skip) > 0, !b.Availability.AllAvailable(now)
	if !tried && !some && !q.UnlimitedOnly && q.Eligible == nil {
		return func(*endpoint.Endpoint) bool { return false }
	}
	return func(e *endpoint.Endpoint) bool {
		if q.Eligible != nil && !q.Eligible(e) {
			return true
		}
		name := e.Incarnation()
		return tried && q.Skip[name] || some && b.Availability.UnavailableFor(name, now) > 0 || q.UnlimitedOnly && b.Availability.IsRateLimited(name, now)
	}
}

// RetryAfter returns when the first of some endpoints takes calls again, with some spread; zero if
// one does now.
func (b *Balancer) RetryAfter(es []endpoint.Endpoint, now time.Time) time.Duration {
	if b.Availability.AllAvailable(now) {
		return 0
	}
	first := b.Availability.NextAvailable(es, now)
	if b.Rand == nil {
		return first
	}
	return first + time.Duration(retryAfterJitter*b.Rand()*float64(first))
}
