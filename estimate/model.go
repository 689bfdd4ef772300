// Package estimate learns from answers how fast the endpoints of a service are, and
// how much load one of them bears. It does no I/O.
package estimate

import (
	"math"
	"sync"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// Load is what an endpoint has to do when a request reaches it, as far as the box
// that chooses knows. Tokens are those of prompts that are still to be read.
type Load struct {
	Prefill      int // of this request
	LocalQueued  int // of this box's other requests
	RemoteQueued int // of other boxes' requests, as they last told
	Running      int // requests, all boxes together
}

// Model is what one box knows of the endpoints of one service: a weighted least
// squares fit of the time to the first event by load, and of the pauses after it by
// the requests that run. Errors count by their part of the time observed: one that is
// ten times too long weighs no more than one twice too short, so that a slow endpoint
// among others bends the fit little. Its zero value is ready.
type Model struct {
	mu        sync.Mutex
	local     Stats
	decayedAt time.Time // until when own has been weighed down
	remote    Stats
	fit       fit
	fittedAt  time.Time
}

// half is the half-life of what was observed: long enough for some hundred answers on
// the smallest fleets, short against a change of the endpoints' kind.
const halfLife = 20 * time.Second

// solveEvery is the time between two fits.
const fitInterval = 250 * time.Millisecond

// Observe takes an answer in: what the endpoint had to do, the time to the first
// event, and the objective for that.
func (m *Model) Observe(l Load, first, objective time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.First.add(l.features(), first.Seconds())
	m.local.countAnswer(l.Prefill, objective)
}

// ObservePause takes the mean pause between an answer's events in, and the requests
// that ran beside it.
func (m *Model) ObservePause(running int, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Pause.add([]float64{1, float64(running)}, pause.Seconds())
}

// ObserveRun takes in how long an answer held its slot, from its sending to its end.
func (m *Model) ObserveSlotTime(held time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Completed++
	m.local.SlotSeconds += held.Seconds()
}

// View returns what the model expects at a moment.
func (m *Model) Predict(now time.Time) Prediction {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := Prediction{fit: *m.currentFit(now)}
	if n := m.local.Completed + m.remote.Completed; n > 0 {
		v.SlotTime = seconds((m.local.SlotSeconds + m.remote.SlotSeconds) / n)
	}
	return v
}

// Own returns what this box has observed, to be told to others.
func (m *Model) Local(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.local.clone()
}

// All returns what all boxes have observed.
func (m *Model) All(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.all()
}

// all returns this box's sums with the others'.
func (m *Model) all() Stats {
	s := m.local.clone()
	s.Add(m.remote)
	return s
}

// Recall takes in what was observed before this process started.
func (m *Model) Restore(s Stats, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.local.Add(s)
}

// Tell replaces what the other boxes have observed together.
func (m *Model) SetRemote(s Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote = s
}

// Samples returns how many answers the fit rests on.
func (m *Model) Samples() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local.Moments[0] + m.remote.Moments[0]
}

// weighDown lets what was observed earlier count for less.
func (m *Model) decay(now time.Time) {
	if !m.decayedAt.IsZero() {
		m.local.scale(math.Exp2(-float64(now.Sub(m.decayedAt)) / float64(halfLife)))
	}
	m.decayedAt = now
}

// current returns the fit, which is made anew now and then.
func (m *Model) currentFit(now time.Time) *fit {
	if m.fittedAt.IsZero() || now.Sub(m.fittedAt) >= fitInterval {
		m.fit = fitStats(m.all())
		m.fittedAt = now
	}
	return &m.fit
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// Bearable is how much load one endpoint bears.
type Capacity struct {
	TokensPerSecond float64 // prompt tokens to read a second
	Running         float64 // requests at once
}

// Bear returns how much load an endpoint bears so that no more than late of the
// requests miss their objective for having waited, and that pauses stay within
// the target, if there is one.
func (m *Model) EndpointCapacity(late float64, slots int, pause time.Duration) Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.all()
	f := fitStats(s)
	b := Capacity{TokensPerSecond: f.maxPrefillUtilization(&s, late) / max(f.prefillSecondsPerToken(&s), epsilon), Running: slotShare * float64(max(slots, 1))}
	if pause > 0 {
		b.Running = min(b.Running, max(f.concurrencyForPause(meanPauseShare*pause.Seconds()), 1))
	}
	return b
}

// slotPart is the part of an endpoint's slots that the load may take on average: the
// rest is for what comes together. pausePart is the part of the longest pause allowed
// that the mean may take: prompts that are read lengthen single pauses.
const (
	slotShare      = 0.75
	meanPauseShare = 0.5
)

// PauseTarget returns the shortest pause that the routes to a service ask for, zero
// for none.
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
