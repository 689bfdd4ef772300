// Package balance chooses the endpoint of a call from what this box has sent
// and seen, and from what other boxes told. It does no I/O: times are arguments and
// chance is a field, so that the same course of calls leads to the same choices.
package balance

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/availability"
	"birchlink.dev/birchlink/estimate"
)

// Book keeps one account of each endpoint. Its zero value is ready.
type Book struct {
	// Chance returns numbers from 0 to 1, at random. Without it a choice looks at all
	// endpoints, however many boxes choose.
	Chance func() float64

	// Available is which endpoints take calls of this box.
	Available availability.Availability

	mu     sync.Mutex
	boxes  int       // that send to the same endpoints, this one included
	near   int       // of the other boxes, those whose long prompts are heard at once
	far    int       // those whose very long prompts alone are
	sent   share     // what this box sends, by tokens, and the part in very long prompts
	told   share     // the same, and the part that the boxes nearby are told of
	toldAt time.Time // when other boxes' load was last told
	pages  map[string]*page
	sites  map[string]*site
	models map[string]*estimate.Model // by service
}

// page is what is known of one endpoint. Tokens are those of prompts that were
// sent and of which no answer has begun.
type page struct {
	running  int
	tokens   int
	told     told
	heard    backlog
	parts    parts
	slowness float64 // expected over observed times to the first event, smoothed
	failures float64 // part of the calls that failed, smoothed, at failedAt
	failedAt time.Time
	calls    counted   // by this box
	others   counted   // by the other boxes of the data centre, where some failed
	broken   int       // failures to reach it or to get any answer, in a row
	until    time.Time // until then it is used only if there is no other
	proves   time.Time // after a rest, its end, until it has run a call that began later; else zero
	trying   int       // calls that began since
	progress time.Time // when it last answered anything
	since    time.Time // since when calls have been with it without a break
}

// told is the load that the other boxes reported.
type told struct {
	running int
	tokens  int
}

// Smoothing of the figures taken from answers: each new one counts for so much.
const (
	slownessWeight = 0.15
	failureWeight  = 0.12
)

// The time for which an endpoint that did not answer is avoided: it doubles
// with each failure in a row.
const (
	minAvoid = 300 * time.Millisecond
	maxAvoid = 3 * time.Second
)

func (b *Book) page(id string) *page {
	if b.pages == nil {
		b.pages = map[string]*page{}
	}
	p := b.pages[id]
	if p == nil {
		p = &page{slowness: 1}
		b.pages[id] = p
	}
	return p
}

// unknown is the page of an endpoint of which nothing is known.
var unknown = page{slowness: 1}

// peek returns an endpoint's page to read. A choice looks at many of which nothing is known.
func (b *Book) peek(id string) *page {
	if p := b.pages[id]; p != nil {
		return p
	}
	return &unknown
}

// Reset forgets what is known of an endpoint whose process has started anew. Calls that are
// under way at the one before are counted there until they end, and nowhere else.
func (b *Book) Reset(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pages, id)
}

// Forget drops endpoints that are not known any more and have nothing running.
func (b *Book) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.pages {
		if p.running == 0 && !known(id) {
			delete(b.pages, id)
		}
	}
}

// Load is what one box has at an endpoint.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`

	Running int
	Tokens  int
}

// Own returns this box's load by endpoint.
func (b *Book) Own() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, p := range b.pages {
		if p.running > 0 {
			out[id] = Load{Running: p.running, Tokens: p.tokens}
		}
	}
	return out
}

// Tell replaces what the other boxes have at the endpoints, and how many they are.
func (b *Book) Tell(sum map[string]Load, others int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = others + 1
	b.toldAt = now
	for _, p := range b.pages {
		p.told = told{}
	}
	for id, l := range sum {
		b.page(id).told = told{l.Running, l.Tokens}
	}
}

// Silent returns for how long an endpoint that has calls has answered none.
func (b *Book) Silent(id string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(id)
	if p.running == 0 {
		return 0
	}
	from := p.progress
	if p.since.After(from) {
		from = p.since
	}
	return now.Sub(from)
}
