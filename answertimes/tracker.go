// Package answertimes measures how long answers take, from the first send of a request to an endpoint to the end of the answer. It
// does no I/O: times are arguments.
package answertimes

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/ring"
)

const (
	// maxSamples bounds the samples of a key, of which the newest count, and maxKeys the keys, of which those used last are kept.
	maxSamples = 64
	maxKeys    = 256

	// maxAge is the age from which a sample no longer counts.
	maxAge = 5 * time.Minute

	// fewSamples over the number of samples is what is added to an estimate, as a part of it, since few of them miss longer answers.
	fewSamples = 2

	// otherRoutesFactor times the longest answer of a service's other routes is the estimate for one without samples.
	otherRoutesFactor = 3
)

// Estimate is the time within which a part of the answers end, from the first send of their requests on. If IsBound is set, it is only
// known that they take longer: their requests ended at their deadlines.
type Estimate struct {
	Long    time.Duration // zero if there are no samples
	IsBound bool
	Samples int
	Age     time.Duration // of the newest sample
}

// Tracker keeps the newest durations of answers by key. Its zero value is ready to use, and its methods may be called concurrently.
type Tracker struct {
	mu      sync.Mutex
	samples *simplelru.LRU[accuracy.Key, *ring.Ring[sample]] // nil before the first one
}

// sample is one answer, which would have taken longer if isBound is set.
type sample struct {
	took    time.Duration
	isBound bool
	at      time.Time // when it ended
}

// compare orders samples by the time that they took, as far as it is known.
func compare(a, b sample) int {
	if a.isBound != b.isBound {
		if a.isBound {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.took, b.took)
}

// Record records an answer that ended whole. Answers whose callers left tell nothing.
func (t *Tracker) Record(k accuracy.Key, took time.Duration, now time.Time) {
	t.record(k, sample{took: took, at: now})
}

// RecordBound records an answer that was not whole when its request ended at its deadline.
func (t *Tracker) RecordBound(k accuracy.Key, took time.Duration, now time.Time) {
	t.record(k, sample{took: took, isBound: true, at: now})
}

func (t *Tracker) record(k accuracy.Key, s sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.samples == nil {
		t.samples, _ = simplelru.NewLRU[accuracy.Key, *ring.Ring[sample]](maxKeys, nil) // the size is above zero
	}
	r, ok := t.samples.Get(k)
	if !ok {
		r = ring.New[sample](maxSamples)
		t.samples.Add(k, r)
	}
	r.Add(s)
}

// Long returns the time that the fraction p of the answers of a key does not exceed.
func (t *Tracker) Long(k accuracy.Key, p float64, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.samples == nil {
		return Estimate{}
	}
	r, _ := t.samples.Peek(k)
	ss := recent(r, now)
	isOwn := len(ss) > 0
	if !isOwn {
		ss = t.recentOfService(k.Service, now)
	}
	ss = dropLowBounds(ss)
	n := len(ss)
	if n == 0 {
		return Estimate{}
	}
	newest := slices.MaxFunc(ss, func(a, b sample) int { return a.at.Compare(b.at) })
	slices.SortFunc(ss, compare)
	at := ss[n-1]
	if isOwn {
		at = ss[int(math.Ceil(p*float64(n)))-1]
	}
	e := Estimate{Long: otherRoutesFactor * at.took, IsBound: at.isBound, Samples: n, Age: now.Sub(newest.at)}
	if isOwn {
		e.Long = at.took + fewSamples*at.took/time.Duration(n)
	}
	return e
}

// dropLowBounds removes the bounds below the longest answer that was whole, which say nothing of how many answers take longer than that.
func dropLowBounds(ss []sample) []sample {
	var longest time.Duration
	for _, s := range ss {
		if !s.isBound {
			longest = max(longest, s.took)
		}
	}
	return slices.DeleteFunc(ss, func(s sample) bool { return s.isBound && s.took < longest })
}

// recent returns the samples of a ring that count. The lock must be held.
func recent(r *ring.Ring[sample], now time.Time) (ss []sample) {
	if r == nil {
		return nil
	}
	for s := range r.Newest() {
		if now.Sub(s.at) > maxAge {
			break
		}
		ss = append(ss, s)
	}
	return ss
}

// recentOfService is recent for all routes of a service.
func (t *Tracker) recentOfService(service string, now time.Time) (ss []sample) {
	for _, k := range t.samples.Keys() {
		if k.Service == service {
			r, _ := t.samples.Peek(k)
			ss = append(ss, recent(r, now)...)
		}
	}
	return ss
}
