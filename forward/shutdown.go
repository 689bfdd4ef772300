package forward

import (
	"cmp"
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/shutdown"
)

// ShutdownRequest returns what a shutdown needs to know of a request that was not sent to any endpoint. It may be used concurrently
// with changes of the request.
func (f *Forwarder) ShutdownRequest(q *Request) shutdown.RequestFunc {
	expires, k, share := q.Expires, accuracy.Key{Service: q.Service.Name, Route: q.Route.Name}, shutdown.AnswerShare(q.Route.Repeatable())
	return func(now time.Time) shutdown.Request {
		return shutdown.Request{Expires: expires, Answer: f.AnswerTimes.Long(k, share, now)}
	}
}

// CheckShutdown returns an error if the box shuts down and the request, which was not sent to any endpoint, can no longer be sent.
func (f *Forwarder) CheckShutdown(q *Request) error {
	if !f.Shutdown.HasBegun() {
		return nil
	}
	now := boottime.Now()
	return f.Shutdown.Decide(f.ShutdownRequest(q)(now), now).Err()
}

// checkShutdown returns an error if no endpoint may have run the request, the box shuts down, and the request can no longer be sent.
// Otherwise it goes on until the end of the shutdown.
func (r *run) checkShutdown() error {
	if r.mayHaveRun || r.continued != nil {
		return nil
	}
	return r.f.CheckShutdown(&r.q)
}

// waitContext returns a context for what the request waits for before it is sent. If the box shuts down, it ends when a request that no
// endpoint may have run can no longer be sent. Ready is the time until which the request waits, or zero if that is not known.
func (r *run) waitContext(c context.Context, ready time.Time) (context.Context, context.CancelFunc) {
	if r.mayHaveRun {
		return c, func() {}
	}
	f := r.f.ShutdownRequest(&r.q)
	return r.f.Shutdown.Context(c, func(now time.Time) shutdown.Request {
		q := f(now)
		q.Ready = ready
		return q
	})
}

// chooseInTime chooses an endpoint and decides whether an attempt is made there. It returns an error if not, or if the box shuts down
// before the request can be sent.
func (r *run) chooseInTime(c context.Context) (ch balance.Choice, ok bool, err error) {
	x, cancel := r.waitContext(c, time.Time{})
	defer cancel()
	if ch, ok = r.choose(x); ok {
		ch, err = r.admit(x, ch)
	}
	if r.late == nil {
		r.late = shutdown.RefusalOf(x)
	}
	return ch, ok, cmp.Or(r.late, err)
}

// decideInTime decides as decide does. It returns an error if the box shuts down before the request can be sent again.
func (r *run) decideInTime(c context.Context, out attemptResult, e endpoint.Endpoint) (recovery.Decision, error) {
	x, cancel := r.waitContext(c, time.Time{})
	defer cancel()
	d := r.decide(x, out, e)
	return d, cmp.Or(shutdown.RefusalOf(x), r.checkShutdown())
}

// recordAnswerTime records how long the answer to a request took that ended with err. The time of one that was ended by its deadline
// counts too, since the answer would have taken longer.
func (r *run) recordAnswerTime(c context.Context, err error) {
	sent, now := r.trace.FirstSent, boottime.Now()
	switch {
	case sent.IsZero():
	case err == nil && r.shared.succeeded.Load():
		r.f.AnswerTimes.Record(r.accuracyKey(), now.Sub(sent), now)
	case err != nil && r.mayHaveRun && !now.Before(r.q.Expires) && !errors.Is(c.Err(), context.Canceled):
		r.f.AnswerTimes.RecordBound(r.accuracyKey(), r.q.Expires.Sub(sent), now)
	}
}
