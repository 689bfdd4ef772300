package quota

import (
	"slices"
	"time"
)

// EvenLease is the lease from one relay to another of the rates that are divided evenly
// over all boxes. Part is the share of each that the lessor represents. Pieces are the
// pieces of it that the other may spend, by shard.
type EvenLease struct {
	Part   float64
	Pieces []Pieces
}

// evenLeases holds the leases of rates that are divided evenly over all boxes, both those
// granted and those held. No share of them stays in a data centre: for a rate under one a
// second, the home piece would yield one request in half a minute. Its zero value has no
// leases.
type evenLeases struct {
	lessor    lessor
	lessee    lessee
	accrued   [shardCount]float64 // seconds' worth of a rate accrued, by shard
	accruedTo time.Time           // time of the last accrual
}

// assign leases the share that this box represents to the arbiters of each shard.
func (e *evenLeases) assign(self string, arbiters []Arbiter, share float64, now time.Time) {
	candidates := func(shard int) []string { return boxNames(pickArbiters(arbiters, shard)) }
	e.lessor.assign(arbiters, candidates, map[string]float64{evenlyDivided: share}, now)
	e.accept(self, e.issue(self, now), now.Add(leaseDuration), now)
}

// suspend stops leasing because a relay represents this box.
func (e *evenLeases) suspend(self string, now time.Time) {
	e.lessor.suspend(now)
	e.drop(self, now)
}

// issue returns the lease of another box and renews it.
func (e *evenLeases) issue(to string, now time.Time) EvenLease {
	return EvenLease{e.lessor.shares[evenlyDivided], e.lessor.pieces(to, now)}
}

// accept replaces the last lease of a lessor with a newer one.
func (e *evenLeases) accept(from string, l EvenLease, until, now time.Time) {
	e.accrue(now)
	e.lessee.replace(heldLease{from, map[string]float64{evenlyDivided: l.Part}, l.Pieces, until}, now)
}

// drop removes the leases of a lessor.
func (e *evenLeases) drop(from string, now time.Time) {
	e.accrue(now)
	e.lessee.drop(from)
}

// accrue adds what the leases have granted since the last call.
func (e *evenLeases) accrue(now time.Time) {
	if now.Before(e.accruedTo) {
		return // a concurrent call with a later time came first
	}
	for s := range e.accrued {
		seconds, _ := e.lessee.granted(evenlyDivided, s, e.accruedTo, now)
		e.accrued[s] += seconds
	}
	e.accruedTo = now
}

// Accrued returns how many seconds' worth of an evenly divided rate this box has accrued up to
// now, and its current share of the rate. The seconds count from an arbitrary origin, so only
// differences are meaningful.
func (q *Quota) Accrued(name string, now time.Time) (seconds, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evenLeases.accrue(now)
	s := shard(name)
	_, share = q.evenLeases.lessee.granted(evenlyDivided, s, now, now)
	return q.evenLeases.accrued[s], share
}

// Arbiters returns the arbiters to ask for an evenly divided rate, in order: this box while
// no relay represents it, the two arbiters of the rate, and leaving relays, which may still
// hold pieces of it.
func (q *Quota) Arbiters(name string, now time.Time) []Arbiter {
	_, share := q.Accrued(name, now)
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
	if share > 0 && !containsBox(out, q.Self.Box) {
		out = append([]Arbiter{q.Self}, out...)
	}
	return out
}
