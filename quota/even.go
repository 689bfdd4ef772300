package quota

import (
	"slices"
	"time"
)

// Even is what one relay leases to another of rates that are divided evenly: the part of
// each that the lessor speaks for, and for each shard which pieces of it the other may spend.
type EvenLease struct {
	Part   float64
	Pieces []Pieces
}

// even are the leases of rates that are divided evenly over all boxes. Nothing of them stays
// in a data centre: of a rate under one a second a home's part would pay for a request in
// half a minute. Its zero value has leased nothing.
type evenLeases struct {
	lessor    lessor
	lessee    lessee
	granted   [shardCount]float64 // seconds' worth of a rate, by shard
	accruedTo time.Time           // up to when
}

// lease leases the part that this box speaks for to the arbiters among some.
func (e *evenLeases) assign(self string, among []Arbiter, part float64, now time.Time) {
	homes := func(shard int) []string { return boxNames(pickArbiters(among, shard)) }
	e.lessor.assign(among, homes, map[string]float64{evenlyDivided: part}, now)
	e.accept(self, e.issue(self, now), now.Add(leaseDuration), now)
}

// leave notes that a relay counts this box.
func (e *evenLeases) suspend(self string, now time.Time) {
	e.lessor.suspend(now)
	e.drop(self, now)
}

// tell returns what a box is told of its lease now.
func (e *evenLeases) issue(to string, now time.Time) EvenLease {
	return EvenLease{e.lessor.shares[evenlyDivided], e.lessor.pieces(to, now)}
}

// hear holds a lease in place of its lessor's last.
func (e *evenLeases) accept(from string, l EvenLease, until, now time.Time) {
	e.accrue(now)
	e.lessee.replace(heldLease{from, map[string]float64{evenlyDivided: l.Part}, l.Pieces, until}, now)
}

// drop gives up what a lessor has leased.
func (e *evenLeases) drop(from string, now time.Time) {
	e.accrue(now)
	e.lessee.drop(from)
}

// fill counts what the leases have given since the last time.
func (e *evenLeases) accrue(now time.Time) {
	if now.Before(e.accruedTo) {
		return // the caller took its time before another's
	}
	for s := range e.granted {
		seconds, _ := e.lessee.granted(evenlyDivided, s, e.accruedTo, now)
		e.granted[s] += seconds
	}
	e.accruedTo = now
}

// Given returns how many seconds' worth of a rate that is divided evenly this box was given
// up to now, counted from some moment of its own, and the part of the rate that it has now.
func (q *Quota) Given(name string, now time.Time) (seconds, part float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evenLeases.accrue(now)
	s := shard(name)
	_, part = q.evenLeases.lessee.granted(evenlyDivided, s, now, now)
	return q.evenLeases.granted[s], part
}

// Arbiters returns whom to ask for a rate that is divided evenly, in turn: this box while no
// relay counts it, the rate's two arbiters, and those to which its pieces may still be leased.
func (q *Quota) Arbiters(name string, now time.Time) []Arbiter {
	_, part := q.Given(name, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	out := pickArbiters(withoutLeaving(q.arbiters), shard(name))
	if asksSecondFirst(q.Self) {
		slices.Reverse(out)
	}
	for _, a := range q.arbiters {
		if a.Leaving && !containsBox(out, a.Box) {
			out = append(out, a)
		}
	}
	if part > 0 && !containsBox(out, q.Self.Box) {
		out = append([]Arbiter{q.Self}, out...)
	}
	return out
}
