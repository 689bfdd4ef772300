package quota

import (
	"time"
)

// Take asks for a request in turn until one lets it in: a box that no relay counts
// itself, the relay of this data centre that keeps a part at home, then the account's
// arbiters. If none lets it in, the answer is that of the one with the soonest way
// back; ask reports false for one that did not answer.
func (q *Quota) Take(x Question, now time.Time, ask func(Arbiter, Question) (Answer, bool)) (Answer, Arbiter) {
	soonest, from := Answer{After: unreachableRetryAfter}, Arbiter{}
	heard := false
	x.DataCentre = q.Self.DataCentre
	for _, a := range q.askOrder(x.Account, now) {
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
const unreachableRetryAfter = leaseDuration / 2

// order returns whom to ask for an account, in turn.
func (q *Quota) askOrder(account string, now time.Time) []Arbiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := askOrder(q.Self, q.arbiters, account)
	if containsBox(out, q.Self.Box) {
		return out
	}
	if _, part := q.lessee.granted(account, shard(account), now, now); part > 0 {
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
const maxRetryAfter = defaultWindow

// Ask answers a question by this box's bucket. A request may be larger than what a
// bucket ever holds, so it is let in while anything is left, and what it takes beyond
// that is owed. Many boxes with a small part each would together let in too much in
// that way: there a request is let in as often as what is left pays for it.
func (q *Quota) Ask(x Question, now time.Time) Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[x.Account]
	if b == nil {
		return Answer{After: unreachableRetryAfter}
	}
	part := q.fill(b, now)
	if part <= 0 && b.level <= 0 {
		return Answer{After: unreachableRetryAfter, Level: b.level}
	}
	if x.DataCentre == q.Self.DataCentre {
		b.demand.add(x.Size, now)
	}
	need := 0.0
	if !x.Urgent {
		need = urgentReserve * part * b.burst
	}
	if part < smallShare {
		need = max(need, x.Size*q.Chance())
	}
	if b.level > 0 && b.level >= need {
		b.level -= x.Size
		return Answer{OK: true, Level: b.level, Part: part}
	}
	b.backlog = min(b.backlog+x.Size, b.rate*maxRetryAfter.Seconds())
	wait := b.backlog/max(b.rate, 1) + (need-b.level)/max(b.rate*part, 1)
	return Answer{After: min(time.Duration(wait*float64(time.Second)), maxRetryAfter), Level: b.level, Part: part}
}

// urgentPart is the part of its bucket that an account short of its rate keeps for
// its most urgent requests; smallPart the part of the rate below which a bucket is one
// of many.
const (
	urgentReserve = 0.1
	smallShare    = 0.12
)
