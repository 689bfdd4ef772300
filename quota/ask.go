package quota

import (
	"time"
)

// Take asks arbiters in order until one admits the request, and returns its answer. The
// order is: this box, if no relay represents it; the home relay of this data centre; the
// account's arbiters. If none admits the request, Take returns the refusal with the
// shortest retry delay. ask reports false if the arbiter did not answer.
func (q *Quota) Take(x Question, now time.Time, ask func(Arbiter, Question) (Answer, bool)) (Answer, Arbiter) {
	soonest, from := Answer{After: unreachableRetryAfter}, Arbiter{}
	answered := false
	x.DataCentre = q.Self.DataCentre
	for _, a := range q.askOrder(x.Account, now) {
		v, ok := ask(a, x)
		if ok && v.OK {
			return v, a
		}
		if ok && v.Part > 0 && (!answered || v.After < soonest.After) {
			soonest, from, answered = v, a, true
		}
	}
	return soonest, from
}

// unreachableRetryAfter is the retry delay given to a caller if no arbiter could be
// reached. Leases have moved to other boxes by then.
const unreachableRetryAfter = leaseDuration / 2

// askOrder returns the arbiters to ask for an account, in order.
func (q *Quota) askOrder(account string, now time.Time) []Arbiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := askOrder(q.Self, q.arbiters, account)
	if containsBox(out, q.Self.Box) {
		return out
	}
	if _, share := q.lessee.granted(account, shard(account), now, now); share > 0 {
		return append([]Arbiter{q.Self}, out...)
	}
	return out
}

// Question asks whether a request may be admitted. Size is in units of the account's
// rate. Urgent requests may spend the reserve that other requests must leave.
type Question struct {
	Account    string
	Size       float64
	DataCentre string // of the asking box
	Urgent     bool
}

// Answer reports whether a request was admitted and, if not, the delay after which its
// caller may retry. Level is the level of the deciding bucket, in units, and Part is the
// share of the account's rate that fills this bucket.
type Answer struct {
	OK    bool
	After time.Duration
	Level float64
	Part  float64
}

// maxRetryAfter bounds the retry delay of a refused caller. A window is empty after at
// most this time.
const maxRetryAfter = defaultWindow

// Ask decides a question from this box's bucket. A request may be larger than the
// capacity of a bucket, so it is admitted while the level is positive, and the level
// becomes negative. Many boxes with a small share each would together admit too much
// that way, so below smallShare the level must cover a random fraction of the size, which
// admits a request with a probability of the level divided by the size.
func (q *Quota) Ask(x Question, now time.Time) Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[x.Account]
	if b == nil {
		return Answer{After: unreachableRetryAfter}
	}
	share := q.fill(b, now)
	if share <= 0 && b.level <= 0 {
		return Answer{After: unreachableRetryAfter, Level: b.level}
	}
	if x.DataCentre == q.Self.DataCentre {
		b.demand.add(x.Size, now)
	}
	need := 0.0
	if !x.Urgent {
		need = urgentReserve * share * b.burst
	}
	if share < smallShare {
		need = max(need, x.Size*q.Rand())
	}
	if b.level > 0 && b.level >= need {
		b.level -= x.Size
		return Answer{OK: true, Level: b.level, Part: share}
	}
	b.backlog = min(b.backlog+x.Size, b.rate*maxRetryAfter.Seconds())
	wait := b.backlog/max(b.rate, 1) + (need-b.level)/max(b.rate*share, 1)
	return Answer{After: min(time.Duration(wait*float64(time.Second)), maxRetryAfter), Level: b.level, Part: share}
}

const (
	urgentReserve = 0.1  // share of a bucket's capacity reserved for urgent requests
	smallShare    = 0.12 // share of the rate below which a bucket is one of many
)
