package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
)

// errSilent reports that an attempt was cancelled because its endpoint was unresponsive.
var errSilent = errors.New("the endpoint is silent")

// An attempt is cancelled if neither it nor any other call of its endpoint has received anything
// for the time silence. Otherwise a stream at an unreachable endpoint would hang until its
// caller gives up; without unreachable endpoints the watch gains nothing. Before the first event
// of a call the time is longer by expectedPart times the expected time to the first event: on a
// day without failures all 8 endpoints that seemed silent were reading long prompts, which took
// up to three times the expected time.
const (
	silence      = 1200 * time.Millisecond
	expectedPart = 2.0
	watchStep    = 200 * time.Millisecond
)

// plainPart is the time that a repeatable call of a plain service may take at one endpoint before
// another is tried, as a multiple of the route's latency objective.
const plainPart = 1.0

// watch cancels an attempt whose endpoint is unresponsive. Requests that must not run twice are not
// cancelled, since the endpoint may still be running them.
type watch struct {
	mu    sync.Mutex
	last  time.Time     // of the last event; on the monotonic clock, which stops while the box is suspended
	limit time.Duration // the time allowed until the next event
	timer *time.Timer
	over  bool
}

// watch starts the watch of an attempt at the chosen endpoint.
func (r *run) watch(cancel context.CancelCauseFunc, ch balance.Choice) *watch {
	e := ch.Endpoint
	w := &watch{last: time.Now(), limit: silence + time.Duration(expectedPart*float64(ch.Expected))}
	if !r.q.Route.Repeatable() {
		return w
	}
	if !r.stream() {
		if r.attempts()+1 < r.limit() && r.q.Route.Objective > 0 {
			d := time.Duration(plainPart * float64(r.q.Route.Objective))
			w.timer = time.AfterFunc(d, func() { cancel(errSilent) })
		}
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchStep, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.over {
			return
		}
		if time.Since(w.last) > w.limit && r.f.Book.UnresponsiveFor(e.ID, boottime.Now()) > w.limit {
			r.f.Book.Avoid(e, boottime.Now())
			cancel(errSilent)
			return
		}
		w.timer.Reset(watchStep)
	})
	return w
}

// saw records an event.
func (w *watch) saw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.limit = time.Now(), silence
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
