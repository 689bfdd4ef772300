// Package throttle decides which requests may be sent to endpoints that take a bounded rate from
// all boxes together. A box that is asked answers for the part of the rate that is leased to it,
// so that all boxes together send no more than the rate, whoever of them is cut off.
package throttle

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// leastPerSecond is the rate at which an endpoint that names a lower one is sent requests all
	// the same: only its answers tell that it takes more again.
	leastPerSecond = 0.2

	// burstFor is the time for which a rate that nobody used may be made up for, beside one request.
	burstFor = 500 * time.Millisecond

	// soonest is the least time after which it is worth to ask again.
	soonest = time.Millisecond

	// longestQueue bounds the time by which one refusal is told a later time than another: those
	// that are told one may not come.
	longestQueue = time.Second

	// leasesMove is the time in which the part that a box has may grow to all of the rate. A box that
	// was refused asks again by then, or when all of the rate gives a request.
	leasesMove = 2 * time.Second

	// unleased is when a box asks again that asked one without a part of the rate.
	unleased = time.Second

	// maxBuckets bounds the endpoints that a box answers for. One that is forgotten begins with
	// nothing.
	maxBuckets = 4096
)

// Leases tells what is leased to this box.
type Leases interface {
	// Given returns how many seconds' worth of the rate of a name this box was given up to now,
	// and the part of the rate that it has now.
	Given(name string, now time.Time) (seconds, part float64)
}

// Question asks whether one more request may be sent to an endpoint, an incarnation, of which a
// rate was heard Age ago.
type Question struct {
	Endpoint  string
	PerSecond float64
	Age       time.Duration
}

// Answer says whether it may, else after how long it is worth to ask again. Part is the part of
// the rate that the answer rests on, zero if none is leased to the box that gave it.
type Answer struct {
	OK    bool
	After time.Duration
	Part  float64
}

// Throttle answers for what is leased to one box. Its zero value with Leases is ready.
type Throttle struct {
	Leases Leases

	mu      sync.Mutex
	buckets *simplelru.LRU[string, *bucket]
}

// bucket holds the requests that may be sent to one endpoint now. A request takes a whole one: with
// a part of one for each of many boxes, all of them would send one at once.
type bucket struct {
	given float64 // seconds' worth of the rate, when it was last filled
	level float64
	queue float64 // refusals that were told a time which is not over yet
}

// Ask answers a question, and takes a request out of the bucket if it may be sent.
func (t *Throttle) Ask(q Question, now time.Time) Answer {
	given, part := t.Leases.Given(q.Endpoint, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(q.Endpoint, given)
	rate := max(q.PerSecond, leastPerSecond)
	b.fill(given, rate, max(1, part*(1+rate*burstFor.Seconds())))
	if b.level >= 1 {
		b.level--
		return Answer{OK: true, Part: part}
	}
	if part <= 0 {
		return Answer{After: unleased}
	}
	missing := 1 - b.level + b.queue
	b.queue = min(b.queue+1, part*rate*longestQueue.Seconds())
	after := min(inSeconds(missing/(part*rate)), max(inSeconds(missing/rate), leasesMove))
	return Answer{After: max(after, soonest), Part: part}
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fill adds what the leases gave, up to a most.
func (b *bucket) fill(given, rate, most float64) {
	n := (given - b.given) * rate
	b.given = given
	b.level = min(b.level+n, most)
	b.queue = max(b.queue-n, 0)
}

func (t *Throttle) bucket(endpoint string, given float64) *bucket {
	if t.buckets == nil {
		t.buckets, _ = simplelru.NewLRU[string, *bucket](maxBuckets, nil) // the size is above zero
	}
	b, ok := t.buckets.Get(endpoint)
	if !ok {
		b = &bucket{given: given}
		t.buckets.Add(endpoint, b)
	}
	return b
}
