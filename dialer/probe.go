package dialer

import (
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/tunnel"
	"birchlink.dev/birchlink/wait"
)

// Check checks the link to an endpoint whose answer is overdue since a time. It does nothing if anything
// has arrived on the link since.
func (d *Dialer) Check(id, address string, since time.Time) {
	if !d.Links.BeginCheck(id, since, boottime.Now()) {
		return
	}
	d.spawn(func() { d.probe(tunnel.Request{Endpoint: id, Address: address}, checkTimeout) })
}

// probe connects to an endpoint directly. If that fails, it asks whether another box reaches it.
func (d *Dialer) probe(q tunnel.Request, timeout time.Duration) {
	n, err := d.direct(d.ctx, q, timeout)
	if err == nil {
		_ = n.Close()
		return
	}
	if _, isKnown := d.knownOutcome(q.Endpoint); isKnown || d.Links.IsLost(q.Endpoint) || !d.Tunnels.HasOthers() {
		return
	}
	n, o := d.Tunnels.Connect(d.ctx, q)
	if n != nil {
		_ = n.Close()
	}
	d.recordOutcome(q, o)
}

// startProbes starts the goroutine that probes failed links, unless it runs.
func (d *Dialer) startProbes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing || d.stopped {
		return
	}
	d.probing = true
	d.group.Go(d.probeFailed)
}

// probeFailed probes failed links until none is left.
func (d *Dialer) probeFailed() {
	for d.ctx.Err() == nil {
		due, more := d.dueProbes()
		if !more {
			return
		}
		for _, id := range due {
			e, ok := d.Roster.Get(id)
			if !ok {
				d.Links.Forget(func(known string) bool { return known != id })
				continue
			}
			d.spawn(func() { d.probe(tunnel.Request{Endpoint: id, Address: e.Address}, dialTimeout) })
		}
		wait.For(d.ctx, probePeriod)
	}
}

// dueProbes returns the endpoints to probe now. If no link has failed, it returns false, and the
// next failure starts the probes anew.
func (d *Dialer) dueProbes() (due []string, more bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due, more = d.Links.DueProbes(boottime.Now())
	d.probing = more
	return due, more
}
