// Package answertimes measures how long answers take, from the first send of a request to an endpoint to the end of the answer. It
// does no I/O: times are arguments.
package answertimes

import (
	"math"
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/ring"
)

const (
	// maxSamples bounds the samples of a key, of which the newest count, and maxKeys the keys. Samples of further keys are ignored.
	maxSamples = 64
	maxKeys    = 256

	// maxAge is the age from which a sample no longer counts.
	maxAge = 5 * time.Minute

	// minSamples is the number of samples from which they show what share of the answers takes how long.
	minSamples = 20

	// quantileFactor times the duration that the fraction quantile of the answers does not exceed is a long answer. With few samples
	// it is longestFactor times the longest one, and with none longestFactor times the longest one of the service's other routes.
	quantile       = 0.95
	quantileFactor = 2
	longestFactor  = 3
)

// Estimate is the time within which nearly all answers end, from the first send of their requests on.
type Estimate struct {
	Long    time.Duration // zero if there are no samples
	Samples int
	Age     time.Duration // of the newest sample
}

// Tracker keeps the newest durations of answers by key. Its zero value is ready to use, and its methods may be called concurrently.
type Tracker struct {
	mu      sync.Mutex
	samples map[accuracy.Key]*ring.Ring[sample]
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
	r := t.samples[k]
	if r == nil {
		if len(t.samples) >= maxKeys {
			return
		}
		if t.samples == nil {
			t.samples = map[accuracy.Key]*ring.Ring[sample]{}
		}
		r = ring.New[sample](maxSamples)
		t.samples[k] = r
	}
	r.Add(sample{took, now})
}

// Long returns the estimate for a key.
func (t *Tracker) Long(k accuracy.Key, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	ds, newest := t.recent(t.samples[k], now)
	isOwn := len(ds) > 0
	if !isOwn {
		ds, newest = t.recentOfService(k.Service, now)
	}
	if len(ds) == 0 {
		return Estimate{}
	}
	slices.Sort(ds)
	e := Estimate{Long: longestFactor * ds[len(ds)-1], Samples: len(ds), Age: now.Sub(newest)}
	if isOwn && len(ds) >= minSamples {
		e.Long = quantileFactor * ds[int(math.Ceil(quantile*float64(len(ds))))-1]
	}
	return e
}

// recent returns the durations of a ring that count, and when the newest one ended. The lock must be held.
func (t *Tracker) recent(r *ring.Ring[sample], now time.Time) (ds []time.Duration, newest time.Time) {
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
	for k, r := range t.samples {
		if k.Service != service {
			continue
		}
		more, at := t.recent(r, now)
		if ds = append(ds, more...); at.After(newest) {
			newest = at
		}
	}
	return ds, newest
}
