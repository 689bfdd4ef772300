// Package quota holds accounts to their rates over all boxes together, so that a
// limit is kept because nobody can spend what was not given to it. Each box has an
// equal part of every account's rate. A relay speaks for the boxes that it counts,
// and leases their parts to two arbiters of each account, which the other boxes ask.
package quota

import (
	"math/rand/v2"
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
// hold the rate's and the burst, not only the first.
const evenPart = 0.25

// What boxes may be over a limit in a window is given to the account in part, so that
// what is within the limit is not refused: toleratedRate of it over the window, and
// toleratedBurst at once. The rest is kept for requests that are larger than what is
// left, for what is forgotten at a restart, and for boxes that are counted twice while
// they move. With more an account goes over its limit in some of the courses of
// TestAnyCourse.
const (
	toleratedRate  = 0.25
	toleratedBurst = 0.2
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
func (t Terms) limit(a *catalog.Account) (rate, burst float64) {
	even := evenPart * a.Burst
	over := t.tolerated(a)
	w := t.window().Seconds()
	return a.Rate + even/w + toleratedRate*over/w, a.Burst - even + toleratedBurst*over
}

// tolerated is what boxes together may be over an account's limit in a window.
func (t Terms) tolerated(a *catalog.Account) float64 {
	return t.Overage*(a.Rate*t.window().Seconds()+a.Burst) + t.Slack
}

// View is what a box knows of the fleet.
type View struct {
	// Arbiters are the relays that this box hears, or that its relay names.
	Arbiters []Arbiter

	// Counted is how many boxes of its data centre this one speaks for: itself and
	// those that it counts as a relay; zero while a relay counts it.
	Counted int

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

	// Chance returns numbers from 0 to 1; nil stands for random ones.
	Chance func() float64

	mu        sync.Mutex
	arbiters  []Arbiter
	divisions divisions
	boxes     boxes
	apart     bool // fewer boxes are heard than there are
	buckets   map[string]*bucket
	lessor    lessor
	lessee    lessee
	heard     map[string]Lease              // what other relays told last
	before    *Before                       // what was before this process started, if known
	seeds     map[string]map[string]float64 // by lessor and account, the parts that began with what was left before
}

// apartBelow is the part of all boxes below which those that are heard are a part of
// the fleet only.
const apartBelow = 0.9

// Round leases this box's part anew, by what it now knows of the fleet. Accounts are
// those of the configuration in force.
func (q *Quota) Round(v View, accounts []catalog.Account, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.take(v.Division, now)
	q.boxes.hear(v.Boxes, now)
	d, n := q.divisions.newest(), Division{Boxes: v.Boxes}
	q.apart = d != nil && float64(n.all()) < apartBelow*float64(d.all())
	q.arbiters = v.Arbiters
	if !q.apart && q.agreed() {
		q.divisions.settle()
	}
	for i := range accounts {
		q.bucket(&accounts[i], now)
	}
	q.fillAll(now)
	if v.Counted == 0 {
		q.lessor.leave(now)
		q.lessee.drop(q.Self.Box)
		return
	}
	among := staying(v.Arbiters)
	if !contains(v.Arbiters, q.Self.Box) || len(among) == 0 {
		among = []Arbiter{q.Self}
	}
	boxes := q.lessor.speaksFor(v.Counted, now)
	parts := map[string]float64{}
	for a := range q.buckets {
		parts[a] = q.divisions.part(a, q.Self.DataCentre, boxes, now)
	}
	q.lessor.lease(q.Self, among, parts, now)
	h := hold{q.Self.Box, parts, q.lessor.pieces(q.Self.Box, now), now.Add(leaseFor)}
	q.seed(h, now)
	q.lessee.take(h, now)
}

// agreed reports whether all relays that are heard keep to this box's division.
func (q *Quota) agreed() bool {
	for _, a := range q.arbiters {
		if a.Box != q.Self.Box && q.heard[a.Box].Version < q.divisions.version() {
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
	q.divisions.take(d, now)
}

// Tell returns what this relay tells another: its lease, what accounts lack here, and
// what they are asked for.
func (q *Quota) Tell(to string, now time.Time) Lease {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	l := Lease{From: q.Self.Box, DataCentre: q.Self.DataCentre, Now: q.stamp(now), Seen: q.heard[to].Now, Version: q.divisions.version(), Lacks: q.lack(), Asked: q.asked(now)}
	if d := q.divisions.newest(); d != nil && q.heard[to].Version < d.Version {
		l.Division = *d
	}
	l.Pieces = q.lessor.pieces(to, now)
	if slices.Max(l.Pieces) > 0 {
		l.Parts = q.lessor.parts
	}
	return l
}

// Hear takes what another relay tells. A lease counts from the moment that its
// lessor had last heard of here, so that one which was held up on the way, or read
// after a pause of this process, has no more time than its lessor gave it.
func (q *Quota) Hear(l Lease, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heard == nil {
		q.heard = map[string]Lease{}
	}
	if old, ok := q.heard[l.From]; ok && old.Now.Incarnation != l.Now.Incarnation {
		// What the process before leased is leased anew.
		q.fillAll(now)
		q.lessee.drop(l.From)
	}
	q.heard[l.From] = l
	q.divisions.take(l.Division, now)
	if l.Seen.Incarnation != q.Incarnation {
		return
	}
	q.fillAll(now)
	h := hold{l.From, l.Parts, l.Pieces, q.Started.Add(l.Seen.At).Add(leaseFor)}
	q.seed(h, now)
	q.lessee.take(h, now)
}

// Forget drops what a relay told that is not heard any more; its leases end by
// themselves.
func (q *Quota) Forget(relay string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.heard, relay)
}

// Take asks for a request in turn until one lets it in: a box that no relay counts
// itself, the relay of this data centre that keeps a part at home, then the account's
// arbiters. If none lets it in, the answer is that of the one with the soonest way
// back; ask reports false for one that did not answer.
func (q *Quota) Take(x Question, now time.Time, ask func(Arbiter, Question) (Answer, bool)) (Answer, Arbiter) {
	soonest, from := Answer{After: unheardRetry}, Arbiter{}
	heard := false
	x.DataCentre = q.Self.DataCentre
	for _, a := range q.order(x.Account, now) {
		v, ok := ask(a, x)
		if ok && v.OK {
			return v, a
		}
		if ok && v.Part > 0 && (!heard || v.After < soonest.After) {
			soonest, from, heard = v, a, true
		}
	}
	return soonest, from
}

// unheardRetry is when a caller is told to come back whom nobody could be asked for: by
// then leases have moved on.
const unheardRetry = leaseFor / 2

// order returns whom to ask for an account, in turn.
func (q *Quota) order(account string, now time.Time) []Arbiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := order(q.Self, q.arbiters, account)
	if contains(out, q.Self.Box) {
		return out
	}
	if _, part := q.lessee.given(account, shard(account), now, now); part > 0 {
		return append([]Arbiter{q.Self}, out...)
	}
	return out
}

// Question asks whether a request may be let in. Urgent requests may spend what
// others leave.
type Question struct {
	Account    string
	Size       float64
	DataCentre string // of the box that asks
	Urgent     bool
}

// Answer says whether a request was let in, else when its caller may come back.
// Level and Part are what the bucket holds that it was judged by, and the part of the
// account's rate that fills it.
type Answer struct {
	OK    bool
	After time.Duration
	Level float64
	Part  float64
}

// longestRetry bounds when a refused caller is told to come back: the longest that
// a window takes to be empty.
const longestRetry = defaultWindow

// Ask answers a question by this box's bucket. A request may be larger than what a
// bucket ever holds, so it is let in while anything is left, and what it takes beyond
// that is owed. Many boxes with a small part each would together let in too much in
// that way: there a request is let in as often as what is left pays for it.
func (q *Quota) Ask(x Question, now time.Time) Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[x.Account]
	if b == nil {
		return Answer{After: unheardRetry}
	}
	part := q.fill(b, now)
	if part <= 0 && b.level <= 0 {
		return Answer{After: unheardRetry, Level: b.level}
	}
	if x.DataCentre == q.Self.DataCentre {
		b.demand.add(x.Size, now)
	}
	need := 0.0
	if !x.Urgent {
		need = urgentPart * part * b.burst
	}
	if part < smallPart {
		need = max(need, x.Size*q.chance())
	}
	if b.level > 0 && b.level >= need {
		b.level -= x.Size
		return Answer{OK: true, Level: b.level, Part: part}
	}
	b.queue += x.Size
	wait := b.queue/max(b.rate, 1) + (need-b.level)/max(b.rate*part, 1)
	return Answer{After: min(time.Duration(wait*float64(time.Second)), longestRetry), Level: b.level, Part: part}
}

// urgentPart is the part of its bucket that an account short of its rate keeps for
// its most urgent requests; smallPart the part of the rate below which a bucket is one
// of many.
const (
	urgentPart = 0.1
	smallPart  = 0.12
)

func (q *Quota) chance() float64 {
	if q.Chance != nil {
		return q.Chance()
	}
	return rand.Float64()
}

func (q *Quota) age(now time.Time) time.Duration { return now.Sub(q.Started) }

func (q *Quota) stamp(now time.Time) Stamp { return Stamp{q.Incarnation, q.age(now)} }
