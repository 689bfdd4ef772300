// Package quota holds accounts to their rates over all boxes together: each box
// spends a share, and the shares add up to the whole.
package quota

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// demandHalf is the half-life of the demand by which shares are told: long
// enough to smooth arrivals, short against the window that rates are judged by.
const demandHalf = 2 * time.Second

// Quota is one box's part. Its zero value is ready.
type Quota struct {
	mu       sync.Mutex
	accounts map[string]*bucket
	shares   map[string]float64
	even     float64
}

type bucket struct {
	level  float64
	filled time.Time
	demand float64 // what is asked, in units a second
	asked  time.Time
}

// SetShares sets this box's share of each account; those not named get even.
func (q *Quota) SetShares(shares map[string]float64, even float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares, q.even = shares, even
}

// Demand returns what is asked of this box by account, in units a second.
func (q *Quota) Demand(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]float64{}
	for n, b := range q.accounts {
		b.ask(0, now)
		out[n] = b.demand
	}
	return out
}

// Take counts a request of a size against its account, or returns when to come
// back. A request that is larger than what is left is let in while the account
// is not in debt and at least half of its share of the burst stands, since a
// share of the burst may be smaller than one request.
func (q *Quota) Take(a *catalog.Account, size float64, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.accounts == nil {
		q.accounts = map[string]*bucket{}
	}
	b := q.accounts[a.Name]
	if b == nil {
		b = &bucket{level: a.Burst, filled: now, asked: now}
		q.accounts[a.Name] = b
	}
	b.ask(size, now)
	if a.Rate <= 0 {
		return 0, true
	}
	share := q.share(a.Name)
	rate, burst := a.Rate*share, a.Burst*share
	b.level = min(b.level+rate*now.Sub(b.filled).Seconds(), burst)
	b.filled = now
	if b.level >= min(size, burst/2) {
		b.level -= size
		return 0, true
	}
	need := min(size, burst/2) - b.level
	return time.Duration(need / max(rate, 1) * float64(time.Second)), false
}

// Refund gives back what a request took that did not run.
func (q *Quota) Refund(a *catalog.Account, size float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[a.Name]; b != nil {
		b.level += size
	}
}

func (q *Quota) share(name string) float64 {
	if s, ok := q.shares[name]; ok {
		return s
	}
	if q.even > 0 {
		return q.even
	}
	return 1
}

// ask adds to the smoothed demand.
func (b *bucket) ask(size float64, now time.Time) {
	const ln2 = 0.693
	rate := ln2 / demandHalf.Seconds()
	b.demand = b.demand*decay(now.Sub(b.asked)) + size*rate
	b.asked = now
}
