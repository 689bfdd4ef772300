// Package budget limits how many calls to a service are retried, so that failures do not multiply
// the load. The limits hold over all boxes together, whether or not these reach each other and however
// often they restart.
package budget

import (
	"sync"
	"time"
)

// Limits bounds the retries of all boxes together: within each Window there are at most Ratio times
// as many retries as requests, plus Slack. The requests are those of the window, of the one before it or of
// the one half a window before it, whichever are most.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Shares of the limits that are given out as credits, and the part of a window for which credits are valid. In one window
// all credits of it and of the time before it in which they are valid may be spent, so share * (1 + lifetime) must
// be less than 1. The rest is a margin for rounding and for requests that come in bursts.
const (
	ratioShare    = 0.72
	ratioLifetime = 0.33
	slackShare    = 0.45
	slackLifetime = 1.0
)

// Budget holds one box's credits by service. A retry takes one credit. Each request adds a fraction of a
// credit, and so does time for the box's equal part of the slack. A process starts without credits: it
// doesn't know what the one before it has spent.
type Budget struct {
	Limits

	// Rand returns random numbers in [0, 1). It decides when a process gets its first whole credit, so that boxes
	// with small fractions have as many credits together as one box would. If Rand is nil, fractions are
	// rounded down.
	Rand func() float64

	// Started is when the process started, from when it has a part of the slack. If it is zero, it has one from the
	// first use of a service.
	Started time.Time

	mu       sync.Mutex
	services map[string]*account
	boxes    int
	origin   time.Time // start of slot 0 of the counts, by the monotonic clock
}

// New returns a budget with limits l for a single box.
func New(l Limits) *Budget {
	return &Budget{Limits: l, services: map[string]*account{}, boxes: 1}
}

// SetBoxes sets the number of boxes among which the slack is divided. It must count all boxes that
// may exist: with only the reachable ones, partitioned boxes together would exceed the slack. If it is zero, the
// number is unknown, and this box has no part of the slack.
func (b *Budget) SetBoxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = max(n, 0)
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service, now)
	a.requests.inc()
	a.earned += ratioShare * b.Ratio
	for ; a.earned >= 1; a.earned-- {
		a.deposit(now.Add(b.lifetime(ratioLifetime)))
	}
}

// Spend takes a credit and counts a retry. It returns false if there is no credit.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service, now)
	if !a.withdraw() {
		return false
	}
	a.retries.inc()
	return true
}

// Lend takes a credit for a retry of another box. It returns false if there is no credit.
func (b *Budget) Lend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.advance(service, now).withdraw()
}

// CountBorrowed counts a retry for which another box lent the credit.
func (b *Budget) CountBorrowed(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(service, now).retries.inc()
}

// Charge takes a credit for a retry that was made without asking, and counts it. If there is no credit, the next one
// that is added within a window is taken.
func (b *Budget) Charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service, now)
	if !a.withdraw() {
		a.debts = append(a.debts, now.Add(b.Window))
	}
	a.retries.inc()
}

// Counts returns the requests and the retries that this process has counted for a service in the window that
// ends now.
func (b *Budget) Counts(service string, now time.Time) (requests, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service, now)
	return a.requests.sum(), a.retries.sum()
}

// advance returns the account of a service after moving it to now: credits expire, and those of the slack are added.
func (b *Budget) advance(service string, now time.Time) *account {
	a := b.services[service]
	if a == nil {
		a = b.open(now)
		b.services[service] = a
	}
	if b.origin.IsZero() {
		b.origin = now.Add(-b.Window)
	}
	slot := int64(now.Sub(b.origin) / max(b.Window/buckets, time.Millisecond))
	a.requests.moveTo(slot)
	a.retries.moveTo(slot)
	a.expire(now)
	if b.boxes > 0 && b.Window > 0 {
		a.accrue(slackShare*b.Slack/float64(b.boxes)/b.Window.Seconds(), b.lifetime(slackLifetime), now)
	}
	return a
}

// lifetime returns how long credits are valid whose lifetime is a part of the window.
func (b *Budget) lifetime(part float64) time.Duration {
	return time.Duration(part * float64(b.Window))
}

// open returns a new account. Its fractions of credits are random, so that those of many processes add up.
func (b *Budget) open(now time.Time) *account {
	a := &account{accruedUntil: now}
	if !b.Started.IsZero() && b.Started.Before(now) {
		a.accruedUntil = b.Started
	}
	if b.Rand != nil {
		a.earned, a.slack = b.Rand(), b.Rand()
	}
	return a
}
