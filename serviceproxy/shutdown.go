package serviceproxy

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/shutdown"
)

// MaySend returns an error of kind Stopping if the request may no longer be sent to an endpoint because the box shuts down.
func (p *Proxy) MaySend(q Request) error {
	if !p.Window.HasBegun() {
		return nil
	}
	now := boottime.Now()
	return p.Window.Decide(p.departure(q, now), now).LateErr()
}

// WaitContext returns a context that ends when the request may no longer be sent to an endpoint because the box shuts down. Its cause
// is then of kind Stopping. Of the request only the service, the method, the kind, the deadline and whether it may be repeated count.
func (p *Proxy) WaitContext(c context.Context, q Request) (context.Context, context.CancelFunc) {
	x, cancel := context.WithCancelCause(c)
	stop := p.Window.AfterFunc(
		func(now time.Time) shutdown.Request { return p.departure(q, now) },
		func(d shutdown.Decision) {
			if err := d.LateErr(); err != nil {
				cancel(err)
			}
		},
	)
	return x, func() {
		stop()
		cancel(nil)
	}
}

// departure returns what decides whether the request may be sent while the box shuts down.
func (p *Proxy) departure(q Request, now time.Time) shutdown.Request {
	return shutdown.Request{Expires: now.Add(time.Until(q.Deadline)), Answer: p.answers.Long(q.answerKey(), shutdown.AnswerShare(q.Repeatable), now)}
}

// recordAnswerTime records how long an answer took that ended with err. The time of one that was ended by its deadline counts too,
// since the answer would have taken longer.
func (p *Proxy) recordAnswerTime(c context.Context, q Request, sent time.Time, err error) {
	now := boottime.Now()
	switch {
	case err == nil:
		p.answers.Record(q.answerKey(), now.Sub(sent), now)
	case errors.Is(c.Err(), context.DeadlineExceeded):
		p.answers.RecordBound(q.answerKey(), now.Sub(sent), now)
	}
}

// answerKey is the key under which the duration of the answer is measured.
func (q Request) answerKey() accuracy.Key {
	return accuracy.Key{Service: q.Service, Route: string(q.Kind) + " " + q.Method}
}

// stoppingError returns the error of a request that was cancelled because the box shuts down, or err if it was not.
func stoppingError(c context.Context, st recovery.State, err error) error {
	e := context.Cause(c)
	switch {
	case !errkind.Is(e, errkind.Stopping):
		return err
	case st.MayHaveRun:
		return errkind.New(errkind.OutcomeUnknown, "the box stopped before the answer came: %w", err)
	default:
		return e
	}
}
