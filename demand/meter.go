// Package demand measures what one box has to carry for each service.
package demand

import (
	"maps"
	"math"
	"sync"
	"time"
)

// rateHalfLife is the half-life of the smoothed rate of tokens: a burst shows within a
// second, and the gaps between arrivals do not.
const rateHalfLife = 2 * time.Second

// Stats is the prompt tokens to read a second, and the requests under way.
type Stats struct {
	Tokens  float64
	Running float64
}

// Meter holds the figures of one box. Its zero value is ready.
type Meter struct {
	mu       sync.Mutex
	services map[string]*serviceMeter
}

type serviceMeter struct {
	tokens  float64
	at      time.Time
	running int
}

func (f *serviceMeter) add(tokens float64, now time.Time) {
	const ln2 = 0.693
	f.tokens = f.tokens*math.Exp2(-float64(now.Sub(f.at))/float64(rateHalfLife)) + tokens*ln2/rateHalfLife.Seconds()
	f.at = now
}

// Begin counts a request that is sent, and returns what to call when it ends.
func (m *Meter) Begin(service string, tokens int, now time.Time) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = map[string]*serviceMeter{}
	}
	f := m.services[service]
	if f == nil {
		f = &serviceMeter{at: now}
		m.services[service] = f
	}
	f.add(float64(tokens), now)
	f.running++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		f.running--
	}
}

// Snapshot returns the figures by service.
func (m *Meter) Snapshot(now time.Time) map[string]Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Stats{}
	for n := range maps.Keys(m.services) {
		f := m.services[n]
		f.add(0, now)
		out[n] = Stats{f.tokens, float64(f.running)}
	}
	return out
}
