package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
)

// errSilent says that an attempt was given up because its endpoint was silent.
var errSilent = errors.New("the endpoint is silent")

// The silence after which an endpoint is taken to be gone: none of its calls has
// had anything from it, and this one neither. Before a call's first event that is
// longer by expectedPart times what was expected: of 8 silences on a day on which all
// endpoints lived, all were of long prompts that took up to three times that. The watch
// keeps streams from hanging at an endpoint that has gone dark until their callers give
// up; on days without that it gains nothing.
const (
	silence      = 1200 * time.Millisecond
	expectedPart = 2.0
	watchStep    = 200 * time.Millisecond
)

// plainPart is how many objectives a repeatable call of a plain service is given
// at one endpoint before another is tried.
const plainPart = 1.0

// watch ends an attempt whose endpoint is silent. A request that may not run
// twice is left alone: a silent endpoint may still be running it.
type watch struct {
	mu    sync.Mutex
	last  time.Time     // on the steady clock: a box that is suspended hears nobody
	limit time.Duration // the silence allowed until the next event
	timer *time.Timer
	over  bool
}

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
