// Package balance chooses the endpoint of a call from what this box has sent
// and seen, and from what other boxes told.
package balance

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
)

// Book keeps one account of each endpoint. Its zero value is ready.
type Book struct {
	mu     sync.Mutex
	boxes  int       // that send to the same endpoints, this one included
	near   int       // of the other boxes, those whose long prompts are heard at once
	toldAt time.Time // when other boxes' load was last told
	pages  map[string]*page
	sites  map[string]*site
	models map[string]*estimate.Model // by service
}

// site is what is known of a data centre as a whole: when one of its endpoints
// could last not be reached, and until when all are avoided for it.
type site struct {
	endpoint string
	failed   time.Time
	until    time.Time
}

// A data centre of which two endpoints could not be reached within siteWindow is
// taken to be cut off, and tried again after siteAvoid.
const (
	siteWindow = time.Second
	siteAvoid  = time.Second
)

// page is what is known of one endpoint. Tokens are those of prompts that were
// sent and of which no answer has begun.
type page struct {
	running  int
	waiting  int
	tokens   int
	told     told
	heard    backlog
	parts    parts
	slowness float64   // expected over observed times to the first event, smoothed
	failures float64   // part of the calls that failed, smoothed
	broken   int       // failures to reach it or to get any answer, in a row
	until    time.Time // until then it is used only if there is no other
	progress time.Time // when it last answered anything
	since    time.Time // since when calls have been with it without a break
}

// backlog is prompts of other boxes that an endpoint has to read, as those boxes said
// when they sent them.
type backlog struct {
	tokens float64
	at     time.Time
}

// left returns the tokens that are still to be read, where an endpoint reads so many
// a second.
func (l *backlog) left(perSecond float64, now time.Time) float64 {
	if l.tokens <= 0 {
		return 0
	}
	return max(l.tokens-perSecond*now.Sub(l.at).Seconds(), 0)
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

// Forget drops endpoints that are gone and have nothing running.
func (b *Book) Forget(in map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.pages {
		if !in[id] && p.running == 0 {
			delete(b.pages, id)
		}
	}
}

// Load is what one box has at an endpoint.
type Load struct {
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
			out[id] = Load{p.running, p.tokens}
		}
	}
	return out
}

// Model returns what is known of how fast a service's endpoints are.
func (b *Book) Model(service string) *estimate.Model {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(service)
}

func (b *Book) model(service string) *estimate.Model {
	if b.models == nil {
		b.models = map[string]*estimate.Model{}
	}
	m := b.models[service]
	if m == nil {
		m = &estimate.Model{}
		b.models[service] = m
	}
	return m
}

// Recall takes in what a box before this one had observed.
func (b *Book) Recall(speeds map[string]estimate.Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for n, s := range speeds {
		b.model(n).Recall(s, now)
	}
}

// Speeds returns what this box has observed of each service.
func (b *Book) Speeds() map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.Own(now)
	}
	return out
}

// AllSpeeds returns what all boxes have observed of each service.
func (b *Book) AllSpeeds() map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.All(now)
	}
	return out
}

// TellSpeeds replaces what the other boxes have observed of the services.
func (b *Book) TellSpeeds(sum map[string]estimate.Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range sum {
		b.model(n).Tell(s)
	}
}

// Tell replaces what the other boxes have at the endpoints, and how many they are.
func (b *Book) Tell(sum map[string]Load, others int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = others + 1
	b.toldAt = time.Now()
	for _, p := range b.pages {
		p.told = told{}
	}
	for id, l := range sum {
		b.page(id).told = told{l.Running, l.Tokens}
	}
}

// Near sets how many of the other boxes tell this one at once of their long prompts.
func (b *Book) Near(boxes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.near = boxes
}

// Hear takes in that another box sends an endpoint a prompt.
func (b *Book) Hear(e endpoint.Endpoint, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	v := b.model(e.Service).View(now)
	h := &b.page(e.ID).heard
	h.tokens = h.left(v.Pace(), now) + float64(tokens)
	h.at = now
}

// Blind returns the part of the other boxes whose prompts are not heard of at once.
func (b *Book) Blind() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blind()
}

func (b *Book) blind() float64 {
	if b.boxes <= 1 {
		return 0
	}
	return max(1-float64(b.near)/float64(b.boxes-1), 0)
}

// Silent returns for how long an endpoint that has calls has answered none.
func (b *Book) Silent(id string) time.Duration {
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
	return time.Since(from)
}

// Entry is one call at an endpoint, from its sending to its end.
type Entry struct {
	book  *Book
	page  *page
	model *estimate.Model

	dataCentre string
	tokens     int
	load       estimate.Load
	expected   time.Duration
	objective  time.Duration
	began      time.Time
	first      time.Time // when the endpoint first sent something; zero before
	last       time.Time // when it last did
	events     int
}

// Begin notes that a call is sent.
func (b *Book) Begin(e endpoint.Endpoint, c Choice) *Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(e.ID)
	now := time.Now()
	if p.running == 0 {
		p.since = now
	}
	p.running++
	p.waiting++
	p.tokens += c.Tokens
	p.parts.sent(c.Parts, now)
	return &Entry{
		book: b, page: p, model: b.model(e.Service), dataCentre: e.DataCentre, tokens: c.Tokens, load: c.Load,
		expected: c.Expected, objective: c.Objective, began: now,
	}
}

// Progress notes that the endpoint sent something for this call.
func (n *Entry) Progress() {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	now := time.Now()
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
	n.page.waiting--
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

// End notes that the call is over, and whether the endpoint failed it.
func (n *Entry) End(failed bool) {
	n.book.mu.Lock()
	defer n.book.mu.Unlock()
	if n.events > 1 {
		n.model.ObservePause(n.load.Running, n.last.Sub(n.first)/time.Duration(n.events-1), n.last)
	}
	if n.first.IsZero() {
		n.page.waiting--
		n.page.tokens -= n.tokens
	}
	n.page.running--
	if !failed && n.events > 0 {
		now := time.Now()
		n.model.ObserveRun(now.Sub(n.began), now)
	}
	v := 0.0
	if failed {
		v = 1
	}
	n.page.failures += failureWeight * (v - n.page.failures)
}

// Avoid notes that an endpoint could not be reached or did not answer at all.
func (b *Book) Avoid(e endpoint.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.page(e.ID)
	d := min(minAvoid<<min(p.broken, 8), maxAvoid)
	p.broken++
	p.until = now.Add(d)
	s := b.site(e.DataCentre)
	if s.endpoint != e.ID && now.Sub(s.failed) < siteWindow || now.Sub(s.until) < siteWindow {
		s.until = now.Add(siteAvoid)
	}
	s.endpoint, s.failed = e.ID, now
}

func (b *Book) site(dc string) *site {
	if b.sites == nil {
		b.sites = map[string]*site{}
	}
	s := b.sites[dc]
	if s == nil {
		s = &site{}
		b.sites[dc] = s
	}
	return s
}
