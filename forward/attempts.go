package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/termination"
)

// replacedCheckInterval is the interval of checks whether a process has ended whose record shows another start.
const replacedCheckInterval = 200 * time.Millisecond

// errReplaced reports that the endpoint's process has ended, since another started under its ID.
var errReplaced = errors.New("another process started under the endpoint's id")

// attemptSet holds the attempts in progress, so that those at a terminated endpoint can be
// cancelled. The zero value is ready to use.
type attemptSet struct {
	mu      sync.Mutex
	lastID  int
	cancels map[string]map[int]context.CancelCauseFunc // by the endpoint's incarnation and a serial number
}

// add adds an attempt. The function that it returns removes the attempt.
func (s *attemptSet) add(incarnation string, cancel context.CancelCauseFunc) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = map[string]map[int]context.CancelCauseFunc{}
	}
	if s.cancels[incarnation] == nil {
		s.cancels[incarnation] = map[int]context.CancelCauseFunc{}
	}
	s.lastID++
	n := s.lastID
	s.cancels[incarnation][n] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels[incarnation], n)
		if len(s.cancels[incarnation]) == 0 {
			delete(s.cancels, incarnation)
		}
	}
}

// cancel cancels the attempts at an incarnation.
func (s *attemptSet) cancel(incarnation string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cancels[incarnation] {
		c(cause)
	}
}

// count returns the number of attempts in progress.
func (s *attemptSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, cs := range s.cancels {
		n += len(cs)
	}
	return n
}

// CountAttempts returns the number of attempts in progress at all endpoints.
func (f *Forwarder) CountAttempts() int { return f.attempts.count() }

// has reports whether there are attempts at an incarnation.
func (s *attemptSet) has(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancels[incarnation]) > 0
}

// CancelReplaced cancels the attempts at an endpoint whose record shows another start, once its process is found to have
// ended: it will not answer, even if its box has not closed the connections. Repeatable requests are then retried,
// possibly at the new process; the outcome of others is unknown. It doesn't block.
func (f *Forwarder) CancelReplaced(old endpoint.Endpoint) {
	f.Balancer.Reset(old.ID)
	if f.Terminations != nil && f.attempts.has(old.Incarnation()) {
		go f.cancelEnded(old)
	}
}

// cancelEnded cancels the attempts at an endpoint once its process is found to have ended.
func (f *Forwarder) cancelEnded(e endpoint.Endpoint) {
	t := time.NewTicker(replacedCheckInterval)
	defer t.Stop()
	for f.attempts.has(e.Incarnation()) {
		if f.Terminations.Check(context.Background(), e).Verdict == termination.Ended {
			f.attempts.cancel(e.Incarnation(), errReplaced)
			return
		}
		<-t.C
	}
}

// isServing reports whether this incarnation of an endpoint is the current one and is not draining.
func (f *Forwarder) isServing(e endpoint.Endpoint) bool {
	now, ok := f.Roster.Get(e.ID)
	return ok && !now.Draining && now.StartMillis == e.StartMillis
}
