// Package budget bounds how often calls to a service are sent once more, so
// that trouble does not multiply the load.
package budget

import (
	"sync"
	"time"
)

// buckets is into how many parts a window is cut; what falls out of the window
// is known to a bucket's width.
const buckets = 20

// Terms are the bounds that hold over all boxes together: within each window,
// repeats are at most Ratio times the requests, and Slack more.
type Terms struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// The part of the terms that boxes use: a box that restarts has forgotten what
// it spent, and its counts and those of the endpoints are not of one moment.
const (
	ratioPart = 0.7
	slackPart = 0.4
)

// Budget counts one box's requests and repeats by service. It needs no call to
// other boxes: each spends its own requests' part, and an equal part of the slack.
type Budget struct {
	Terms

	// Chance returns numbers from 0 to 1, at random. With it a box whose part is no whole repeat
	// makes one as often as its part is of one; else none.
	Chance func() float64

	mu       sync.Mutex
	services map[string]*window
	boxes    int
	began    time.Time // from which windows are cut, by the steady clock
}

type window struct {
	slot     int64
	requests [buckets]int
	repeats  [buckets]int
	need     float64 // room that the next repeat needs, from 0 to 1; zero if it is to be drawn
	drawn    int64   // the slot in which it was
}

// New returns a budget under terms.
func New(t Terms) *Budget {
	return &Budget{Terms: t, services: map[string]*window{}, boxes: 1}
}

// Boxes sets over how many boxes the slack is divided: all that there may be, or those that do
// not hear each other would have more of it together than there is.
func (b *Budget) Boxes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = max(n, 1)
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slot%buckets]++
}

// Allowed reports whether a repeat may be sent, without spending it.
func (b *Budget) Allowed(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowed(b.at(service, now))
}

// Spend counts a repeat if it may be sent.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	if !b.allowed(w) {
		return false
	}
	w.repeats[w.slot%buckets]++
	w.need = 0
	return true
}

func (b *Budget) allowed(w *window) bool {
	requests, repeats := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	room := ratioPart*b.Ratio*float64(requests) + slackPart*b.Slack/float64(b.boxes)
	return float64(repeats)+b.need(w) <= room
}

// need is the room that a repeat needs beyond those made: a whole one, or a number at random. That
// stays for a window or until a repeat is made, so that asking more often finds no more room.
func (b *Budget) need(w *window) float64 {
	if b.Chance == nil {
		return 1
	}
	if w.need == 0 || w.slot-w.drawn >= buckets {
		w.need, w.drawn = 1-b.Chance(), w.slot
	}
	return w.need
}

// at returns the window of a service, moved on to now.
func (b *Budget) at(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	width := max(b.Window/buckets, time.Millisecond)
	if b.began.IsZero() {
		b.began = now.Add(-b.Window)
	}
	slot := int64(now.Sub(b.began) / width)
	for n := 0; w.slot < slot && n < buckets; n++ {
		w.slot++
		if n == 0 && slot-w.slot >= buckets {
			w.slot = slot - buckets + 1
		}
		w.requests[w.slot%buckets] = 0
		w.repeats[w.slot%buckets] = 0
	}
	return w
}
