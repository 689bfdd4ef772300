// Package liveness finds out whether the process of an endpoint has outlived a moment. It has if it answers a request that
// was sent afterwards over a new connection, or some time afterwards. That it accepts a connection, or that others to it are open, does not show that: the kernel closes the
// connections of a process that has ended one after another, and its listener last.
package liveness

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/boottime"
)

const (
	// askTimeout bounds the time for one question, beside the deadlines of those that wait for it. An endpoint may answer it like a
	// request, when it has room for one.
	askTimeout = 5 * time.Second

	// closePeriod is the time within which a process that is about to end closes its connections one after another. Until
	// then it may answer on those that are still open.
	closePeriod = 50 * time.Millisecond

	// maxProcesses bounds the processes whose answers are remembered.
	maxProcesses = 4096
)

// Reason is why a process is known to have outlived a moment, or is not, as a value in logs and a part of the names of metrics.
type Reason string

// The reasons.
const (
	Answered   Reason = "answered"   // it answered a request that was sent some time afterwards
	Asked      Reason = "asked"      // it answered a question
	Unanswered Reason = "unanswered" // it did not
	Cancelled  Reason = "cancelled"  // nobody waits for the answer any more
)

// Finding is what was found of a process. Err is why its answer is missing.
type Finding struct {
	Outlived bool
	Reason   Reason
	Err      error
}

// errNoQuestion reports that there is no question for a process.
var errNoQuestion = errors.New("there is no question that it would answer")

// AskFunc sends a question to a process over a new connection, and returns nil if that process has answered it.
type AskFunc func(c context.Context) error

// Prober remembers which processes have answered, and asks others. Its zero value is ready to use, and its methods may be called
// concurrently.
type Prober struct {
	mu        sync.Mutex
	processes *simplelru.LRU[string, *process] // by incarnation
}

// process is what is known of one process.
type process struct {
	answered time.Time     // when the newest request was sent that it has answered
	changed  chan struct{} // closed when answered changes; nil if nobody waits for that
	asking   *question     // under way; nil if none is
}

// question is a question that several callers may wait for.
type question struct {
	sent time.Time
	done chan struct{} // closed when err is final
	err  error
}

// RecordAnswer records that a process has answered a request that was not sent before a time.
func (p *Prober) RecordAnswer(incarnation string, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.process(incarnation)
	if !sent.After(s.answered) {
		return
	}
	s.answered = sent
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// process returns the entry of a process. The lock must be held.
func (p *Prober) process(incarnation string) *process {
	if p.processes == nil {
		p.processes, _ = simplelru.NewLRU[string, *process](maxProcesses, nil) // the size is above zero
	}
	s, ok := p.processes.Get(incarnation)
	if !ok {
		s = &process{}
		p.processes.Add(incarnation, s)
	}
	return s
}

// Outlives finds out whether a process has outlived a moment that has passed. Callers that wait for the same process share
// a question that was sent after the moments that they ask about. If ask is nil, only what the process answers by then counts.
func (p *Prober) Outlives(c context.Context, incarnation string, moment time.Time, ask AskFunc) Finding {
	for {
		p.mu.Lock()
		s := p.process(incarnation)
		if !s.answered.IsZero() && s.answered.Sub(moment) >= closePeriod {
			p.mu.Unlock()
			return Finding{Outlived: true, Reason: Answered}
		}
		if ask == nil {
			p.mu.Unlock()
			return Finding{Reason: Unanswered, Err: errNoQuestion}
		}
		if s.asking == nil {
			s.asking = p.ask(context.WithoutCancel(c), incarnation, s, ask)
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		q, changed := s.asking, s.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-c.Done():
			return Finding{Reason: Cancelled, Err: c.Err()}
		case <-q.done:
			if !q.sent.Before(moment) {
				return q.finding()
			}
		}
	}
}

func (q *question) finding() Finding {
	if q.err != nil {
		return Finding{Reason: Unanswered, Err: q.err}
	}
	return Finding{Outlived: true, Reason: Asked}
}

// ask sends a question to a process. The lock must be held.
func (p *Prober) ask(c context.Context, incarnation string, s *process, ask AskFunc) *question {
	q := &question{sent: boottime.Now(), done: make(chan struct{})}
	go func() {
		x, cancel := context.WithTimeoutCause(c, askTimeout, fmt.Errorf("no answer within %v", askTimeout))
		defer cancel()
		q.err = ask(x)
		p.mu.Lock()
		s.asking = nil
		p.mu.Unlock()
		close(q.done)
		if q.err == nil {
			p.RecordAnswer(incarnation, q.sent)
		}
	}()
	return q
}
