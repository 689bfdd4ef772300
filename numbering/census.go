// Package numbering finds out whether the IDs of a service's events count them.
package numbering

import "sync"

// A service counts as initialAnswers that counted their events. The newest answers count, up to maxAnswers.
const (
	initialAnswers = 8
	maxAnswers     = 64
)

// Census records for each service how many of its newest answers counted their events from the first one on. The zero
// value is ready to use.
type Census struct {
	mu       sync.Mutex
	services map[string]*tally
}

// tally counts answers.
type tally struct{ counted, all int }

// Record records an answer of a service, which is whole or leaves out a number.
func (c *Census) Record(service string, counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*tally{}
	}
	t := c.services[service]
	if t == nil {
		t = &tally{initialAnswers, initialAnswers}
		c.services[service] = t
	}
	if t.all++; counted {
		t.counted++
	}
	if t.all >= maxAnswers {
		t.all, t.counted = t.all/2, t.counted/2
	}
}

// Counts reports whether a service counts its events, as most of its answers do.
func (c *Census) Counts(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	return t == nil || 2*t.counted > t.all
}
