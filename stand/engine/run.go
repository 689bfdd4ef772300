package engine

import (
	"sync"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/stand/answer"
)

// Run describes one attempt that the engine accepted, as reported by the audit. Tokens counts the
// tokens computed, Prefill the prompt tokens computed before the first of them. Cached reports
// whether the prompt was in the prefix cache or its KV cache was imported.
type Run struct {
	engine.Request
	State   engine.State `json:"state"`
	Tokens  int          `json:"tokens"`
	Prefill int          `json:"prefill"`
	Cached  bool         `json:"cached"`
}

// attempt is a Run in progress. nextToken is the index of the token to compute next. changed is
// closed and replaced at every change, slotGranted is closed when the attempt gets a slot, and stop
// is closed when it is cancelled.
type attempt struct {
	mu          sync.Mutex
	run         Run
	nextToken   int
	changed     chan struct{}
	slotGranted chan struct{}
	stop        chan struct{}
}

func newAttempt(q engine.Request) *attempt {
	return &attempt{
		run:       Run{Request: q, State: engine.Queued},
		nextToken: q.From, changed: make(chan struct{}), slotGranted: make(chan struct{}), stop: make(chan struct{}),
	}
}

// update calls f with a.mu held and notifies the readers.
func (a *attempt) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the index of the next token, the Run, and a channel that is closed at the next
// change.
func (a *attempt) snapshot() (int, Run, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextToken, a.run, a.changed
}

// cancel stops the attempt if it is queued or running, and returns its last state.
func (a *attempt) cancel() engine.Cancelled {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.run.State {
	case engine.Queued, engine.Running:
		previous := a.run.State
		a.run.State = engine.Stopped
		close(a.stop)
		close(a.changed)
		a.changed = make(chan struct{})
		if previous == engine.Queued {
			return engine.Cancelled{State: engine.NotStarted, Tokens: a.nextToken}
		}
	}
	return engine.Cancelled{State: a.run.State, Tokens: a.nextToken}
}

// step computes the next token and reports whether the attempt has more.
func (a *attempt) step() bool {
	more := false
	a.update(func() {
		if a.run.State != engine.Running {
			return
		}
		a.nextToken++
		a.run.Tokens++
		if a.nextToken >= a.run.MaxTokens {
			a.run.State = engine.Done
			return
		}
		more = true
	})
	return more
}

// tokenLine returns the line for token i. The first line also carries the number of prompt tokens
// computed.
func (a *attempt) tokenLine(i int, r Run) engine.Line {
	l := engine.Line{RequestID: r.RequestID, Attempt: r.Attempt, Index: i, Token: answer.Token(r.Model, r.Prompt, i)}
	if i == r.From {
		l.Prefill = r.Prefill
	}
	return l
}
