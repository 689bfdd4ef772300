package forward

import (
	"context"
	"errors"
	"sync"

	"birchlink.dev/birchlink/endpoint"
)

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
func (f *attemptSet) add(incarnation string, cancel context.CancelCauseFunc) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancels == nil {
		f.cancels = map[string]map[int]context.CancelCauseFunc{}
	}
	if f.cancels[incarnation] == nil {
		f.cancels[incarnation] = map[int]context.CancelCauseFunc{}
	}
	f.lastID++
	n := f.lastID
	f.cancels[incarnation][n] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.cancels[incarnation], n)
		if len(f.cancels[incarnation]) == 0 {
			delete(f.cancels, incarnation)
		}
	}
}

// cancel cancels the attempts at an incarnation.
func (f *attemptSet) cancel(incarnation string, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.cancels[incarnation] {
		c(cause)
	}
}

// CancelReplaced cancels the attempts at an endpoint whose process has ended, since another process
// started under its ID. The old process will not answer, even if its box has not closed the
// connections. Repeatable requests are retried at once, possibly at the new process; the outcome of
// others is unknown.
func (f *Forwarder) CancelReplaced(old endpoint.Endpoint) {
	f.Balancer.Reset(old.ID)
	f.attempts.cancel(old.Incarnation(), errReplaced)
}

// isServing reports whether this incarnation of an endpoint is the current one and is not draining.
func (f *Forwarder) isServing(e endpoint.Endpoint) bool {
	now, ok := f.Roster.Get(e.ID)
	return ok && !now.Draining && now.StartMillis == e.StartMillis
}
