// Package shutdown decides until when a box that is shutting down may send requests to endpoints. A request that was not sent can be
// refused truthfully, and another box serves it; one whose answer is cut at the end of the shutdown is lost.
package shutdown

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/answertimes"
	"birchlink.dev/birchlink/boottime"
)

// Reason is why a request may be sent to an endpoint or not, as a value in logs.
type Reason string

// The reasons.
const (
	Running      Reason = "running"       // the box is not shutting down
	DeadlineEnds Reason = "deadline_ends" // the deadline of the request is not after the end of the shutdown
	Expired      Reason = "expired"       // that deadline has passed
	InTime       Reason = "in_time"       // nearly all answers would end in time
	Closed       Reason = "closed"        // the box no longer accepts requests
	TooLong      Reason = "too_long"      // the answer may not end in time
	NotMeasured  Reason = "not_measured"  // it is not known how long answers take
)

// repeatableShare is the part of the answers to repeatable requests that must be known to end in time. Their callers go on elsewhere
// if one is cut, at about the cost of a refusal.
const repeatableShare = 0.95

// AnswerShare returns the part of the answers to requests of a kind that must be known to end in time.
func AnswerShare(isRepeatable bool) float64 {
	if isRepeatable {
		return repeatableShare
	}
	return 1
}

// Request is what a decision depends on besides the time.
type Request struct {
	Expires time.Time // deadline
	Ready   time.Time // when the request can be sent, if it waits until then; zero otherwise
	Answer  answertimes.Estimate
}

// Decision is whether a request may be sent to an endpoint now. The times are zero while the box is not shutting down.
type Decision struct {
	Allowed bool
	Reason  Reason
	Began   time.Time // when the shutdown began
	Latest  time.Time // when the request may no longer be sent
	Ends    time.Time // when the requests in progress are cancelled
	Request Request
}

// Window is the time in which a box may send requests to endpoints. It is safe for concurrent use. A nil Window and the zero value
// are those of a box that is not shutting down.
type Window struct {
	mu      sync.Mutex
	began   time.Time // zero before Begin
	accepts time.Time // until then the box accepts requests
	ends    time.Time
	waiting map[*waiter]bool
}

// Begin records that the shutdown begins: the box still accepts requests for the time accept, and requests in progress are cancelled
// after limit. Further calls have no effect.
func (w *Window) Begin(now time.Time, accept, limit time.Duration) {
	if w == nil {
		return
	}
	for _, v := range w.begin(now, accept, limit) {
		go v.check()
	}
}

// begin returns those that wait.
func (w *Window) begin(now time.Time, accept, limit time.Duration) []*waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.began.IsZero() {
		return nil
	}
	w.began, w.accepts, w.ends = now, now.Add(accept), now.Add(limit)
	return slices.Collect(maps.Keys(w.waiting))
}

// Shorten moves the end of a shutdown that has begun to an earlier time.
func (w *Window) Shorten(ends time.Time) {
	for _, v := range w.shorten(ends) {
		go v.check()
	}
}

// shorten returns those that wait.
func (w *Window) shorten(ends time.Time) []*waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.began.IsZero() || !ends.Before(w.ends) {
		return nil
	}
	w.ends = ends
	if w.accepts.After(ends) {
		w.accepts = ends
	}
	return slices.Collect(maps.Keys(w.waiting))
}

// HasBegun reports whether the shutdown has begun.
func (w *Window) HasBegun() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.began.IsZero()
}

// Decide decides whether a request that no endpoint has begun to run may be sent to one.
func (w *Window) Decide(q Request, now time.Time) Decision {
	d := Decision{Allowed: true, Reason: Running, Request: q}
	if w == nil {
		return d
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.began.IsZero() {
		return d
	}
	d.Began, d.Ends = w.began, w.ends
	allowed := InTime
	d.Latest, d.Reason = w.accepts, Closed
	switch t := w.ends.Add(-q.Answer.Long); {
	case !q.Expires.After(w.ends):
		d.Latest, d.Reason, allowed = q.Expires, Expired, DeadlineEnds
	case q.Answer.Long <= 0 || q.Answer.IsBound:
		d.Latest, d.Reason = w.began, NotMeasured
	case t.Before(d.Latest):
		d.Latest, d.Reason = t, TooLong
	}
	if d.Allowed = now.Before(d.Latest) && q.Ready.Before(d.Latest); d.Allowed {
		d.Reason = allowed
	}
	return d
}

// RequestFunc returns a request as it is known at a time.
type RequestFunc func(now time.Time) Request

// AfterFunc calls f once in a goroutine of its own when the request may no longer be sent, unless stop is called before. Once stop
// has returned, f has too, or is not called. F must not call stop.
func (w *Window) AfterFunc(q RequestFunc, f func(d Decision)) (stop func()) {
	if w == nil {
		return func() {}
	}
	v := &waiter{window: w, request: q, call: f}
	if !w.add(v) {
		go v.check()
	}
	return v.stop
}

// add adds a waiter. It reports whether the shutdown has not begun.
func (w *Window) add(v *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[*waiter]bool{}
	}
	w.waiting[v] = true
	return w.began.IsZero()
}

func (w *Window) remove(v *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, v)
}

// Context returns a context that is cancelled when the request may no longer be sent.
func (w *Window) Context(c context.Context, q RequestFunc) (context.Context, context.CancelFunc) {
	if w == nil {
		return c, func() {}
	}
	x, cancel := context.WithCancelCause(c)
	stop := w.AfterFunc(q, func(d Decision) { cancel(d.Err()) })
	return x, func() {
		stop()
		cancel(nil)
	}
}

// waiter calls a function when a request may no longer be sent.
type waiter struct {
	window  *Window
	request RequestFunc
	call    func(Decision)

	mu       sync.Mutex
	done     bool
	timer    *time.Timer   // nil until the shutdown begins
	returned chan struct{} // closed when the function has returned; nil before it is called
}

// check calls the function if the request may no longer be sent, and otherwise checks again when that may be so.
func (v *waiter) check() {
	if d, ok := v.end(); ok {
		defer close(v.returned)
		v.call(d)
	}
}

// end ends the wait if the request may no longer be sent.
func (v *waiter) end() (Decision, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	d := v.window.Decide(v.request(now), now)
	switch {
	case v.done:
		return d, false
	case !d.Allowed:
		v.done, v.returned = true, make(chan struct{})
		return d, true
	default:
		if v.timer != nil {
			v.timer.Stop()
		}
		v.timer = time.AfterFunc(d.Latest.Sub(now), v.check)
		return d, false
	}
}

// stop ends the wait.
func (v *waiter) stop() {
	v.window.remove(v)
	if c := v.cancel(); c != nil {
		<-c
	}
}

// cancel keeps the function from being called. If that has begun, it returns a channel that is closed once the function has returned.
func (v *waiter) cancel() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.done = true
	if v.timer != nil {
		v.timer.Stop()
	}
	return v.returned
}
