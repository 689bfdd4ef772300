// Package demand measures the load of one box by service: prompt tokens per second and requests
// under way.
package demand

import (
	"maps"
	"math"
	"sync"
	"time"
)

// rateHalfLife is the half-life of the smoothed token rate: short enough to show a burst within a
// second, and long enough to smooth the gaps between arrivals.
const rateHalfLife = 2 * time.Second

// Stats is the demand for a service: the rate of prompt tokens to prefill, per second, and the
// number of requests under way.
type Stats struct {
	Tokens  float64
	Running float64
}

// Meter measures the demand of one box. Its zero value is ready to use, and its methods may be
// called concurrently.
type Meter struct {
	mu       sync.Mutex
	services map[string]*serviceMeter
}

type serviceMeter struct {
	tokens  float64
	at      time.Time
	running int
}

func (s *serviceMeter) add(tokens float64, now time.Time) {
	const ln2 = 0.693
	s.tokens = s.tokens*math.Exp2(-float64(now.Sub(s.at))/float64(rateHalfLife)) + tokens*ln2/rateHalfLife.Seconds()
	s.at = now
}

// Begin counts a request that is sent, and returns a function to call when the request ends.
func (m *Meter) Begin(service string, tokens int, now time.Time) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = map[string]*serviceMeter{}
	}
	s := m.services[service]
	if s == nil {
		s = &serviceMeter{at: now}
		m.services[service] = s
	}
	s.add(float64(tokens), now)
	s.running++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.running--
	}
}

// Snapshot returns the current demand by service.
func (m *Meter) Snapshot(now time.Time) map[string]Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Stats{}
	for n := range maps.Keys(m.services) {
		s := m.services[n]
		s.add(0, now)
		out[n] = Stats{s.tokens, float64(s.running)}
	}
	return out
}
