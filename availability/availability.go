// Package availability answers whether an endpoint takes a request now and, if not, from when:
// by the rest that it asked this box for, and by the rate that it takes from all boxes together.
package availability

import (
	"maps"
	"sync"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/rest"
	"birchlink.dev/birchlink/stated"
)

// Availability is what one box knows. Its zero value is ready. Endpoints are named by their
// incarnations.
type Availability struct {
	// Rates are the rates that endpoints take from all boxes together.
	Rates stated.Rates

	backOffs rest.BackOffs

	mu      sync.Mutex
	skipped map[string]skip
	lastEnd time.Time // when the last of them ends
}

// skip says until when no request may be sent to an endpoint that takes a rate.
type skip struct {
	until     time.Time
	perSecond float64
}

// BackOff notes that an endpoint wants nothing from this box for a while, and returns for how long.
func (a *Availability) BackOff(incarnation string, d time.Duration, now time.Time) time.Duration {
	a.backOffs.Extend(incarnation, d, now)
	return a.backOffs.Remaining(incarnation, now)
}

// IsBackingOff reports whether an endpoint wants nothing from this box now.
func (a *Availability) IsBackingOff(incarnation string, now time.Time) bool {
	return !a.backOffs.IsEmpty(now) && a.backOffs.Remaining(incarnation, now) > 0
}

// SkipFor notes that the rate which an endpoint takes is used up for a while.
func (a *Availability) SkipFor(incarnation string, perSecond float64, d time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.skipped == nil {
		a.skipped = map[string]skip{}
	}
	maps.DeleteFunc(a.skipped, func(_ string, x skip) bool { return !now.Before(x.until) })
	x := skip{now.Add(d), perSecond}
	a.skipped[incarnation] = x
	if x.until.After(a.lastEnd) {
		a.lastEnd = x.until
	}
}

// AllAvailable reports whether all endpoints take requests, without a look at each.
func (a *Availability) AllAvailable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.lastEnd) && a.backOffs.IsEmpty(now)
}

// UnavailableFor returns how long an endpoint takes no request; zero if it takes one now.
func (a *Availability) UnavailableFor(incarnation string, now time.Time) time.Duration {
	return max(a.backOffs.Remaining(incarnation, now), a.skippedFor(incarnation, now))
}

// NextAvailable returns how long until the first of some endpoints takes a request; zero if one does now,
// or there is none.
func (a *Availability) NextAvailable(es []endpoint.Endpoint, now time.Time) time.Duration {
	var first time.Duration
	for i := range es {
		d := a.UnavailableFor(es[i].Incarnation(), now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}

// IsRateLimited reports whether an endpoint takes a bounded rate from all boxes together.
func (a *Availability) IsRateLimited(incarnation string, now time.Time) bool {
	l, _ := a.Rates.Limit(incarnation, now)
	return l.Named
}

// CountBackingOff returns how many endpoints want nothing from this box.
func (a *Availability) CountBackingOff(now time.Time) int { return a.backOffs.Len(now) }

// skippedFor returns how long an endpoint's rate is used up. One that has risen since, or has
// ended, is not.
func (a *Availability) skippedFor(incarnation string, now time.Time) time.Duration {
	a.mu.Lock()
	x, ok := a.skipped[incarnation]
	a.mu.Unlock()
	if !ok || !now.Before(x.until) {
		return 0
	}
	if l, _ := a.Rates.Limit(incarnation, now); !l.Named || l.PerSecond > x.perSecond {
		return 0
	}
	return x.until.Sub(now)
}
