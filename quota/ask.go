package quota

import (
	"time"

	"birchlink.dev/birchlink/returntime"
)

// Take asks arbiters in order until one admits the request, and returns its answer. The
// order is: this box, if no relay represents it; the home relay of this data centre; the
// account's arbiters. If none admits the request from its free room, Take asks once more the
// one that has a reserve for it, or else the one with the shortest retry delay, which keeps
// the return time. A request that returns early gets the answer of the arbiter that expects
// it, and no other return time. ask reports false if the arbiter did not answer.
func (q *Quota) Take(x Question, now time.Time, ask func(Arbiter, Question) (Answer, bool)) (Answer, Arbiter) {
	soonest, from := Answer{After: unreachableRetryAfter}, Arbiter{}
	answered := false
	x.DataCentre = q.Self.DataCentre
	for _, a := range q.askOrder(x.Account, now) {
		v, ok := ask(a, x)
		if ok && v.OK {
			return v, a
		}
		if ok && x.Class == ClassUnknown {
			x.Class = v.Class
		}
		if ok && v.Part > 0 && (!answered || v.preferredTo(soonest)) {
			soonest, from, answered = v, a, true
		}
	}
	if soonest.HasReserve || soonest.Keeps {
		x.Last = true
		if v, ok := ask(from, x); ok {
			return v, from
		}
	}
	return soonest, from
}

// preferredTo reports whether a refusal is to be preferred over another.
func (v Answer) preferredTo(o Answer) bool {
	if v.HasReserve != o.HasReserve {
		return v.HasReserve
	}
	if early := v.Return == ReturnedEarly; early != (o.Return == ReturnedEarly) {
		return early
	}
	return !v.HasReserve && v.After < o.After // of those with a reserve, the first
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
// rate. Urgent requests may spend the reserve that other requests must leave. Boxes of
// older versions leave out the fields from Route on.
type Question struct {
	Account    string
	Size       float64
	DataCentre string // of the asking box
	Urgent     bool

	Route   string
	Content uint64        // hash of the request's content
	Wait    time.Duration // the longest for which the caller waits before it returns
	Class   Class         // as found by the arbiter asked before; ClassUnknown for the first
	Last    bool          // all others refused: spend the reserve, or keep a return time
}

func (x *Question) key() returntime.Key {
	return returntime.Key{Route: x.Route, Size: x.Size, Content: x.Content}
}

// Answer reports whether a request was admitted and, if not, the delay after which its
// caller may retry. Level is the level of the deciding bucket, in units, and Part is the
// share of the account's rate that fills this bucket.
type Answer struct {
	OK    bool
	After time.Duration
	Level float64
	Part  float64

	Class       Class
	FromReserve bool   // admitted from the reserve of small requests
	HasReserve  bool   // refused, but the reserve covers the request
	Keeps       bool   // the arbiter keeps the return time if asked to
	Placed      bool   // the request has a place, which is due after After
	Return      Return // whether the request returned to its place
}

// Return says whether a request was recognised as one that returns.
type Return string

// The ways of returning.
const (
	NotReturned   Return = ""
	ReturnedEarly Return = "early"
	ReturnedDue   Return = "due"
)

// maxRetryAfter bounds the retry delay of a refused caller. A window is empty after at
// most this time.
const maxRetryAfter = defaultWindow

// Ask decides a question from this box's bucket. A request may be larger than the
// capacity of a bucket, so it is admitted while the level is positive, and the level
// becomes negative. Many boxes with a small share each would together admit too much
// that way, so below smallShare the level must cover a random fraction of the size, which
// admits a request with a probability of the level divided by the size.
//
// What the places of refused requests hold is not admitted to others. A place is honoured when
// due, also if the share has shrunk since: all places together hold what accrues within
// returntime.MaxWait.
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
	v := Answer{Part: share, Class: q.classify(b, x, now)}
	returned, place, due, ahead := b.findReturn(x.key(), now)
	v.Return = returned
	if x.DataCentre == q.Self.DataCentre && v.Return != ReturnedEarly && !x.Last {
		b.demand.add(x.Size, now)
	}
	need, least := 0.0, 0.0
	if !x.Urgent {
		need = urgentReserve * share * b.burst
	}
	if share < smallShare {
		least = x.Size * q.Rand()
		need = max(need, least)
	}
	free := b.level - ahead
	switch {
	case free > 0 && free >= need, v.Return == ReturnedDue:
	case !b.reserveCovers(v.Class, share, least):
		return q.refuse(b, x, v, place, due, need-free, now)
	case !x.Last:
		v.HasReserve = true
		return q.refuse(b, x, v, place, due, need-free, now)
	default:
		b.reserve -= x.Size
		v.FromReserve = true
	}
	if place >= 0 {
		b.line.Remove(place)
	}
	b.level -= x.Size
	v.OK, v.Level = true, b.level
	return v
}

// refuse completes the answer to a question that is not admitted. lacking is what the level
// lacks.
func (q *Quota) refuse(b *bucket, x Question, v Answer, place int, due time.Time, lacking float64, now time.Time) Answer {
	v.Level = b.level
	wait := lacking / max(b.rate*v.Part, 1)
	if v.HasReserve {
		v.After = min(q.returnAfter(wait), maxRetryAfter) // counts only if the reserve is not granted
		return v
	}
	if v.Return == ReturnedEarly {
		v.Placed, v.After = place >= 0, due.Sub(now)
		return v
	}
	if q.keepsReturnTimes(x, v.Part) {
		return q.keepReturnTime(b, x, v, wait, now)
	}
	b.backlog = min(b.backlog+x.Size, b.rate*maxRetryAfter.Seconds())
	wait += b.backlog / max(b.rate, 1)
	v.After = min(time.Duration(wait*float64(time.Second)), maxRetryAfter)
	return v
}

const (
	urgentReserve = 0.1  // share of a bucket's capacity reserved for urgent requests
	smallShare    = 0.12 // share of the rate below which a bucket is one of many
)
