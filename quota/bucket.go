package quota

import (
	"math"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// debtPart is the most that a bucket may owe, as a part of what its account's rate
// gives in a window: one request may be larger than that, and the account is not to be
// refused for minutes.
const maxDebtShare = 0.75

// bucket is the token bucket of one account at one box, which fills by the leases
// that the box holds.
type bucket struct {
	account  string
	shard    int
	rate     float64 // the account's, units a second
	burst    float64
	level    float64
	backlog  float64 // what callers were told to come back for, and may not have
	demand   demand
	filledAt time.Time
}

// bucket returns an account's bucket under its limit of now.
func (q *Quota) updateBucket(a *catalog.Account, now time.Time) *bucket {
	if q.buckets == nil {
		q.buckets = map[string]*bucket{}
	}
	rate, burst := q.bucketLimit(a)
	b := q.buckets[a.Name]
	if b == nil {
		b = &bucket{account: a.Name, shard: shard(a.Name), rate: rate, burst: burst, filledAt: now}
		q.buckets[a.Name] = b
	}
	if b.rate != rate || b.burst != burst {
		q.fill(b, now)
		b.rate, b.burst = rate, burst
	}
	return b
}

func (q *Quota) fillAll(now time.Time) {
	for _, b := range q.buckets {
		q.fill(b, now)
	}
}

// fill adds what the rate gave since the last time, by the leases that were held, and
// returns the part of the rate that this box has now. What a lease left behind goes
// with it: all buckets together never hold more than one burst.
//
// A young process keeps what its part gives beyond that, until it is seedFor old. While
// boxes speak for themselves a part of the burst is less than a request: where 70 boxes
// have started anew and an account asks for 0.55 of its rate in requests of a twentieth
// of its burst, 32 of 140 are refused in 2.5 s, and 61 where the burst bounds it
// (TestManyRestartedUnderTheRate). All parts together are given no more than the rate.
func (q *Quota) fill(b *bucket, now time.Time) float64 {
	given, part := q.lessee.granted(b.account, b.shard, b.filledAt, now)
	passed := max(now.Sub(b.filledAt), 0).Seconds()
	b.filledAt = now
	b.level += given * b.rate
	if q.age(now) > restoreMaxAge {
		b.level = min(b.level, part*b.burst)
	}
	b.level = max(b.level, -maxDebtShare*b.rate*q.window().Seconds())
	b.backlog = max(b.backlog-passed*b.rate, 0)
	return part
}

// lack returns what the buckets of this box lack, of accounts that lack a twentieth or
// more of what it may hold.
func (q *Quota) deficits() map[string]float64 {
	const least = 0.05
	var out map[string]float64
	for n, b := range q.buckets {
		_, part := q.lessee.granted(b.account, b.shard, b.filledAt, b.filledAt)
		d := part*b.burst - b.level
		if d <= least*part*b.burst || d <= 0 {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[n] = d
	}
	return out
}

// asked returns what accounts are asked for here by boxes of this data centre.
func (q *Quota) localDemand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for n, b := range q.buckets {
		b.demand.decay(now)
		if b.demand.rate >= 1 {
			out[n] = math.Round(b.demand.rate)
		}
	}
	return out
}
