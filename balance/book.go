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

// Balancer keeps one account of each endpoint. Its zero value is ready.
type Balancer struct {
	// Rand returns numbers from 0 to 1, at random. Without it a choice looks at all
	// endpoints, however many boxes choose.
	Rand func() float64

	// Availability is which endpoints take calls of this box.
	Availability availability.Availability

	mu          sync.Mutex
	boxes       int       // that send to the same endpoints, this one included
	nearPeers   int       // of the other boxes, those whose long prompts are heard at once
	farPeers    int       // those whose very long prompts alone are
	veryLong    longShare // what this box sends, by tokens, and the part in very long prompts
	long        longShare // the same, and the part that the boxes nearby are told of
	remoteAt    time.Time // when other boxes' load was last told
	states      map[string]*endpointState
	dataCentres map[string]*dataCentreState
	models      map[string]*estimate.Model // by service
}

// endpointState is what is known of one endpoint. Tokens are those of prompts that were
// sent and of which no answer has begun.
type endpointState struct {
	running             int
	tokens              int
	remote              remoteLoad
	hinted              backlog
	cached              cachedParts
	slowness            float64 // expected over observed times to the first event, smoothed
	failureRate         float64 // part of the calls that failed, smoothed, at failedAt
	failureRateAt       time.Time
	ownCalls            decayingCounts // by this box
	remoteCalls         decayingCounts // by the other boxes of the data centre, where some failed
	consecutiveFailures int            // failures to reach it or to get any answer, in a row
	avoidedUntil        time.Time      // until then it is used only if there is no other
	probationFrom       time.Time      // after a rest, its end, until it has run a call that began later; else zero
	trials              int            // calls that began since
	lastProgress        time.Time      // when it last answered anything
	busySince           time.Time      // since when calls have been with it without a break
}

// remoteLoad is the load that the other boxes reported.
type remoteLoad struct {
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

func (b *Balancer) state(id string) *endpointState {
	if b.states == nil {
		b.states = map[string]*endpointState{}
	}
	p := b.states[id]
	if p == nil {
		p = &endpointState{slowness: 1}
		b.states[id] = p
	}
	return p
}

// unknownState is the page of an endpoint of which nothing is known.
var unknownState = endpointState{slowness: 1}

// lookup returns an endpoint's page to read. A choice looks at many of which nothing is known.
func (b *Balancer) lookup(id string) *endpointState {
	if p := b.states[id]; p != nil {
		return p
	}
	return &unknownState
}

// Reset forgets what is known of an endpoint whose process has started anew. Calls that are
// under way at the one before are counted there until they end, and nowhere else.
func (b *Balancer) Reset(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, id)
}

// Forget drops endpoints that are not known any more and have nothing running.
func (b *Balancer) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.states {
		if p.running == 0 && !known(id) {
			delete(b.states, id)
		}
	}
}

// Load is what one box has at an endpoint.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`

	Running int
	Tokens  int
}

// OwnLoad returns this box's load by endpoint.
func (b *Balancer) OwnLoad() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, p := range b.states {
		if p.running > 0 {
			out[id] = Load{Running: p.running, Tokens: p.tokens}
		}
	}
	return out
}

// SetRemoteLoad replaces what the other boxes have at the endpoints, and how many they are.
func (b *Balancer) SetRemoteLoad(sum map[string]Load, others int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = others + 1
	b.remoteAt = now
	for _, p := range b.states {
		p.remote = remoteLoad{}
	}
	for id, l := range sum {
		b.state(id).remote = remoteLoad{l.Running, l.Tokens}
	}
}

// UnresponsiveFor returns for how long an endpoint that has calls has answered none.
func (b *Balancer) UnresponsiveFor(id string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.state(id)
	if p.running == 0 {
		return 0
	}
	from := p.lastProgress
	if p.busySince.After(from) {
		from = p.busySince
	}
	return now.Sub(from)
}
