package dispatch

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/shutdown"
)

// WaitContext returns a context that ends when the call may no longer be sent to an endpoint because this box shuts down. Its cause is
// then of kind Stopping. Of a chat only the deadline must be set, and of a plain call also the service, the method, the kind and whether it may be repeated.
func (d *Dispatcher) WaitContext(c context.Context, q Call) (context.Context, context.CancelFunc) {
	x, cancel := context.WithCancelCause(c)
	h := d.streams.HandedOver()
	stopped := context.AfterFunc(h, func() { cancel(context.Cause(h)) })
	if q.Plain != nil {
		y, stop := d.proxy.WaitContext(x, *q.Plain)
		return y, func() {
			stopped()
			stop()
			cancel(nil)
		}
	}
	stop := d.Window.AfterFunc(
		func(now time.Time) shutdown.Request { return d.departure(q, now) },
		func(n shutdown.Decision) {
			if err := n.LateErr(); err != nil {
				cancel(err)
			}
		},
	)
	return x, func() {
		stopped()
		stop()
		cancel(nil)
	}
}

// mayBegin returns an error of kind Stopping if the call must not begin because this box shuts down.
func (d *Dispatcher) mayBegin(q Call) error {
	if q.Plain != nil {
		return d.proxy.MaySend(*q.Plain)
	}
	if err := context.Cause(d.streams.HandedOver()); err != nil || !d.Window.HasBegun() {
		return err
	}
	now := boottime.Now()
	return d.Window.Decide(d.departure(q, now), now).LateErr()
}

// mayForward returns an error of kind Stopping if this process can't wait for the outcome of a call that another one holds. The stream
// of a chat can be read from there by any box.
func (d *Dispatcher) mayForward(q Call) error {
	if q.Plain != nil {
		return d.proxy.MaySend(*q.Plain)
	}
	return context.Cause(d.streams.HandedOver())
}

// departure returns what decides whether a chat may begin while the box shuts down. Streams that can be handed over may until they are,
// and it is not known how long others take.
func (d *Dispatcher) departure(q Call, now time.Time) shutdown.Request {
	if d.streams.CanHandOver() {
		return shutdown.Request{Expires: d.Window.Decide(shutdown.Request{}, now).Ends}
	}
	return shutdown.Request{Expires: now.Add(time.Until(q.deadline()))}
}
