// Package rest keeps until when endpoints want no calls of this box, as they asked when they
// refused one.
package rest

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// MaxBackOff bounds the rest that an endpoint is believed to ask for, so that no number is too
// large for a time.
const MaxBackOff = 24 * time.Hour

// retryAfterHeader is where an answer says when to come back.
const retryAfterHeader = "Retry-After"

// BackOffs are the rests that were asked for, by the names of endpoints' incarnations. The zero
// value is ready.
type BackOffs struct {
	mu      sync.Mutex
	until   map[string]time.Time
	lastEnd time.Time // when the last of them ends
}

// ParseRetryAfter returns the rest that the head of a refusal asks for, in seconds or up to a time of day by
// the clock of who asks; zero where it does not, or where it cannot be read.
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

// Extend notes that an endpoint wants no calls for a while; zero is none. A shorter rest does not
// end a longer one.
func (r *BackOffs) Extend(name string, d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[string]time.Time{}
	}
	maps.DeleteFunc(r.until, func(_ string, at time.Time) bool { return !now.Before(at) })
	end := now.Add(d)
	if end.After(r.until[name]) {
		r.until[name] = end
	}
	if end.After(r.lastEnd) {
		r.lastEnd = end
	}
}

// IsEmpty reports whether no endpoint rests, without a look at each.
func (r *BackOffs) IsEmpty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.lastEnd)
}

// Remaining returns how long an endpoint still rests; zero if it takes calls.
func (r *BackOffs) Remaining(name string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remaining(name, now)
}

func (r *BackOffs) remaining(name string, now time.Time) time.Duration {
	return max(r.until[name].Sub(now), 0)
}

// MinRemaining returns when the first of some endpoints takes calls again; zero if one does now, or
// there is none. Name gives the name of an endpoint's incarnation.
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

// Len returns how many endpoints rest.
func (r *BackOffs) Len(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.until {
		if now.Before(at) {
			n++
		}
	}
	return n
}
