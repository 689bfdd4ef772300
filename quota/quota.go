// Package quota holds accounts to their rates over all boxes together. Each box
// follows the whole fleet's spending as the others tell it, and between two
// rounds spends at most its share of what was left.
package quota

import (
	"math"
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// demandHalf is the half-life of the demand by which shares are told: long
// enough to smooth arrivals, short against the window that rates are judged by.
const demandHalf = 2 * time.Second

// startPart is the part of a burst that a process has when it starts: what the
// account has spent a moment before is not known.
const startPart = 0.3

// floorPart is the part of the whole that is divided evenly, so that a box with
// no demand yet can serve the first that comes.
const floorPart = 0.2

// A box may spend overcommit times its share and spareShare more between two
// rounds: requests are few and large against half a second, and one box's need
// is not known before it comes. What all take too much is owed in the next round.
const (
	overcommit = 2
	spareShare = 0.15
)

// tolerancePart is the part of the operators' tolerance that is given to the
// account as burst, so that what is within its rate is not refused for want of
// knowledge; the rest is for what boxes spend in the same moment.
const tolerancePart = 0.5

// Told is what one box tells of its accounts. Spent grows from the process's
// start, which Incarnation names; Asked is in units a second.
type Told struct {
	Box         string
	Incarnation string
	Spent       map[string]float64
	Asked       map[string]float64
}

// Quota is one box's part. Its zero value is ready. Tolerance is by how many
// units an account may be over its limit in the operators' window.
type Quota struct {
	Tolerance float64

	mu       sync.Mutex
	accounts map[string]*bucket
	heard    map[string]Told
	others   int
}

// bucket is the fleet's token bucket of one account as this box knows it.
type bucket struct {
	level  float64 // what all boxes may still spend
	filled time.Time
	share  float64
	own    float64 // what this box may still spend before the next round
	spent  float64 // by this box since it started
	asked  float64 // of this box, units a second
	at     time.Time
}

// Own returns what this box tells.
func (q *Quota) Own(box, incarnation string, now time.Time) Told {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := Told{Box: box, Incarnation: incarnation, Spent: map[string]float64{}, Asked: map[string]float64{}}
	for n, b := range q.accounts {
		b.ask(0, now)
		t.Spent[n], t.Asked[n] = b.spent, b.asked
	}
	return t
}

// Hear takes what the other boxes told into the buckets and deals this box's
// shares anew. Boxes that are not in ts any more have no share.
func (q *Quota) Hear(ts []Told, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := map[string]Told{}
	for _, t := range ts {
		old, known := q.heard[t.Box]
		next[t.Box] = t
		for a, n := range t.Spent {
			switch {
			case known && old.Incarnation == t.Incarnation:
				n -= old.Spent[a]
			case !known:
				n = 0 // spent before this box listened
			}
			q.bucket(a, now).level -= n
		}
	}
	q.heard, q.others = next, len(ts)
	for n, b := range q.accounts {
		b.ask(0, now)
		b.share = q.shareOf(n, b.asked)
		b.own = b.part() * b.level
	}
}

// part is what this box may spend of what is left before the next round.
func (b *bucket) part() float64 { return min(overcommit*b.share+spareShare, 1) }

// shareOf returns the part of an account that this box may spend.
func (q *Quota) shareOf(account string, asked float64) float64 {
	sum := asked
	for _, t := range q.heard {
		sum += t.Asked[account]
	}
	even := 1 / float64(q.others+1)
	if sum <= 0 {
		return even
	}
	return floorPart*even + (1-floorPart)*asked/sum
}

// State describes what is left of an account, for the log.
func (q *Quota) State(name string) (level, own, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[name]; b != nil {
		return b.level, b.own, b.share
	}
	return 0, 0, 0
}

// Take counts a request of a size against its account, or returns when to come
// back. A request may be larger than a share, so it is let in while anything is
// left, and what it takes beyond that is owed.
func (q *Quota) Take(a *catalog.Account, size float64, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(a.Name, now)
	b.ask(size, now)
	if a.Rate <= 0 {
		return 0, true
	}
	b.fill(a, a.Burst+tolerancePart*q.Tolerance, now)
	if b.own <= 0 || b.level <= 0 {
		need := max(-b.own/b.part(), -b.level) + size
		return time.Duration(need / a.Rate * float64(time.Second)), false
	}
	b.level -= size
	b.own -= size
	b.spent += size
	return 0, true
}

func (q *Quota) bucket(name string, now time.Time) *bucket {
	if q.accounts == nil {
		q.accounts = map[string]*bucket{}
	}
	b := q.accounts[name]
	if b == nil {
		b = &bucket{at: now}
		b.share = q.shareOf(name, 0)
		q.accounts[name] = b
	}
	return b
}

// fill adds what the rate gave since the last time.
func (b *bucket) fill(a *catalog.Account, burst float64, now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
		b.level += startPart * burst
		b.own = b.part() * b.level
	}
	got := a.Rate * max(now.Sub(b.filled), 0).Seconds()
	b.filled = now
	b.level = min(b.level+got, burst)
	b.own = min(b.own+b.part()*got, burst)
}

// ask adds to the smoothed demand.
func (b *bucket) ask(size float64, now time.Time) {
	const ln2 = 0.693
	b.asked = b.asked*math.Exp2(-float64(now.Sub(b.at))/float64(demandHalf)) + size*ln2/demandHalf.Seconds()
	b.at = now
}
