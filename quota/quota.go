// Package quota holds accounts to their rates over all boxes together, so that a
// limit is kept because nobody can spend what was not given to it. Each box has an
// equal part of every account's rate. A relay speaks for the boxes that it counts,
// and leases their parts to two arbiters of each account, which the other boxes ask.
// Rates that are not of accounts, and are known only once they are met, are divided
// and leased in the same way (Given, Arbiters).
package quota

import (
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// Terms say how an account's limit is judged: in each Window it may spend its
// rate over the window and its burst. Overage, a part of that, and Slack, in
// units, are what boxes together may be over it; they are kept for what is let in
// beyond what a bucket holds, and for what is forgotten at a restart.
type Terms struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// evenPart is the part of a burst that is dealt out over a window: each window may
// hold the rate's and the burst, not only the first. With 0.5 nearly one in a hundred
// requests of an account at 0.7 of its rate is refused where some are a third of its
// burst, with 0.25 none (TestLargeFleetUnderTheRate).
const spreadBurstShare = 0.25

// What boxes may be over a limit in a window is given to the account in part, so that
// what is within the limit is not refused: toleratedRate of it over the window, and
// toleratedBurst at once. The rest is kept for requests that are larger than what is
// left, for what is forgotten at a restart, and for boxes that are counted twice while
// they move. With more an account goes over its limit in some of the courses of
// TestAnyCourse.
const (
	toleratedRateShare  = 0.25
	toleratedBurstShare = 0.2
)

// defaultWindow stands in for terms that name none.
const defaultWindow = 8 * time.Second

func (t Terms) window() time.Duration {
	if t.Window > 0 {
		return t.Window
	}
	return defaultWindow
}

// limit returns the rate and the burst of a bucket that keeps an account to its
// limit in each window.
func (t Terms) bucketLimit(a *catalog.Account) (rate, burst float64) {
	even := spreadBurstShare * a.Burst
	over := t.toleratedOverage(a)
	w := t.window().Seconds()
	return a.Rate + even/w + toleratedRateShare*over/w, a.Burst - even + toleratedBurstShare*over
}

// tolerated is what boxes together may be over an account's limit in a window.
func (t Terms) toleratedOverage(a *catalog.Account) float64 {
	return t.Overage*(a.Rate*t.window().Seconds()+a.Burst) + t.Slack
}

// View is what a box knows of the fleet.
type View struct {
	// Arbiters are the relays that this box hears, or that its relay names.
	Arbiters []Arbiter

	// Counted is how many boxes of its data centre this one speaks for: itself and
	// those that it counts as a relay; zero while a relay counts it.
	Represented int

	// Boxes is how many boxes of each data centre are heard, this one included.
	Boxes map[string]int

	// Division is that of this box's relay.
	Division Division
}

// Quota is one box's part. Its zero value, with the exported fields set, is ready.
type Quota struct {
	Terms
	Self        Arbiter
	Incarnation string

	// Started is when the process began. What an account had left then is known if
	// the store tells (Expect); else its buckets fill from nothing.
	Started time.Time

	// Chance returns numbers from 0 to 1, at random.
	Chance func() float64

	mu          sync.Mutex
	arbiters    []Arbiter
	divisions   divisionHistory
	boxHistory  boxHistory
	partitioned bool // fewer boxes are heard than there are
	buckets     map[string]*bucket
	lessor      lessor
	lessee      lessee
	evenLeases  evenLeases
	received    map[string]Lease              // what other relays told last
	saved       *Before                       // what was before this process started, if known
	firstStart  bool                          // nothing was
	restored    map[string]map[string]float64 // by lessor and account, the parts that began with what was left before
}

// apartBelow is the part of all boxes below which those that are heard are a part of
// the fleet only.
const partitionedBelow = 0.9

// Round leases this box's part anew, by what it now knows of the fleet. Accounts are
// those of the configuration in force.
func (q *Quota) Update(v View, accounts []catalog.Account, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.add(v.Division, now)
	q.boxHistory.record(v.Boxes, now)
	d, n := q.divisions.newest(), Division{Boxes: v.Boxes}
	q.partitioned = d != nil && float64(n.totalBoxes()) < partitionedBelow*float64(d.totalBoxes())
	q.arbiters = v.Arbiters
	q.lessee.leaving = slices.ContainsFunc(v.Arbiters, func(a Arbiter) bool { return a.Box == q.Self.Box && a.Leaving })
	q.evenLeases.lessee.leaving = q.lessee.leaving
	if !q.partitioned && q.relaysAgree() {
		q.divisions.dropReplaced()
	}
	for i := range accounts {
		q.updateBucket(&accounts[i], now)
	}
	q.fillAll(now)
	if v.Represented == 0 {
		q.lessor.suspend(now)
		q.lessee.drop(q.Self.Box)
		q.evenLeases.suspend(q.Self.Box, now)
		return
	}
	among := withoutLeaving(v.Arbiters)
	if !containsBox(v.Arbiters, q.Self.Box) || len(among) == 0 {
		among = []Arbiter{q.Self}
	}
	boxes := q.lessor.represented(v.Represented, now)
	heard := q.boxHistory.peak()[q.Self.DataCentre]
	parts := map[string]float64{}
	for a := range q.buckets {
		parts[a] = q.divisions.share(a, q.Self.DataCentre, boxes, heard, now)
	}
	homes := func(shard int) []string { return []string{pickHomeRelay(q.Self, among, shard).Box} }
	q.lessor.assign(among, homes, parts, now)
	h := heldLease{q.Self.Box, parts, q.lessor.pieces(q.Self.Box, now), now.Add(leaseDuration)}
	q.restoreLevels(h, now)
	q.lessee.replace(h, now)
	q.evenLeases.assign(q.Self.Box, among, q.divisions.evenShare(q.Self.DataCentre, boxes, heard, now), now)
}

// agreed reports whether all relays that are heard keep to this box's division.
func (q *Quota) relaysAgree() bool {
	for _, a := range q.arbiters {
		if a.Box != q.Self.Box && q.received[a.Box].Version < q.divisions.version() {
			return false
		}
	}
	return true
}

// Division returns how this box divides the limits.
func (q *Quota) Division() Division {
	q.mu.Lock()
	defer q.mu.Unlock()
	if d := q.divisions.newest(); d != nil {
		return *d
	}
	return Division{}
}

// Adopt takes a division that this box has written.
func (q *Quota) Adopt(d Division, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.add(d, now)
}

// Tell returns what this relay tells another: its lease, what accounts lack here, and
// what they are asked for.
func (q *Quota) IssueLease(to string, now time.Time) Lease {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	l := Lease{From: q.Self.Box, DataCentre: q.Self.DataCentre, Now: q.stamp(now), Seen: q.received[to].Now, Version: q.divisions.version(), Lacks: q.deficits(), Asked: q.localDemand(now)}
	if d := q.divisions.newest(); d != nil && q.received[to].Version < d.Version {
		l.Division = *d
	}
	l.Pieces, l.Parts = q.lessor.pieces(to, now), q.lessor.shares
	l.Even = q.evenLeases.issue(to, now)
	return l
}

// Hear takes what another relay tells. A lease counts from the moment that its
// lessor had last heard of here, so that one which was held up on the way, or read
// after a pause of this process, has no more time than its lessor gave it.
func (q *Quota) AcceptLease(l Lease, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.received == nil {
		q.received = map[string]Lease{}
	}
	if old, ok := q.received[l.From]; ok && old.Now.Incarnation != l.Now.Incarnation {
		// What the process before leased is leased anew.
		q.fillAll(now)
		q.lessee.drop(l.From)
		q.evenLeases.drop(l.From, now)
	}
	q.received[l.From] = l
	q.divisions.add(l.Division, now)
	if l.Seen.Incarnation != q.Incarnation {
		return
	}
	q.fillAll(now)
	until := q.Started.Add(l.Seen.At).Add(leaseDuration)
	h := heldLease{l.From, l.Parts, l.Pieces, until}
	q.restoreLevels(h, now)
	q.lessee.replace(h, now)
	q.evenLeases.accept(l.From, l.Even, until, now)
}

// Forget drops what a relay told that is not heard any more; its leases end by
// themselves.
func (q *Quota) Forget(relay string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.received, relay)
}

func (q *Quota) age(now time.Time) time.Duration { return now.Sub(q.Started) }

func (q *Quota) stamp(now time.Time) Stamp { return Stamp{q.Incarnation, q.age(now)} }
