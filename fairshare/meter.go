package fairshare

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// halfLife is the half-life of the cost rates: a burst of an account shows within a second, and
	// the gaps between the requests of a box are smoothed.
	halfLife = 2 * time.Second

	// staleAfter is the age from which the other boxes' sums count less. Boxes report every half a
	// second, and one round may be lost. From then on staleHalfLife applies.
	staleAfter    = 1500 * time.Millisecond
	staleHalfLife = 2 * time.Second

	// minCost is the cost per second below which an account is forgotten, as a fraction of the
	// largest. It bounds the number of accounts that are reported.
	minCost = 1e-4
)

// Meter keeps the cost of the requests of each account for one service: this box's decayed sums and
// the last sums of the other boxes. Its zero value is ready to use. Methods may be called
// concurrently.
type Meter struct {
	mu       sync.Mutex
	own      map[string]*sum
	others   map[string]float64
	othersAt time.Time
	excess   map[string]float64
}

// sum is a decaying cost per second.
type sum struct {
	cost float64
	at   time.Time
}

func (s *sum) add(cost float64, now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		s.cost *= math.Exp2(-float64(d) / float64(halfLife))
		s.at = now
	}
	s.cost += cost * math.Ln2 / halfLife.Seconds()
}

// Add counts the cost of a request that an account asks for, whether or not it is served.
func (m *Meter) Add(account string, cost float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own == nil {
		m.own = map[string]*sum{}
	}
	s := m.own[account]
	if s == nil {
		s = &sum{at: now}
		m.own[account] = s
	}
	s.add(cost, now)
}

// Report returns this box's cost per second by account, to be added up over boxes.
func (m *Meter) Report(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report(now)
}

func (m *Meter) report(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(m.own))
	largest := 0.0
	for _, s := range m.own {
		s.add(0, now)
		largest = max(largest, s.cost)
	}
	for a, s := range m.own {
		if s.cost <= minCost*largest {
			delete(m.own, a)
			continue
		}
		out[a] = s.cost
	}
	return out
}

// SetOthers replaces the sums of all other boxes. The map must not be changed afterwards.
func (m *Meter) SetOthers(costs map[string]float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others, m.othersAt = costs, now
}

// Demands returns the cost per second of each account over all boxes, sorted by account. As the
// others' sums grow old, their total stays and its distribution moves towards equal parts.
func (m *Meter) Demands(now time.Time) []Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	costs := m.report(now)
	total := 0.0
	for a, c := range m.others {
		total += c
		costs[a] += 0 // accounts of other boxes only
	}
	if n := len(costs); n > 0 {
		known := m.freshness(now)
		for a := range costs {
			costs[a] += known*m.others[a] + (1-known)*total/float64(n)
		}
	}
	out := make([]Demand, 0, len(costs))
	for a, c := range costs {
		out = append(out, Demand{Account: a, Cost: c})
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Account, b.Account) })
	return out
}

// freshness is 1 while the others' sums are recent and falls towards 0.
func (m *Meter) freshness(now time.Time) float64 {
	old := now.Sub(m.othersAt) - staleAfter
	return math.Exp2(-float64(max(old, 0)) / float64(staleHalfLife))
}

// Update computes the shares anew from a capacity in cost per second over all boxes. It is to be
// called when the others' sums arrive, and a few times a second. weights may be nil.
func (m *Meter) Update(capacity float64, weights map[string]float64, now time.Time) {
	demands := m.Demands(now)
	for i := range demands {
		demands[i].Weight = weights[demands[i].Account]
	}
	excess := make(map[string]float64, len(demands))
	for i, allowed := range Divide(demands, capacity) {
		if demands[i].Cost > allowed {
			excess[demands[i].Account] = min(demands[i].Cost/max(allowed, math.SmallestNonzeroFloat64), math.MaxFloat64)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.excess = excess
}

// Excess returns by what factor an account asked for more than its share at the last Update. It is 1
// for accounts that stay within their share, and for all accounts while there is room.
func (m *Meter) Excess(account string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.excess[account], 1)
}
