// Package backoff records the back-off periods that endpoints request of this box in the Retry-After
// header of a refusal.
package backoff

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// MaxBackOff is the longest back-off period that is accepted. It keeps large numbers from
// overflowing a time.Duration.
const MaxBackOff = 24 * time.Hour

// retryAfterHeader is the header that carries the back-off period.
const retryAfterHeader = "Retry-After"

// BackOffs holds the back-off periods of endpoints by the names of their incarnations. The zero
// value is ready to use, and its methods may be called concurrently.
type BackOffs struct {
	mu      sync.Mutex
	until   map[string]time.Time
	lastEnd time.Time // latest end of any period
}

// ParseRetryAfter returns the back-off period that the header of a refusal asks for, as a number of
// seconds, which may have a fraction, or as a date relative to the Date header. It returns 0 if
// there is none or it cannot be parsed, and at most MaxBackOff.
func ParseRetryAfter(h http.Header) time.Duration {
	v := h.Get(retryAfterHeader)
	if s, err := strconv.ParseFloat(v, 64); err == nil {
		if !(s > 0) {
			return 0
		}
		return time.Duration(min(s, MaxBackOff.Seconds()) * float64(time.Second))
	}
	at, err1 := http.ParseTime(v)
	now, err2 := http.ParseTime(h.Get("Date"))
	if err1 != nil || err2 != nil {
		return 0
	}
	return min(max(at.Sub(now), 0), MaxBackOff)
}

// Extend records that an endpoint asked this box to back off for the time d. It does nothing if d is
// not positive, and does not shorten a period that ends later.
func (b *BackOffs) Extend(name string, d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	maps.DeleteFunc(b.until, func(_ string, at time.Time) bool { return !now.Before(at) })
	end := now.Add(d)
	if end.After(b.until[name]) {
		b.until[name] = end
	}
	if end.After(b.lastEnd) {
		b.lastEnd = end
	}
}

// IsEmpty reports whether no endpoint backs off, without looking at each.
func (b *BackOffs) IsEmpty(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.lastEnd)
}

// Remaining returns how long an endpoint still backs off. It returns 0 if it accepts calls.
func (b *BackOffs) Remaining(name string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(name, now)
}

func (b *BackOffs) remaining(name string, now time.Time) time.Duration {
	return max(b.until[name].Sub(now), 0)
}

// MinRemaining returns how long until the first of the endpoints accepts calls. It returns 0 if one
// does now or es is empty. The function name returns the name of an endpoint's incarnation.
func MinRemaining[E any](r *BackOffs, es []E, name func(E) string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Duration
	for _, e := range es {
		d := r.remaining(name(e), now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}

// Len returns the number of endpoints that back off.
func (b *BackOffs) Len(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.until {
		if now.Before(at) {
			n++
		}
	}
	return n
}
