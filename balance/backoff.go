package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// retryAfterJitter is the maximum random extension of the time after which callers should retry, as
// a fraction of that time. It keeps them from retrying all at once.
const retryAfterJitter = 0.2

// BackOff records that the endpoint asked this box to back off for the time d. BackOff does nothing
// if d is not positive. During this period the endpoint is not chosen, even if there is no other: a
// refusal ends a call in 2 ms, so that a refusing endpoint looks like the fastest. Without this
// rule, three such endpoints are the first choice of 75 requests in six seconds, up to 8 of them
// from one box, and refuse them all. After the period the endpoint gets one call at a time until it
// runs one.
func (a *Attempt) BackOff(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.probationFrom = now.Add(a.balancer.Availability.BackOff(a.incarnation, d, now))
}

// exclusion returns a function that reports whether an endpoint is excluded for a query: the
// request may not go to it, was already sent to it, or it accepts no calls now. If none of this
// applies to any endpoint, the function looks up nothing.
func (b *Balancer) exclusion(q *Query, now time.Time) func(*endpoint.Endpoint) bool {
	tried, unavailable := len(q.Skip) > 0, !b.Availability.AllAvailable(now)
	if !tried && !unavailable && !q.UnlimitedOnly && q.Eligible == nil && q.MaxSilence <= 0 {
		return func(*endpoint.Endpoint) bool { return false }
	}
	return func(e *endpoint.Endpoint) bool {
		if q.Eligible != nil && !q.Eligible(e) {
			return true
		}
		if q.MaxSilence > 0 && b.lookup(e.ID).isSilent(q.MaxSilence, now) {
			return true
		}
		incarnation := e.Incarnation()
		return tried && q.Skip[incarnation] || unavailable && b.Availability.UnavailableFor(incarnation, now) > 0 ||
			q.UnlimitedOnly && b.Availability.IsRateLimited(incarnation, now)
	}
}

// RetryAfter returns how long until the first of the endpoints accepts calls, with some jitter. It
// returns 0 if one does now.
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
