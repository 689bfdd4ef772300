package forward

import (
	"context"
	"errors"
	"sync"

	"birchlink.dev/birchlink/endpoint"
)

// errReplaced reports that the endpoint's process has ended, since another started under its ID.
var errReplaced = errors.New("another process started under the endpoint's id")

// flights holds the attempts in progress, so that those at a terminated endpoint can be cancelled.
// The zero value is ready to use.
type flights struct {
	mu     sync.Mutex
	serial int
	all    map[string]map[int]context.CancelCauseFunc // by the endpoint's incarnation and a serial number
}

// begin adds an attempt. The function that it returns removes the attempt.
func (f *flights) begin(incarnation string, cancel context.CancelCauseFunc) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all == nil {
		f.all = map[string]map[int]context.CancelCauseFunc{}
	}
	if f.all[incarnation] == nil {
		f.all[incarnation] = map[int]context.CancelCauseFunc{}
	}
	f.serial++
	n := f.serial
	f.all[incarnation][n] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.all[incarnation], n)
		if len(f.all[incarnation]) == 0 {
			delete(f.all, incarnation)
		}
	}
}

// cancel cancels the attempts at an incarnation.
func (f *flights) cancel(incarnation string, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.all[incarnation] {
		c(cause)
	}
}

// Replaced cancels the attempts at an endpoint whose process has ended, since another process
// started under its ID. The old process will not answer, even if its box has not closed the
// connections. Repeatable requests are retried at once, possibly at the new process; the outcome of
// others is unknown.
func (f *Forwarder) Replaced(old endpoint.Endpoint) {
	f.Book.Reset(old.ID)
	f.flights.cancel(old.Incarnation(), errReplaced)
}

// serves reports whether this incarnation of an endpoint is the current one and is not draining.
func (f *Forwarder) serves(e endpoint.Endpoint) bool {
	now, ok := f.Roster.Get(e.ID)
	return ok && !now.Draining && now.Born == e.Born
}
