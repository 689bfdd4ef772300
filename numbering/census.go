// Package numbering finds out whether the IDs of a service's events count them.
package numbering

import "sync"

// A service is known once a Census has seen minAnswers of its answers, and counts its events if at least
// knownFraction of them did. It has another numbering if at most as many in proportion did not.
const (
	minAnswers    = 8
	knownFraction = 0.75
	maxAnswers    = 64
)

// Census records for each service how many of its newest whole answers counted their events from the first one on. The zero
// value is ready to use.
type Census struct {
	mu       sync.Mutex
	services map[string]*tally
}

// tally counts answers.
type tally struct{ counted, all int }

// Record records a whole answer of a service.
func (c *Census) Record(service string, counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*tally{}
	}
	t := c.services[service]
	if t == nil {
		t = &tally{}
		c.services[service] = t
	}
	if t.all++; counted {
		t.counted++
	}
	if t.all >= maxAnswers {
		t.all, t.counted = t.all/2, t.counted/2
	}
}

// Counts reports whether a service counts its events, and whether that is known.
func (c *Census) Counts(service string) (counts, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	if t == nil || t.all < minAnswers {
		return false, false
	}
	switch f := float64(t.counted) / float64(t.all); {
	case f >= knownFraction:
		return true, true
	case f <= 1-knownFraction:
		return false, true
	default:
		return false, false
	}
}
