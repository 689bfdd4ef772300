// Package occupancy bounds the requests that all boxes together have under way at an endpoint which fails
// if it has to refuse too many for lack of room. A box asks for a place before it sends a request and
// returns it afterwards. Places are given by the boxes to which shares of the endpoint are leased, each of
// which gives its share alone, so that the bound holds while boxes are cut off from each other. The
// package does no I/O and reads no clock: callers pass the time.
package occupancy

import (
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// refusalShare is the part of the tolerated refusals that are allowed on average. As many may
	// come at once, so that the sum within a second stays below the bound.
	refusalShare = 0.4

	// decrease is the factor to which an endpoint's room is taken to have shrunk when it refuses a request,
	// relative to the places that were in use. The room then grows by growth of its size per second,
	// up to below the number at which it refused, and beyond that only once more refusals are
	// tolerated: a refusal is provoked at probeShare of the tolerated rate.
	decrease   = 0.85
	growth     = 0.1
	probeShare = 0.05

	// maxExcess is the number of refusals beyond the allowed ones after which no place is given for a while. One
	// does not stop the flow, since the places that get free meanwhile would all be given at once.
	// Refusals that come at once have one cause, and count for maxDebt at most.
	maxExcess = 1
	maxDebt   = 2

	// A place is risky above decrease times the number of places at which the endpoint last refused a request.
	// Risky places, and all while there are more refusals than allowed, are given riskGap apart, so that
	// one refusal is known before the next request can be refused.
	riskGap = 30 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the time after which to ask again for a place.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = time.Second

	// maxEndpoints bounds the endpoints that are tracked. The one that was asked for the longest time
	// ago is dropped.
	maxEndpoints = 4096
)

// Leases reports the shares of endpoints that are leased to this box.
type Leases interface {
	// Accrued returns the current share of an endpoint, from 0 to 1, besides its integral over time.
	Accrued(name string, now time.Time) (seconds, share float64)
}

// Question asks for a place at an endpoint, named by its incarnation. Holder identifies the attempt,
// Room is the number of requests that the endpoint runs at a time, and RefusalsPerSecond the
// bound on its refusals. The place lapses after TTL if it is not returned.
type Question struct {
	Endpoint          string
	Holder            string
	Room              int
	RefusalsPerSecond float64
	TTL               time.Duration
}

// Answer reports whether the request may be sent and, if not, after which time to ask again. Part is
// the share on which the decision is based; it is zero if none is leased to the box that answered.
type Answer struct {
	OK    bool
	After time.Duration
	Part  float64
}

// Return returns a place. Refused is set if the endpoint had no room for the request.
type Return struct {
	Endpoint string
	Holder   string
	Refused  bool
}

// Limiter gives places from the shares that are leased to one box. The zero value with Leases set is
// ready to use.
type Limiter struct {
	Leases Leases

	mu        sync.Mutex
	endpoints *simplelru.LRU[string, *places]
}

// places are the places of one endpoint that this box has given.
type places struct {
	holders map[string]time.Time // when each place lapses
	lapse   time.Time            // before which none lapses
	room    float64              // places at the whole endpoint, as far as refusals have shown
	roomAt  time.Time
	full    float64   // places at the whole endpoint in use when it last refused a request; zero before
	fullAt  time.Time // when that was
	riskAt  time.Time // when a place was last given that might be refused
	slots   float64   // of the last question
	allowed float64   // refusals that are allowed now; negative if there were too many
	perSec  float64   // bound on refusals, of the last question
	filled  time.Time
}

// Ask answers q and, if the request may be sent, gives it a place.
func (l *Limiter) Ask(q Question, now time.Time) Answer {
	_, share := l.Leases.Accrued(q.Endpoint, now)
	if share <= 0 {
		return Answer{After: maxRetryAfter}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.places(q.Endpoint)
	p.update(q, share, now)
	if _, ok := p.holders[q.Holder]; ok {
		return Answer{OK: true, Part: share} // the answer to an earlier question was lost
	}
	if p.allowed <= -maxExcess {
		after := time.Duration((-p.allowed - maxExcess) / (refusalShare * p.perSec * share) * float64(time.Second))
		return Answer{After: min(max(after, minRetryAfter), maxRetryAfter), Part: share}
	}
	inUse := float64(len(p.holders) + 1)
	if inUse > max(share*p.room+0.5, 1) {
		return Answer{After: minRetryAfter, Part: share}
	}
	isRisky := p.full > 0 && inUse > decrease*share*p.full
	if isRisky && p.allowed < 0 {
		return Answer{After: riskGap, Part: share}
	}
	if isRisky || p.allowed < 0 {
		if gap := now.Sub(p.riskAt); gap < riskGap {
			return Answer{After: riskGap - gap, Part: share}
		}
		p.riskAt = now
	}
	p.add(q.Holder, now.Add(q.TTL))
	return Answer{OK: true, Part: share}
}

// Return takes a place back. A refusal lowers the room that the endpoint is taken to have.
func (l *Limiter) Return(r Return, now time.Time) {
	_, share := l.Leases.Accrued(r.Endpoint, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints == nil {
		return
	}
	p, ok := l.endpoints.Get(r.Endpoint)
	if !ok {
		return
	}
	inUse := float64(len(p.holders))
	delete(p.holders, r.Holder)
	if !r.Refused {
		return
	}
	p.allowed = max(p.allowed-1, -maxDebt)
	if share > 0 {
		p.full, p.fullAt = inUse/share, now
		p.room, p.roomAt = min(p.room, max(decrease*p.full, 1)), now
	}
}

// update brings the places up to date with a question.
func (p *places) update(q Question, share float64, now time.Time) {
	if !now.Before(p.lapse) {
		p.dropLapsed(now)
	}
	p.slots, p.perSec = max(float64(q.Room), 1), max(q.RefusalsPerSecond, 0.1)
	if p.filled.IsZero() {
		p.room, p.roomAt, p.filled = p.slots, now, now
		p.allowed = refusalShare * p.perSec * share
	}
	p.grow(share, now)
	rate := refusalShare * p.perSec * share
	p.allowed = min(p.allowed+rate*now.Sub(p.filled).Seconds(), rate)
	p.filled = now
}

func (p *places) add(holder string, lapses time.Time) {
	if len(p.holders) == 0 || lapses.Before(p.lapse) {
		p.lapse = lapses
	}
	p.holders[holder] = lapses
}

// dropLapsed drops the places that have lapsed.
func (p *places) dropLapsed(now time.Time) {
	maps.DeleteFunc(p.holders, func(_ string, lapses time.Time) bool { return !now.Before(lapses) })
	p.lapse = time.Time{}
	for _, lapses := range p.holders {
		if p.lapse.IsZero() || lapses.Before(p.lapse) {
			p.lapse = lapses
		}
	}
}

// grow lets the room grow for the time since it was last brought up to date.
func (p *places) grow(share float64, now time.Time) {
	limit := p.slots
	if p.full > 0 && now.Sub(p.fullAt).Seconds() < 1/(probeShare*p.perSec*share) {
		limit = min(limit, max(p.full-1/share, 1))
	}
	p.room = max(min(p.room+growth*p.slots*now.Sub(p.roomAt).Seconds(), limit), min(p.room, limit))
	p.roomAt = now
}

func (l *Limiter) places(endpoint string) *places {
	if l.endpoints == nil {
		l.endpoints, _ = simplelru.NewLRU[string, *places](maxEndpoints, nil) // fails only for a size of zero or less
	}
	p, ok := l.endpoints.Get(endpoint)
	if !ok {
		p = &places{holders: map[string]time.Time{}}
		l.endpoints.Add(endpoint, p)
	}
	return p
}
