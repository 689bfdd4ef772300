// Package answertimes measures how long answers take, from the first send of a request to an endpoint to the end of the answer. It
// does no I/O: times are arguments.
package answertimes

import (
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

// Estimate is the time within which a part of the answers end, from the first send of their requests on.
type Estimate struct {
	Long    time.Duration // zero if there are no samples
	Samples int
	Age     time.Duration // of the newest sample
}

// Tracker keeps the newest durations of answers by key. Its zero value is ready to use, and its methods may be called concurrently.
type Tracker struct {
	mu      sync.Mutex
	samples *simplelru.LRU[accuracy.Key, *ring.Ring[sample]] // nil before the first one
}

// sample is one answer.
type sample struct {
	took time.Duration
	at   time.Time // when it ended
}

// Record records an answer that ended whole or at the deadline of its request. Answers whose callers left tell nothing.
func (t *Tracker) Record(k accuracy.Key, took time.Duration, now time.Time) {
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
	r.Add(sample{took, now})
}

// Long returns the time that the fraction p of the answers of a key does not exceed.
func (t *Tracker) Long(k accuracy.Key, p float64, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.samples == nil {
		return Estimate{}
	}
	r, _ := t.samples.Peek(k)
	ds, newest := recent(r, now)
	isOwn := len(ds) > 0
	if !isOwn {
		ds, newest = t.recentOfService(k.Service, now)
	}
	n := len(ds)
	if n == 0 {
		return Estimate{}
	}
	slices.Sort(ds)
	e := Estimate{Long: otherRoutesFactor * ds[n-1], Samples: n, Age: now.Sub(newest)}
	if isOwn {
		d := ds[int(math.Ceil(p*float64(n)))-1]
		e.Long = d + fewSamples*d/time.Duration(n)
	}
	return e
}

// recent returns the durations of a ring that count, and when the newest one ended. The lock must be held.
func recent(r *ring.Ring[sample], now time.Time) (ds []time.Duration, newest time.Time) {
	if r == nil {
		return nil, newest
	}
	for s := range r.Newest() {
		if now.Sub(s.at) > maxAge {
			break
		}
		if ds = append(ds, s.took); s.at.After(newest) {
			newest = s.at
		}
	}
	return ds, newest
}

// recentOfService is recent for all routes of a service.
func (t *Tracker) recentOfService(service string, now time.Time) (ds []time.Duration, newest time.Time) {
	for _, k := range t.samples.Keys() {
		if k.Service != service {
			continue
		}
		r, _ := t.samples.Peek(k)
		more, at := recent(r, now)
		if ds = append(ds, more...); at.After(newest) {
			newest = at
		}
	}
	return ds, newest
}
