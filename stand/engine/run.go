package engine

import (
	"sync"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/stand/answer"
)

// Run is one attempt at the engine, as the audit shows it.
type Run struct {
	engine.Request
	State   engine.State `json:"state"`
	Tokens  int          `json:"tokens"`
	Prefill int          `json:"prefill"`
	Cached  bool         `json:"cached"`
}

// attempt is a Run with what is needed to go on with it.
type attempt struct {
	mu      sync.Mutex
	run     Run
	next    int
	changed chan struct{}
	grant   chan struct{}
	stop    chan struct{}
}

func newAttempt(q engine.Request) *attempt {
	return &attempt{
		run:  Run{Request: q, State: engine.Queued},
		next: q.From, changed: make(chan struct{}), grant: make(chan struct{}), stop: make(chan struct{}),
	}
}

// set changes the state under the lock and wakes the readers.
func (a *attempt) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

// view returns how far the attempt is and a channel that closes on change.
func (a *attempt) view() (int, Run, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next, a.run, a.changed
}

// halt stops the attempt unless it has ended, and returns its last state.
func (a *attempt) halt() engine.Cancelled {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.run.State {
	case engine.Queued, engine.Running:
		was := a.run.State
		a.run.State = engine.Stopped
		close(a.stop)
		close(a.changed)
		a.changed = make(chan struct{})
		if was == engine.Queued {
			return engine.Cancelled{State: engine.NotStarted, Tokens: a.next}
		}
	}
	return engine.Cancelled{State: a.run.State, Tokens: a.next}
}

// step computes the next token and reports whether there are more.
func (a *attempt) step() bool {
	more := false
	a.set(func() {
		if a.run.State != engine.Running {
			return
		}
		a.next++
		a.run.Tokens++
		if a.next >= a.run.MaxTokens {
			a.run.State = engine.Done
			return
		}
		more = true
	})
	return more
}

func (a *attempt) line(i int, r Run) engine.Line {
	l := engine.Line{RequestID: r.RequestID, Attempt: r.Attempt, Index: i, Token: answer.Token(r.Model, r.Prompt, i)}
	if i == r.From {
		l.Prefill = r.Prefill
	}
	return l
}
