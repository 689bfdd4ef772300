package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// restSpread is the part of a rest that is added at random to the time at which callers are
// told to come back, so that they do not come in one moment.
const restSpread = 0.2

// Rest notes for how long the endpoint wants no calls of this box; zero is none. Until then it
// is chosen for none, also where there is no other: a refusal ends a call in 2 ms, so that an
// endpoint which refuses looks like the fastest. Three of them were sent 75 requests first in
// six seconds, up to 8 by one box, and refused all. Afterwards it gets one call at a time until
// it runs one.
func (n *Entry) Rest(d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	n.page.proves = now.Add(n.book.Available.Rest(n.incarnation, d, now))
}

// out returns what tells which endpoints are out for a query: those to which the request may not
// go, those that were tried, and those that take no calls now. Where there are none of either it
// looks up nothing.
func (b *Book) out(q *Query, now time.Time) func(*endpoint.Endpoint) bool {
	tried, some := len(q.Skip) > 0, !b.Available.All(now)
	if !tried && !some && !q.Unlimited && q.Takes == nil {
		return func(*endpoint.Endpoint) bool { return false }
	}
	return func(e *endpoint.Endpoint) bool {
		if q.Takes != nil && !q.Takes(e) {
			return true
		}
		name := e.Incarnation()
		return tried && q.Skip[name] || some && b.Available.Left(name, now) > 0 || q.Unlimited && b.Available.Limited(name, now)
	}
}

// Back returns when the first of some endpoints takes calls again, with some spread; zero if
// one does now.
func (b *Book) Back(es []endpoint.Endpoint, now time.Time) time.Duration {
	if b.Available.All(now) {
		return 0
	}
	first := b.Available.First(es, now)
	if b.Chance == nil {
		return first
	}
	return first + time.Duration(restSpread*b.Chance()*float64(first))
}
