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

	rests rest.Rests

	mu       sync.Mutex
	deferred map[string]deferral
	last     time.Time // when the last of them ends
}

// deferral says until when no request may be sent to an endpoint that takes a rate.
type deferral struct {
	until     time.Time
	perSecond float64
}

// Rest notes that an endpoint wants nothing from this box for a while, and returns for how long.
func (a *Availability) Rest(incarnation string, d time.Duration, now time.Time) time.Duration {
	a.rests.Ask(incarnation, d, now)
	return a.rests.Left(incarnation, now)
}

// Rests reports whether an endpoint wants nothing from this box now.
func (a *Availability) Rests(incarnation string, now time.Time) bool {
	return !a.rests.None(now) && a.rests.Left(incarnation, now) > 0
}

// Defer notes that the rate which an endpoint takes is used up for a while.
func (a *Availability) Defer(incarnation string, perSecond float64, d time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deferred == nil {
		a.deferred = map[string]deferral{}
	}
	maps.DeleteFunc(a.deferred, func(_ string, x deferral) bool { return !now.Before(x.until) })
	x := deferral{now.Add(d), perSecond}
	a.deferred[incarnation] = x
	if x.until.After(a.last) {
		a.last = x.until
	}
}

// All reports whether all endpoints take requests, without a look at each.
func (a *Availability) All(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.last) && a.rests.None(now)
}

// Left returns how long an endpoint takes no request; zero if it takes one now.
func (a *Availability) Left(incarnation string, now time.Time) time.Duration {
	return max(a.rests.Left(incarnation, now), a.deferredFor(incarnation, now))
}

// First returns how long until the first of some endpoints takes a request; zero if one does now,
// or there is none.
func (a *Availability) First(es []endpoint.Endpoint, now time.Time) time.Duration {
	var first time.Duration
	for i := range es {
		d := a.Left(es[i].Incarnation(), now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}

// Limited reports whether an endpoint takes a bounded rate from all boxes together.
func (a *Availability) Limited(incarnation string, now time.Time) bool {
	l, _ := a.Rates.Limit(incarnation, now)
	return l.Named
}

// Resting returns how many endpoints want nothing from this box.
func (a *Availability) Resting(now time.Time) int { return a.rests.Len(now) }

// deferredFor returns how long an endpoint's rate is used up. One that has risen since, or has
// ended, is not.
func (a *Availability) deferredFor(incarnation string, now time.Time) time.Duration {
	a.mu.Lock()
	x, ok := a.deferred[incarnation]
	a.mu.Unlock()
	if !ok || !now.Before(x.until) {
		return 0
	}
	if l, _ := a.Rates.Limit(incarnation, now); !l.Named || l.PerSecond > x.perSecond {
		return 0
	}
	return x.until.Sub(now)
}
