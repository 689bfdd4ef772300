// Package estimate predicts how long the endpoints of a service take to answer and how much load
// one endpoint sustains. It fits a linear model to the answers that this box and the other boxes
// observe. It does no I/O.
package estimate

import (
	"math"
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// Load is the work of an endpoint when a request reaches it, as known to the box that chooses the
// endpoint. Token counts are prompt tokens that still need prefill.
type Load struct {
	Prefill      int // tokens of this request
	LocalQueued  int // tokens of this box's other requests
	RemoteQueued int // tokens of other boxes' requests, as last reported
	Running      int // running requests of all boxes
}

// Model predicts the performance of the endpoints of one service. It is a weighted least squares
// fit of the time to the first event by load, and of the pauses between events by the number of
// running requests. The fit minimizes relative errors: an observation ten times as long as
// predicted weighs no more than one half as long, so that one slow endpoint affects the fit little.
// The zero value is ready to use. A Model is safe for concurrent use.
type Model struct {
	mu        sync.Mutex
	local     Stats
	decayedAt time.Time // when local was last decayed
	remote    Stats
	fit       fit
	fittedAt  time.Time
}

// halfLife is the half-life of an observation's weight. It is long enough to collect about a
// hundred answers in the smallest fleets, and short compared with the time in which the kind of the
// endpoints changes.
const halfLife = 20 * time.Second

// fitInterval is the minimum time between two fits.
const fitInterval = 250 * time.Millisecond

// Observe records an answer: the load of its endpoint, the time to its first event, and the
// objective for that time. An objective of zero stands for none.
func (m *Model) Observe(l Load, first, objective time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.First.add(l.features(), first.Seconds())
	m.local.countAnswer(l.Prefill, objective)
}

// ObservePause records the mean pause between the events of an answer, and the number of requests
// that ran on the endpoint at the same time.
func (m *Model) ObservePause(running int, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Pause.add([]float64{1, float64(running)}, pause.Seconds())
}

// ObserveSlotTime records how long an answer held its slot, from the sending of the request to the
// end of the answer.
func (m *Model) ObserveSlotTime(held time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Completed++
	m.local.SlotSeconds += held.Seconds()
}

// Predict returns the predictions of the model as of now.
func (m *Model) Predict(now time.Time) Prediction {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Prediction{fit: *m.currentFit(now)}
	if n := m.local.Completed + m.remote.Completed; n > 0 {
		p.SlotTime = seconds((m.local.SlotSeconds + m.remote.SlotSeconds) / n)
	}
	return p
}

// Local returns the observations of this box, to be reported to other boxes.
func (m *Model) Local(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.local.clone()
}

// All returns the observations of all boxes.
func (m *Model) All(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.all()
}

func (m *Model) all() Stats {
	s := m.local.clone()
	s.Add(m.remote)
	return s
}

// Restore adds observations made before this process started.
func (m *Model) Restore(s Stats, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Add(s)
}

// SetRemote replaces the observations of all other boxes.
func (m *Model) SetRemote(s Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote = s
}

// Samples returns the number of answers behind the fit, each weighted by its age.
func (m *Model) Samples() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local.Moments[0] + m.remote.Moments[0]
}

// decay reduces the weight of the local observations by the time since the last call.
func (m *Model) decay(now time.Time) {
	if !m.decayedAt.IsZero() {
		m.local.scale(math.Exp2(-float64(now.Sub(m.decayedAt)) / float64(halfLife)))
	}
	m.decayedAt = now
}

// currentFit returns the fit and recomputes it at most once per fitInterval.
func (m *Model) currentFit(now time.Time) *fit {
	if m.fittedAt.IsZero() || now.Sub(m.fittedAt) >= fitInterval {
		m.fit = fitStats(m.all())
		m.fittedAt = now
	}
	return &m.fit
}

// seconds converts a number of seconds to a Duration.
func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// Capacity is the load that one endpoint sustains.
type Capacity struct {
	TokensPerSecond float64 // prompt tokens to prefill per second
	Running         float64 // concurrent requests
}

// EndpointCapacity returns the load at which at most the fraction maxLate of the requests miss
// their objective because of queueing, and the pauses between events stay within pauseTarget. A
// pauseTarget of zero stands for none. slots is the number of slots of the endpoint.
func (m *Model) EndpointCapacity(maxLate float64, slots int, pauseTarget time.Duration) Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.all()
	f := fitStats(s)
	c := Capacity{
		TokensPerSecond: f.maxPrefillUtilization(&s, maxLate) / max(f.prefillSecondsPerToken(&s), epsilon),
		Running:         slotShare * float64(max(slots, 1)),
	}
	if pauseTarget > 0 {
		c.Running = min(c.Running, max(f.concurrencyForPause(meanPauseShare*pauseTarget.Seconds()), 1))
	}
	return c
}

// slotShare is the fraction of an endpoint's slots that may be in use on average; the other slots
// absorb bursts. meanPauseShare is the ratio of the mean pause to the longest pause allowed, since
// the prefill of other prompts lengthens single pauses.
const (
	slotShare      = 0.75
	meanPauseShare = 0.5
)

// PauseTarget returns the shortest gap target of the routes to a service, or zero if none of them
// has one.
func PauseTarget(d *catalog.Document, service string) time.Duration {
	t := time.Duration(0)
	for i := range d.Routes {
		r := &d.Routes[i]
		for _, s := range r.Shares {
			if s.Service == service && r.GapTarget > 0 && (t == 0 || r.GapTarget < t) {
				t = r.GapTarget
			}
		}
	}
	return t
}
