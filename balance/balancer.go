// Package balance chooses the endpoint of a call by the expected time to its first event. The
// estimate uses the calls and answers of this box, the load that other boxes report, and their
// hints about long prompts. The package does no I/O: the time is an argument and randomness is a
// field, so that the same sequence of calls gives the same choices.
package balance

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/availability"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/speed"
	"birchlink.dev/birchlink/stall"
)

// Balancer tracks the state of each endpoint and chooses among endpoints. Its zero value is ready
// to use, and its methods may be called concurrently.
type Balancer struct {
	// Rand returns random numbers in [0, 1). If it is nil, each choice considers all endpoints,
	// regardless of the number of boxes.
	Rand func() float64

	// Availability holds which endpoints accept calls of this box.
	Availability availability.Availability

	// Speeds estimates the speed of each endpoint. If it is nil, endpoints are taken to be equally
	// fast, except for those that this box itself has found to be much slower than expected.
	Speeds *speed.Estimator

	stalls stall.Tracker

	mu          sync.Mutex
	boxes       int       // sending to the same endpoints, including this one
	nearPeers   int       // other boxes that send hints of long prompts
	farPeers    int       // other boxes that send hints of very long prompts only
	veryLong    longShare // tokens sent by this box, and those in very long prompts
	long        longShare // tokens sent by this box, and those in prompts hinted to nearby boxes
	remoteAt    time.Time // when the other boxes' load was last reported
	states      map[string]*endpointState
	dataCentres map[string]*dataCentreState
	models      map[string]*estimate.Model // by service
}

// endpointState is the state of one endpoint as seen by this box. The field tokens counts the prompt tokens
// of this box's calls that have had no event yet.
type endpointState struct {
	running             int
	tokens              int
	remote              remoteLoad
	hinted              backlog
	cached              cachedParts
	slowness            float64 // observed over expected time to the first event, smoothed
	failureRate         float64 // fraction of this box's calls that failed, smoothed, at failureRateAt
	failureRateAt       time.Time
	ownCalls            decayingCounts // of this box
	remoteCalls         decayingCounts // of the other boxes of the data centre, reported for endpoints with failures
	consecutiveFailures int            // attempts in a row that got no connection or no answer
	avoidedUntil        time.Time      // until then used only if there is no other
	unproven            bool           // it was avoided and has sent nothing since; a single call tries it at a time
	probationFrom       time.Time      // end of the last back-off period; zero once a call that began later has run
	trials              int            // calls under way that began at or after probationFrom
	lastProgress        time.Time      // when it last sent anything
	busySince           time.Time      // when running last rose from zero
	wokeAt              time.Time      // when it last went on after a silence
	excusedAt           time.Time      // the same, for a silence that was an exception
	stalledAt           time.Time      // when a stream last had a gap much longer than its expected pause
}

// remoteLoad is the load that the other boxes reported.
type remoteLoad struct {
	running int
	tokens  int
}

// Weights of a new sample in the exponential moving averages.
const (
	slownessWeight = 0.15
	failureWeight  = 0.12
)

// An endpoint that did not answer is avoided for minAvoid; the time doubles with each failure in a
// row, up to maxAvoid.
const (
	minAvoid = 300 * time.Millisecond
	maxAvoid = 3 * time.Second
)

func (b *Balancer) state(id string) *endpointState {
	if b.states == nil {
		b.states = map[string]*endpointState{}
	}
	st := b.states[id]
	if st == nil {
		st = &endpointState{slowness: 1}
		b.states[id] = st
	}
	return st
}

// unknownState is the state of endpoints without an entry in Balancer.states.
var unknownState = endpointState{slowness: 1}

// lookup returns an endpoint's state for reading. Unlike state it creates no entry: a choice
// considers many endpoints that this box has not used.
func (b *Balancer) lookup(id string) *endpointState {
	if st := b.states[id]; st != nil {
		return st
	}
	return &unknownState
}

// Reset discards the state of an endpoint whose process has restarted. Calls still under way at the
// previous process keep updating the discarded state only.
func (b *Balancer) Reset(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, id)
}

// Forget discards the state of endpoints that are not known and have no calls under way.
func (b *Balancer) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.states {
		if st.running == 0 && !known(id) {
			delete(b.states, id)
		}
	}
}

// Load is the load of one box at an endpoint.
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
	for id, st := range b.states {
		if st.running > 0 {
			out[id] = Load{Running: st.running, Tokens: st.tokens}
		}
	}
	return out
}

// SetRemoteLoad replaces the total load of the other boxes by endpoint, and their number, as reported
// at now.
func (b *Balancer) SetRemoteLoad(sum map[string]Load, others int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = others + 1
	b.remoteAt = now
	for _, st := range b.states {
		st.remote = remoteLoad{}
	}
	for id, l := range sum {
		b.state(id).remote = remoteLoad{l.Running, l.Tokens}
	}
}

// UnresponsiveFor returns for how long an endpoint with calls under way has sent nothing. It
// returns 0 if there are no calls.
func (b *Balancer) UnresponsiveFor(id string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lookup(id).silence(now)
}

// isSilent reports whether the endpoint has sent something for the calls under way, and nothing for longer than d since. An endpoint that
// has sent nothing for them may be reading their prompts.
func (st *endpointState) isSilent(d time.Duration, now time.Time) bool {
	return st.lastProgress.After(st.busySince) && st.silence(now) > d
}

// isUnheard reports whether the endpoint has calls under way and has sent nothing since the first of them began.
func (st *endpointState) isUnheard() bool {
	return st.running > 0 && !st.lastProgress.After(st.busySince)
}

// silence returns for how long the endpoint has sent nothing while it had calls under way.
func (st *endpointState) silence(now time.Time) time.Duration {
	if st.running == 0 {
		return 0
	}
	from := st.lastProgress
	if st.busySince.After(from) {
		from = st.busySince
	}
	return now.Sub(from)
}
