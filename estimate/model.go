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
	Read    int // of this request
	Ahead   int // of this box's other requests
	Told    int // of other boxes' requests, as they last told
	Running int // requests, all boxes together
}

// Model is what one box knows of the endpoints of one service: a weighted least
// squares fit of the time to the first event by load, and of the pauses after it by
// the requests that run. Errors count by their part of the time observed: one that is
// ten times too long weighs no more than one twice too short, so that a slow endpoint
// among others bends the fit little. Its zero value is ready.
type Model struct {
	mu     sync.Mutex
	own    Stats
	at     time.Time // until when own has been weighed down
	others Stats
	fit    fit
	solved time.Time
}

// half is the half-life of what was observed: long enough for some hundred answers on
// the smallest fleets, short against a change of the endpoints' kind.
const half = 20 * time.Second

// solveEvery is the time between two fits.
const solveEvery = 250 * time.Millisecond

// Observe takes an answer in: what the endpoint had to do, the time to the first
// event, and the objective for that.
func (m *Model) Observe(l Load, first, objective time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	m.own.First.add(l.features(), first.Seconds())
	m.own.count(l.Read, objective)
}

// ObservePause takes the mean pause between an answer's events in, and the requests
// that ran beside it.
func (m *Model) ObservePause(running int, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	m.own.Pause.add([]float64{1, float64(running)}, pause.Seconds())
}

// ObserveRun takes in how long an answer held its slot, from its sending to its end.
func (m *Model) ObserveRun(held time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	m.own.Runs++
	m.own.Held += held.Seconds()
}

// View returns what the model expects at a moment.
func (m *Model) View(now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := View{fit: *m.current(now)}
	if n := m.own.Runs + m.others.Runs; n > 0 {
		v.Held = seconds((m.own.Held + m.others.Held) / n)
	}
	return v
}

// Own returns what this box has observed, to be told to others.
func (m *Model) Own(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	return m.own.clone()
}

// All returns what all boxes have observed.
func (m *Model) All(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	return m.all()
}

// all returns this box's sums with the others'.
func (m *Model) all() Stats {
	s := m.own.clone()
	s.Add(m.others)
	return s
}

// Recall takes in what was observed before this process started.
func (m *Model) Recall(s Stats, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weighDown(now)
	m.own.Add(s)
}

// Tell replaces what the other boxes have observed together.
func (m *Model) Tell(s Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others = s
}

// Samples returns how many answers the fit rests on.
func (m *Model) Samples() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own.Moments[0] + m.others.Moments[0]
}

// weighDown lets what was observed earlier count for less.
func (m *Model) weighDown(now time.Time) {
	if !m.at.IsZero() {
		m.own.scale(math.Exp2(-float64(now.Sub(m.at)) / float64(half)))
	}
	m.at = now
}

// current returns the fit, which is made anew now and then.
func (m *Model) current(now time.Time) *fit {
	if m.solved.IsZero() || now.Sub(m.solved) >= solveEvery {
		m.fit = solve(m.all())
		m.solved = now
	}
	return &m.fit
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// Bearable is how much load one endpoint bears.
type Bearable struct {
	Tokens  float64 // prompt tokens to read a second
	Running float64 // requests at once
}

// Bear returns how much load an endpoint bears so that no more than late of the
// requests miss their objective for having waited, and that pauses stay within
// the target, if there is one.
func (m *Model) Bear(late float64, slots int, pause time.Duration) Bearable {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.all()
	f := solve(s)
	b := Bearable{Tokens: f.busy(&s, late) / max(f.perToken(&s), tiny), Running: slotPart * float64(max(slots, 1))}
	if pause > 0 {
		b.Running = min(b.Running, max(f.running(pausePart*pause.Seconds()), 1))
	}
	return b
}

// slotPart is the part of an endpoint's slots that the load may take on average: the
// rest is for what comes together. pausePart is the part of the longest pause allowed
// that the mean may take: prompts that are read lengthen single pauses.
const (
	slotPart  = 0.75
	pausePart = 0.5
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
