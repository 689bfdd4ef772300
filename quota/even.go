package quota

import (
	"slices"
	"time"
)

// Even is what one relay leases to another of rates that are divided evenly: the part of
// each that the lessor speaks for, and for each shard which pieces of it the other may spend.
type Even struct {
	Part   float64
	Pieces []Pieces
}

// even are the leases of rates that are divided evenly over all boxes. Nothing of them stays
// in a data centre: of a rate under one a second a home's part would pay for a request in
// half a minute. Its zero value has leased nothing.
type even struct {
	lessor lessor
	lessee lessee
	given  [shards]float64 // seconds' worth of a rate, by shard
	at     time.Time       // up to when
}

// lease leases the part that this box speaks for to the arbiters among some.
func (e *even) lease(self string, among []Arbiter, part float64, now time.Time) {
	homes := func(shard int) []string { return names(pick(among, shard)) }
	e.lessor.lease(among, homes, map[string]float64{everything: part}, now)
	e.hear(self, e.tell(self, now), now.Add(leaseFor), now)
}

// leave notes that a relay counts this box.
func (e *even) leave(self string, now time.Time) {
	e.lessor.leave(now)
	e.drop(self, now)
}

// tell returns what a box is told of its lease now.
func (e *even) tell(to string, now time.Time) Even {
	return Even{e.lessor.parts[everything], e.lessor.pieces(to, now)}
}

// hear holds a lease in place of its lessor's last.
func (e *even) hear(from string, l Even, until, now time.Time) {
	e.fill(now)
	e.lessee.take(hold{from, map[string]float64{everything: l.Part}, l.Pieces, until}, now)
}

// drop gives up what a lessor has leased.
func (e *even) drop(from string, now time.Time) {
	e.fill(now)
	e.lessee.drop(from)
}

// fill counts what the leases have given since the last time.
func (e *even) fill(now time.Time) {
	if now.Before(e.at) {
		return // the caller took its time before another's
	}
	for s := range e.given {
		seconds, _ := e.lessee.given(everything, s, e.at, now)
		e.given[s] += seconds
	}
	e.at = now
}

// Given returns how many seconds' worth of a rate that is divided evenly this box was given
// up to now, counted from some moment of its own, and the part of the rate that it has now.
func (q *Quota) Given(name string, now time.Time) (seconds, part float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.even.fill(now)
	s := shard(name)
	_, part = q.even.lessee.given(everything, s, now, now)
	return q.even.given[s], part
}

// Arbiters returns whom to ask for a rate that is divided evenly, in turn: this box while no
// relay counts it, the rate's two arbiters, and those to which its pieces may still be leased.
func (q *Quota) Arbiters(name string, now time.Time) []Arbiter {
	_, part := q.Given(name, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	out := pick(staying(q.arbiters), shard(name))
	if swaps(q.Self) {
		slices.Reverse(out)
	}
	for _, a := range q.arbiters {
		if a.Leaving && !contains(out, a.Box) {
			out = append(out, a)
		}
	}
	if part > 0 && !contains(out, q.Self.Box) {
		out = append([]Arbiter{q.Self}, out...)
	}
	return out
}
