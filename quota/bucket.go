package quota

import (
	"math"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/returntime"
)

// maxDebtShare is the largest debt of a bucket, as a share of what the account's rate
// yields in a window. A single request may be larger than that and must not block its
// account for minutes.
const maxDebtShare = 0.75

// bucket is the token bucket of one account at one box. The leases that the box holds
// fill it.
type bucket struct {
	account string
	shard   int
	rate    float64 // of the whole account, units a second
	burst   float64
	level   float64
	backlog float64 // units of refused requests that are expected to be retried
	reserve float64 // units that small requests may overdraw

	maxReserve float64 // of all buckets of the account together

	classes  classes
	line     returntime.Line // places of refused requests
	demand   demand
	filledAt time.Time
}

// updateBucket returns the bucket of an account after setting it to the account's current
// limit.
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
	b.maxReserve = q.maxReserve(a, burst)
	return b
}

func (q *Quota) fillAll(now time.Time) {
	for _, b := range q.buckets {
		q.fill(b, now)
	}
}

// fill adds the tokens accrued from leases since the last call and returns this box's
// current share of the rate. The level is capped by the current share of the burst,
// so tokens of a lease that has ended are dropped and all buckets together never hold more
// than one burst.
//
// The cap does not apply to a process younger than restoreMaxAge. While boxes represent
// only themselves, a box's share of the burst is smaller than a request. When 70 boxes
// restart and an account sends 0.55 of its rate in requests of a twentieth of its burst, 32
// of 140 requests are refused in 2.5 s, and 61 with the cap
// (TestRestartBelowRateWithLargeRequests). All shares together still accrue no more than
// the rate.
func (q *Quota) fill(b *bucket, now time.Time) float64 {
	granted, share := q.lessee.granted(b.account, b.shard, b.filledAt, now)
	elapsed := max(now.Sub(b.filledAt), 0).Seconds()
	b.filledAt = now
	b.level += granted * b.rate
	if q.age(now) > restoreMaxAge {
		b.level = min(b.level, share*b.burst)
	}
	b.level = max(b.level, -maxDebtShare*b.rate*q.window().Seconds())
	if q.ReturnTimes && share >= smallShare {
		b.backlog = max(b.backlog-granted*b.rate, 0) // told by this box alone
	} else {
		b.backlog = max(b.backlog-elapsed*b.rate, 0)
	}
	b.fillReserve(granted*b.rate, share)
	b.line.Expire(now)
	return share
}

// deficits returns how many units the buckets of this box are below their capacity, for
// accounts whose deficit is more than a twentieth of it.
func (q *Quota) deficits() map[string]float64 {
	const minDeficit = 0.05
	var out map[string]float64
	for n, b := range q.buckets {
		_, share := q.lessee.granted(b.account, b.shard, b.filledAt, b.filledAt)
		deficit := share*b.burst - b.level
		if deficit <= minDeficit*share*b.burst || deficit <= 0 {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[n] = deficit
	}
	return out
}

// localDemand returns the demand of each account at this box by boxes of its data centre,
// in units a second.
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
