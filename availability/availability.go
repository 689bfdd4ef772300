// Package availability tracks whether endpoints accept requests and, if not, when they will. An
// endpoint is unavailable during a back-off period that it requested of this box, and while its
// rate limit, which all boxes share, is used up.
package availability

import (
	"maps"
	"sync"
	"time"

	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
)

// Availability holds the availability of endpoints as known to one box. Endpoints are identified by
// their incarnations. Its zero value is ready to use, and its methods may be called concurrently.
type Availability struct {
	// Rates holds the rate limits of endpoints, which apply to all boxes together.
	Rates endpointlimit.Rates

	// Refusals holds the rates of refusals at which the endpoints of a service fail, by service: an
	// endpoint that has not answered this box yet states what the others do.
	Refusals endpointlimit.Rates

	backOffs backoff.BackOffs

	mu      sync.Mutex
	skipped map[string]skip
	lastEnd time.Time // latest end of any skip
}

// skip is the time until which no request may be sent to a rate-limited endpoint, and the limit at
// which this was decided.
type skip struct {
	until     time.Time
	perSecond float64
}

// BackOff records that an endpoint asked this box to back off for the time d. It returns the time
// left, which exceeds d if an earlier period ends later.
func (a *Availability) BackOff(incarnation string, d time.Duration, now time.Time) time.Duration {
	a.backOffs.Extend(incarnation, d, now)
	return a.backOffs.Remaining(incarnation, now)
}

// IsBackingOff reports whether an endpoint is in a back-off period that it requested of this box.
func (a *Availability) IsBackingOff(incarnation string, now time.Time) bool {
	return !a.backOffs.IsEmpty(now) && a.backOffs.Remaining(incarnation, now) > 0
}

// SkipFor records that an endpoint's rate limit of perSecond allows no request for the time d.
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

// AllAvailable reports whether all endpoints accept requests, without looking at each.
func (a *Availability) AllAvailable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.lastEnd) && a.backOffs.IsEmpty(now)
}

// UnavailableFor returns how long until an endpoint accepts a request. It returns 0 if it does now.
func (a *Availability) UnavailableFor(incarnation string, now time.Time) time.Duration {
	return max(a.backOffs.Remaining(incarnation, now), a.skippedFor(incarnation, now))
}

// NextAvailable returns how long until the first of the endpoints accepts a request. It returns 0
// if one does now or es is empty.
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

// IsRateLimited reports whether an endpoint has a rate limit for all boxes together.
func (a *Availability) IsRateLimited(incarnation string, now time.Time) bool {
	l, _ := a.Rates.Limit(incarnation, now)
	return l.Limited
}

// CountBackingOff returns the number of endpoints in a back-off period.
func (a *Availability) CountBackingOff(now time.Time) int { return a.backOffs.Len(now) }

// skippedFor returns how long an endpoint is skipped because its rate limit is used up. A skip ends
// early if the limit has been raised or lifted.
func (a *Availability) skippedFor(incarnation string, now time.Time) time.Duration {
	a.mu.Lock()
	x, ok := a.skipped[incarnation]
	a.mu.Unlock()
	if !ok || !now.Before(x.until) {
		return 0
	}
	if l, _ := a.Rates.Limit(incarnation, now); !l.Limited || l.PerSecond > x.perSecond {
		return 0
	}
	return x.until.Sub(now)
}
