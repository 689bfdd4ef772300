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
	n.page.refuses = true
	n.page.rests = later(n.page.rests, now.Add(d))
	n.book.rested = later(n.book.rested, n.page.rests)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Rests reports whether an endpoint wants no calls of this box.
func (b *Book) Rests(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rests(id, now)
}

// rests is Rests while the lock is held. Where no endpoint rests it looks at no page.
func (b *Book) rests(id string, now time.Time) bool {
	if !now.Before(b.rested) {
		return false
	}
	p := b.pages[id]
	return p != nil && now.Before(p.rests)
}

// Back returns when the first of some endpoints takes calls again, with some spread; zero if
// one does now.
func (b *Book) Back(es []endpoint.Endpoint, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Duration
	for i := range es {
		if !b.rests(es[i].ID, now) {
			return 0
		}
		if left := b.pages[es[i].ID].rests.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	if b.Chance == nil {
		return first
	}
	return first + time.Duration(restSpread*b.Chance()*float64(first))
}

// Resting returns how many endpoints want no calls of this box.
func (b *Book) Resting(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.pages {
		if now.Before(p.rests) {
			n++
		}
	}
	return n
}
