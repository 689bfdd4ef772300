package dialer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchlink.dev/birchlink/tunnel"
)

// Refuses reports whether an endpoint refuses connections, that is, its process has ended. A refusal on this
// box's own link must be confirmed by another box, unless there is none.
func (d *Dialer) Refuses(c context.Context, id, address string, timeout time.Duration) (net.Conn, bool) {
	q := tunnel.Request{Endpoint: id, Address: address}
	n, err := d.direct(c, q, timeout)
	if err == nil || c.Err() != nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return n, false
	}
	if o, isKnown := d.knownOutcome(id); isKnown {
		return nil, o == tunnel.Refused
	}
	if !d.Tunnels.HasOthers() {
		return nil, true
	}
	n, o := d.Tunnels.Connect(c, q)
	d.recordOutcome(q, o)
	return n, o == tunnel.Refused
}

// Serve connects to an endpoint for another box's tunnel. It reports the endpoint as refusing or silent only
// if this box reaches other endpoints.
func (d *Dialer) Serve(c context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome) {
	e, ok := d.Roster.Get(q.Endpoint)
	switch {
	case !ok || e.Address != q.Address:
		return nil, tunnel.Unknown
	case d.Links.IsLost(q.Endpoint):
		return nil, tunnel.Cut
	}
	if o, isKnown := d.knownOutcome(q.Endpoint); isKnown {
		return nil, o
	}
	n, err := d.direct(c, q, servedDialTimeout)
	o := tunnel.OutcomeOf(err)
	if o == tunnel.Connected {
		return n, o
	}
	if !d.reachesOther(c, q.Endpoint) {
		return nil, tunnel.Cut
	}
	d.recordOutcome(q, o)
	return nil, o
}

// reachesOther reports whether this box can connect to any of a few endpoints other than id. Past traffic doesn't
// show that: the links may have failed since.
func (d *Dialer) reachesOther(c context.Context, id string) bool {
	es := d.Roster.Others(id, witnesses)
	if len(es) == 0 {
		return true
	}
	var reached atomic.Bool
	var g sync.WaitGroup
	for _, e := range es {
		g.Go(func() {
			n, err := d.direct(c, tunnel.Request{Endpoint: e.ID, Address: e.Address}, witnessTimeout)
			if err == nil {
				_ = n.Close()
				reached.Store(true)
			}
		})
	}
	g.Wait()
	return reached.Load()
}
