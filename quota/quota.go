// Package quota enforces the rate limits of accounts over all boxes together. Each box
// has an equal share of its data centre's share of every account's rate. A relay
// represents the boxes that it serves and leases their shares to two arbiters of each
// account, which the other boxes ask. A box can spend only what is leased to it, so limits
// hold during partitions and restarts. Rates that do not belong to accounts and are not
// configured are divided evenly over all boxes and leased in the same way (Accrued, Arbiters).
package quota

import (
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// Tolerance defines how strictly the limit of an account is enforced. In each Window an
// account may spend its rate over the window plus its burst. All boxes together may exceed
// this amount by Overage, as a fraction of it, plus Slack, in units. The excess comes from
// requests that are larger than the level of a bucket and from state that is lost at a
// restart.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// spreadBurstShare is the share of a burst that is added to the rate over a window, since
// every window, not only the first, may hold the rate's tokens and the burst. 0.5 refuses
// nearly 1% of the requests of an account at 0.7 of its rate if some requests are a third
// of its burst; 0.25 refuses none (TestLargeFleetBelowRate).
const spreadBurstShare = 0.25

// Part of the tolerated overage of a window is granted to the account, so that requests
// within its limit are not refused. The rest covers requests that are larger than the
// level, state that is lost at a restart, and boxes that two relays represent while they
// move. With larger shares an account exceeds its limit in some of the simulated runs of
// TestLimitUnderRandomFaults.
const (
	toleratedRateShare  = 0.25 // share granted over the window
	toleratedBurstShare = 0.2  // share granted at once
)

// defaultWindow is used if Tolerance.Window is zero.
const defaultWindow = 8 * time.Second

func (t Tolerance) window() time.Duration {
	if t.Window > 0 {
		return t.Window
	}
	return defaultWindow
}

// bucketLimit returns the rate, in units a second, and the burst, in units, of a token
// bucket that keeps an account within its limit in every window.
func (t Tolerance) bucketLimit(a *catalog.Account) (rate, burst float64) {
	spread := spreadBurstShare * a.Burst
	overage := t.toleratedOverage(a)
	w := t.window().Seconds()
	return a.Rate + spread/w + toleratedRateShare*overage/w, a.Burst - spread + toleratedBurstShare*overage
}

// toleratedOverage returns by how many units all boxes together may exceed an account's
// limit in a window.
func (t Tolerance) toleratedOverage(a *catalog.Account) float64 {
	return t.Overage*(a.Rate*t.window().Seconds()+a.Burst) + t.Slack
}

// View is the fleet as one box sees it.
type View struct {
	// Arbiters are the relays that this box can reach or that its relay reported.
	Arbiters []Arbiter

	// Represented is the number of boxes of its data centre that this box represents:
	// itself and the boxes that it serves as a relay. It is zero while a relay represents
	// this box.
	Represented int

	// Boxes is the number of reachable boxes of each data centre, including this one.
	Boxes map[string]int

	// Division is the division that the relay of this box uses.
	Division Division
}

// Quota enforces the limits at one box. Its zero value with the exported fields set is
// ready to use. It is safe for concurrent use.
type Quota struct {
	Tolerance

	// Reserve admits requests of routes that are small for their account from a reserve, and
	// ReturnTimes keeps places for refused requests that can return in time.
	Reserve     bool
	ReturnTimes bool

	Self        Arbiter
	Incarnation string

	// Started is when the process started. If the store has the levels of the accounts,
	// they are passed to Restore; otherwise buckets start empty.
	Started time.Time

	// Rand returns random numbers in [0, 1).
	Rand func() float64

	mu          sync.Mutex
	arbiters    []Arbiter
	divisions   divisionHistory
	boxHistory  boxHistory
	partitioned bool // only a part of the fleet is reachable
	buckets     map[string]*bucket
	lessor      lessor
	lessee      lessee
	evenLeases  evenLeases
	received    map[string]Lease              // last lease received from each relay
	saved       *Before                       // state before this process started; nil if unknown
	firstStart  bool                          // there was no state before
	restored    map[string]map[string]float64 // by lessor and account, the shares whose initial levels are restored
}

// partitionedBelow is the share of all boxes below which the reachable boxes are taken to
// be only a part of the fleet.
const partitionedBelow = 0.9

// Update renews the leases of the shares that this box represents, according to its current
// view of the fleet. accounts are those of the configuration in force.
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
	arbiters := withoutLeaving(v.Arbiters)
	if !containsBox(v.Arbiters, q.Self.Box) || len(arbiters) == 0 {
		arbiters = []Arbiter{q.Self}
	}
	represented := q.lessor.represented(v.Represented, now)
	reachable := q.boxHistory.peak()[q.Self.DataCentre]
	shares := map[string]float64{}
	for a := range q.buckets {
		shares[a] = q.divisions.share(a, q.Self.DataCentre, represented, reachable, now)
	}
	homeBoxes := func(shard int) []string { return []string{pickHomeRelay(q.Self, arbiters, shard).Box} }
	q.lessor.assign(arbiters, homeBoxes, shares, now)
	h := heldLease{q.Self.Box, shares, q.lessor.pieces(q.Self.Box, now), now.Add(leaseDuration)}
	q.restoreLevels(h, now)
	q.lessee.replace(h, now)
	q.evenLeases.assign(q.Self.Box, arbiters, q.divisions.evenShare(q.Self.DataCentre, represented, reachable, now), now)
}

// relaysAgree reports whether all reachable relays use this box's division or a newer one.
func (q *Quota) relaysAgree() bool {
	for _, a := range q.arbiters {
		if a.Box != q.Self.Box && q.received[a.Box].Version < q.divisions.version() {
			return false
		}
	}
	return true
}

// Division returns the division in force at this box, or the zero value if none is known.
func (q *Quota) Division() Division {
	q.mu.Lock()
	defer q.mu.Unlock()
	if d := q.divisions.newest(); d != nil {
		return *d
	}
	return Division{}
}

// Adopt adds a division that this box has written to the store or read from it.
func (q *Quota) Adopt(d Division, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.add(d, now)
}

// IssueLease renews the lease of another relay and returns it, with the deficits of the
// accounts and the demand for them at this box.
func (q *Quota) IssueLease(to string, now time.Time) Lease {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	l := Lease{
		From: q.Self.Box, DataCentre: q.Self.DataCentre, Now: q.stamp(now), Seen: q.received[to].Now,
		Version: q.divisions.version(), Lacks: q.deficits(), Asked: q.localDemand(now),
	}
	if d := q.divisions.newest(); d != nil && q.received[to].Version < d.Version {
		l.Division = *d
	}
	l.Pieces, l.Parts = q.lessor.pieces(to, now), q.lessor.shares
	l.Even = q.evenLeases.issue(to, now)
	return l
}

// AcceptLease processes a lease from another relay. The lease is valid from this box's
// stamp that the lessor last received, so a lease that is delayed in the network, or read
// after a pause of this process, does not outlast the time for which it was granted.
func (q *Quota) AcceptLease(l Lease, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.received == nil {
		q.received = map[string]Lease{}
	}
	if old, ok := q.received[l.From]; ok && old.Now.Incarnation != l.Now.Incarnation {
		// The lessor restarted and reassigns its pieces.
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

// Forget removes the last lease message of an unreachable relay. The leases that it granted
// stay until they expire.
func (q *Quota) Forget(relay string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.received, relay)
}

func (q *Quota) age(now time.Time) time.Duration { return now.Sub(q.Started) }

func (q *Quota) stamp(now time.Time) Stamp { return Stamp{q.Incarnation, q.age(now)} }
