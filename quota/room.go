package quota

import (
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/returntime"
)

const (
	// overdraftShare is the share of a bucket's capacity by which small requests may overdraw it beyond
	// the debt that a large request leaves. It is that of urgentReserve.
	overdraftShare = 0.1

	// toleratedReserveShare is the share of the tolerated overage that bounds the reserve, which is
	// spent on top of a full bucket. Without any tolerance there is no reserve.
	toleratedReserveShare = 0.25

	// reserveRate is the share of the rate that fills the reserve. Small requests cannot take more
	// than that from large ones while the bucket is overdrawn.
	reserveRate = 0.25

	// usualReserve is the share of the reserve that is left to routes whose callers wait less than
	// usual.
	usualReserve = 0.5

	// minReturn is the minimum of the Retry-After header.
	minReturn = 50 * time.Millisecond

	// staggerOver is the time over which the relays of an account stagger their return times. Relays
	// with equal shares would otherwise name the same moments.
	staggerOver = 10 * time.Millisecond
)

// maxReserve returns the units by which small requests may overdraw all buckets of an account together,
// given their capacity.
func (t Tolerance) maxReserve(a *catalog.Account, burst float64) float64 {
	return min(overdraftShare*burst, toleratedReserveShare*t.toleratedOverage(a))
}

// overdraft returns the units by which small requests may overdraw a bucket.
func (b *bucket) overdraft(share float64) float64 { return share * b.maxReserve }

// fillReserve adds what a number of granted units adds to the reserve. The reserve lies below a level
// of zero, so that it takes nothing from an account within its limit.
func (b *bucket) fillReserve(granted, share float64) {
	b.reserve = min(b.reserve+reserveRate*granted, b.overdraft(share))
}

// classify returns the class of a request, and counts it if no other arbiter has. The first arbiter
// sees all requests of its data centre, the next ones mostly large requests.
func (q *Quota) classify(b *bucket, x Question, now time.Time) Class {
	if !q.Reserve || x.Route == "" {
		return ClassUnknown
	}
	if x.Class != ClassUnknown {
		return x.Class
	}
	b.classes.add(x, now)
	return b.classes.class(x.Route)
}

// reserveCovers reports whether a request may spend the reserve. In a bucket with a small share it
// must cover least, a random fraction of the size. Otherwise the size does not decide.
func (b *bucket) reserveCovers(c Class, share, least float64) bool {
	left := b.reserve
	switch c {
	case ClassBrief:
	case ClassSmall:
		left -= usualReserve * b.overdraft(share)
	default:
		return false
	}
	return left > 0 && left >= least
}

// returnAfter returns the delay after which a caller is told to return, given when tokens will have
// accrued.
func (q *Quota) returnAfter(seconds float64) time.Duration {
	stagger := time.Duration(rendezvous.Hash(q.Self.Box) % uint64(staggerOver))
	return max(time.Duration(seconds*float64(time.Second)), minReturn) + stagger
}

// keepsReturnTimes reports whether this box keeps a place or a return time for a request. A bucket with
// a small share keeps none: it is that of a box that represents few others, and a caller that returns
// is likely to ask elsewhere.
func (q *Quota) keepsReturnTimes(x Question, share float64) bool {
	return q.ReturnTimes && x.Route != "" && share >= smallShare
}

// findReturn returns how a request returns, the index of its place or -1, and when it is or was due.
// ahead is what the places before it hold, or all places if it has none.
func (b *bucket) findReturn(k returntime.Key, now time.Time) (r Return, place int, due time.Time, ahead float64) {
	place, due, ahead = b.line.Find(k)
	switch {
	case place >= 0 && due.Sub(now) <= returntime.RoundingError:
		return ReturnedDue, place, due, ahead
	case place >= 0:
		return ReturnedEarly, place, due, ahead
	}
	if due, ok := b.line.Told(k, now); ok {
		return ReturnedEarly, place, due, ahead
	}
	return NotReturned, place, due, ahead
}

// keepReturnTime completes the answer to a request that is refused for the first time. lacking is how
// long the bucket lacks tokens for it. A request that cannot be served within its caller's time, or
// only late, gets no place: it would hold tokens that serve others in time. It is told when there is
// room after those that were told before. Only a question with Last set changes anything.
func (q *Quota) keepReturnTime(b *bucket, x Question, v Answer, lacking float64, now time.Time) Answer {
	v.Keeps = true
	v.After = q.returnAfter(lacking)
	if v.After <= min(x.Wait, returntime.MaxWait) && !b.line.Full() {
		if x.Last {
			b.line.Add(x.key(), now.Add(v.After))
			v.Placed = true
		}
		return v
	}
	v.After = min(q.returnAfter(lacking+(b.backlog+x.Size)/max(b.rate*v.Part, 1)), maxRetryAfter)
	if x.Last {
		b.backlog = min(b.backlog+x.Size, b.rate*v.Part*maxRetryAfter.Seconds())
		b.line.Tell(x.key(), now.Add(min(v.After, x.Wait)), now)
	}
	return v
}
