// Package throttle decides whether requests may be sent to endpoints that limit the request rate
// of all boxes together. Each box grants requests only from the share of the rate that is leased
// to it, so all boxes together stay within the rate even while the network is partitioned.
package throttle

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minPerSecond is the lowest rate, in requests per second, at which an endpoint is used. An
	// endpoint that states a lower rate still gets requests at this rate, since only its answers
	// show that its limit has risen.
	minPerSecond = 0.2

	// burstWindow is the time over which unused rate accumulates, in addition to one request.
	burstWindow = 500 * time.Millisecond

	// minRetryAfter is the shortest retry time in a refusal.
	minRetryAfter = time.Millisecond

	// maxSpread bounds by how much the retry times of successive refusals are spread. Callers that
	// were refused may not return, so the number that wait is an estimate.
	maxSpread = time.Second

	// leaseMoveTime is the time within which a box's share may grow to the whole rate. The retry
	// time in a refusal is at most that, or the time in which the whole rate would allow the
	// request if that is longer.
	leaseMoveTime = 2 * time.Second

	// unleasedRetryAfter is the retry time in the refusal of a box that holds no share of the rate.
	unleasedRetryAfter = time.Second

	// maxBuckets bounds the number of endpoints with a bucket. An evicted endpoint restarts with
	// an empty bucket.
	maxBuckets = 4096
)

// Leases reports the shares of rates that are leased to this box.
type Leases interface {
	// Accrued returns the integral of the box's share of the named rate over time, in seconds, and
	// the current share, from 0 to 1.
	Accrued(name string, now time.Time) (seconds, share float64)
}

// Question asks whether one more request may be sent to an endpoint, named by its incarnation.
// PerSecond is the rate that the endpoint stated, and Age is the time since then.
type Question struct {
	Endpoint  string
	PerSecond float64
	Age       time.Duration
}

// Answer reports whether the request may be sent and, if not, the time after which to ask again.
// Part is the share of the rate on which the decision is based, from 0 to 1. It is zero if no
// share is leased to the box that answered.
type Answer struct {
	OK    bool
	After time.Duration
	Part  float64
}

// Throttle enforces the shares that are leased to one box. The zero value with Leases set is
// ready to use.
type Throttle struct {
	Leases Leases

	mu      sync.Mutex
	buckets *simplelru.LRU[string, *bucket]
}

// bucket is a token bucket for one endpoint. A request takes a whole token: if a fraction sufficed,
// each of many boxes with a small share could send a request at the same time.
type bucket struct {
	leased  float64 // result of Leases.Accrued, in seconds, at the last fill
	level   float64 // tokens
	waiting float64 // refused callers whose retry time is still ahead
}

// Ask answers q and, if the request may be sent, takes one token from the endpoint's bucket.
func (t *Throttle) Ask(q Question, now time.Time) Answer {
	leased, share := t.Leases.Accrued(q.Endpoint, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(q.Endpoint, leased)
	rate := max(q.PerSecond, minPerSecond)
	b.fill(leased, rate, max(1, share*(1+rate*burstWindow.Seconds())))
	if b.level >= 1 {
		b.level--
		return Answer{OK: true, Part: share}
	}
	if share <= 0 {
		return Answer{After: unleasedRetryAfter}
	}
	missing := 1 - b.level + b.waiting
	b.waiting = min(b.waiting+1, share*rate*maxSpread.Seconds())
	after := min(toDuration(missing/(share*rate)), max(toDuration(missing/rate), leaseMoveTime))
	return Answer{After: max(after, minRetryAfter), Part: share}
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fill adds the tokens that the leases provided since the last fill, up to capacity.
func (b *bucket) fill(leased, rate, capacity float64) {
	n := (leased - b.leased) * rate
	b.leased = leased
	b.level = min(b.level+n, capacity)
	b.waiting = max(b.waiting-n, 0)
}

func (t *Throttle) bucket(endpoint string, leased float64) *bucket {
	if t.buckets == nil {
		t.buckets, _ = simplelru.NewLRU[string, *bucket](maxBuckets, nil) // fails only for a size of zero or less
	}
	b, ok := t.buckets.Get(endpoint)
	if !ok {
		b = &bucket{leased: leased}
		t.buckets.Add(endpoint, b)
	}
	return b
}
