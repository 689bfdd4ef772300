// Package stall estimates how likely a stream is to pause for longer than its route allows, by the
// speed class of its endpoint. Such a stream is late even if its first event came in time. The
// package does no I/O; the time is an argument.
package stall

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the half-life of an observation's weight. In 20 s a box of a large fleet sees some
	// hundred streams, and the kind of the requests changes little.
	halfLife = 20 * time.Second

	// priorEvents is the number of events without a long pause that each class is assumed to have
	// had, so that one late stream among few has little weight. It is about that of ten streams.
	priorEvents = 200
)

// Tracker counts the streams with a long pause. Its zero value is ready to use, and its methods may
// be called concurrently.
type Tracker struct {
	mu    sync.Mutex
	pools map[pool]*counts
}

// pool is the set of a service's endpoints of one speed class.
type pool struct {
	service string
	class   int8
}

// counts are the number of streams with a long pause, and of the events of all streams, decayed until
// time at.
type counts struct {
	late, events float64
	at           time.Time
}

func (c *counts) decay(now time.Time) {
	f := math.Exp2(-float64(max(now.Sub(c.at), 0)) / float64(halfLife))
	c.late, c.events, c.at = c.late*f, c.events*f, now
}

// Observe records a stream that ended: its number of events, and whether one of its pauses was longer
// than its route allows.
func (t *Tracker) Observe(service string, class int8, events int, late bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = map[pool]*counts{}
	}
	c := t.pools[pool{service, class}]
	if c == nil {
		c = &counts{at: now}
		t.pools[pool{service, class}] = c
	}
	c.decay(now)
	c.events += float64(events)
	if late {
		c.late++
	}
}

// Risk returns the probability that a stream of a number of events has a long pause. A long pause
// counts once for each stream, as the pauses of a slow period come together.
func (t *Tracker) Risk(service string, class int8, events float64, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.pools[pool{service, class}]
	if c == nil {
		return 0
	}
	c.decay(now)
	return min(c.late/(c.events+priorEvents)*events, 1)
}
