package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
)

// Entry is one call at an endpoint, from its sending to its end.
type Entry struct {
	book  *Book
	page  *page
	model *estimate.Model

	incarnation string
	dataCentre  string
	tokens      int
	load        estimate.Load
	expected    time.Duration
	objective   time.Duration
	began       time.Time
	trial       bool      // it began after a rest, and shows whether the endpoint runs calls again
	first       time.Time // when the endpoint first sent something; zero before
	last        time.Time // when it last did
	events      int
}

// Begin notes that a call is sent.
func (b *Book) Begin(e endpoint.Endpoint, c Choice, now time.Time) *Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(e.ID)
	if p.running == 0 {
		p.since = now
	}
	p.running++
	p.tokens += c.Tokens
	p.parts.sent(c.Parts, now)
	trial := !p.proves.IsZero() && !now.Before(p.proves)
	if trial {
		p.trying++
	}
	return &Entry{
		book: b, page: p, model: b.model(e.Service), incarnation: e.Incarnation(), dataCentre: e.DataCentre, tokens: c.Tokens, load: c.Load,
		expected: c.Expected, objective: c.Objective, began: now, trial: trial,
	}
}

// Progress notes that the endpoint sent something for this call, which it runs.
func (n *Entry) Progress(now time.Time) {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	n.heard(now)
	if n.trial {
		n.page.proves = time.Time{}
	}
}

// Refused notes that the endpoint answered that it does not run this call.
func (n *Entry) Refused(now time.Time) {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	n.heard(now)
}

// heard notes that the endpoint sent something. The lock is held.
func (n *Entry) heard(now time.Time) {
	n.page.progress = now
	n.page.broken = 0
	n.page.until = time.Time{}
	n.book.site(n.dataCentre).until = time.Time{}
	n.events++
	n.last = now
	if !n.first.IsZero() {
		return
	}
	n.first = now
	n.page.tokens -= n.tokens
}

// Answered notes that what the endpoint sent first was an answer and no failure: its
// time tells how fast the endpoint is.
func (n *Entry) Answered() {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	took := n.first.Sub(n.began)
	n.model.Observe(n.load, took, n.objective, n.last)
	if n.expected > 0 {
		r := min(max(float64(took)/float64(n.expected), 0.3), 20)
		n.page.slowness += slownessWeight * (r - n.page.slowness)
	}
}

// End notes that the call is over, and whether the endpoint failed or refused it. A refusal
// counts as a failure: it is the fastest answer of all, and would draw the calls to who gives
// it. Where a third of the endpoints refuse nine in ten calls for some seconds 0.056 of a day's
// requests are refused without that, 0.024 with it (means of nine days).
func (n *Entry) End(failed bool, now time.Time) {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	if n.events > 1 {
		n.model.ObservePause(n.load.Running, n.last.Sub(n.first)/time.Duration(n.events-1), n.last)
	}
	if n.first.IsZero() {
		n.page.tokens -= n.tokens
	}
	n.page.running--
	if n.trial {
		n.page.trying--
	}
	if !failed && n.events > 0 {
		n.model.ObserveSlotTime(now.Sub(n.began), now)
	}
	v := 0.0
	if failed {
		v = 1
	}
	f := n.page.ownFailing(now)
	n.page.failures, n.page.failedAt = f+failureWeight*(v-f), now
	n.page.calls.add(failed, now)
}
