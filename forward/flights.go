package forward

import (
	"context"
	"errors"
	"sync"

	"birchlink.dev/birchlink/endpoint"
)

// errReplaced says that the endpoint's process has ended, as another started under its ID.
var errReplaced = errors.New("another process started under the endpoint's id")

// flights are the attempts under way, by the incarnation of their endpoint. Its zero value is
// ready.
type flights struct {
	mu     sync.Mutex
	serial int
	all    map[string]map[int]context.CancelCauseFunc
}

// begin notes an attempt until the function that it returns is called.
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

// cancel ends the attempts at an incarnation.
func (f *flights) cancel(incarnation string, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.all[incarnation] {
		c(cause)
	}
}

// Replaced ends the attempts at an endpoint whose process has ended, as another started under
// its ID: nothing more comes of them, also where its box said no word. What is repeatable goes
// on elsewhere at once, or at the new process; of the rest the outcome is unknown.
func (f *Forwarder) Replaced(old endpoint.Endpoint) {
	f.Book.Reset(old.ID)
	f.flights.cancel(old.Incarnation(), errReplaced)
}

// serves reports whether an incarnation of an endpoint is known, and has not said that it
// leaves.
func (f *Forwarder) serves(e endpoint.Endpoint) bool {
	now, ok := f.Roster.Get(e.ID)
	return ok && !now.Draining && now.Born == e.Born
}
