package dialer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchlink.dev/birchlink/endpoint"
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
	e, ok := d.endpoint(q)
	switch {
	case !ok || e.Address != q.Address:
		return nil, tunnel.Unknown
	case q.Probe && d.IsInUse(e):
		return nil, tunnel.InUse
	case d.Links.IsLost(q.Endpoint):
		return nil, tunnel.Cut
	}
	if o, isKnown := d.knownOutcome(q.Endpoint); isKnown {
		return nil, o
	}
	n, err := d.direct(c, q, servedDialTimeout)
	o := tunnel.OutcomeOf(err)
	switch {
	case o == tunnel.Connected && q.Probe:
		_ = n.Close()
		return nil, o
	case o == tunnel.Connected:
		return n, o
	}
	if !d.reachesOther(c, q.Endpoint) {
		return nil, tunnel.Cut
	}
	d.recordOutcome(q, o)
	return nil, o
}

// endpoint returns the endpoint that another box asks about. A probe may ask about one that has departed.
func (d *Dialer) endpoint(q tunnel.Request) (endpoint.Endpoint, bool) {
	if q.Probe {
		if v, ok := d.Roster.Departure(q.Incarnation); ok {
			return v.Endpoint, true
		}
	}
	return d.Roster.Get(q.Endpoint)
}

// Probe returns whether an endpoint accepts connections, as far as this box and others find out. Refused and Failed mean that
// neither this box nor another connects to it, although the other reaches other endpoints, and that no box that was asked
// holds connections to it.
func (d *Dialer) Probe(c context.Context, e endpoint.Endpoint) tunnel.Outcome {
	q := tunnel.Request{Endpoint: e.ID, Address: e.Address, Incarnation: e.Incarnation()}
	n, err := d.direct(c, q, servedDialTimeout)
	if err == nil {
		_ = n.Close()
		return tunnel.Connected
	}
	own := tunnel.OutcomeOf(err)
	if c.Err() != nil {
		return tunnel.NoAnswer
	}
	if !d.Tunnels.HasOthers() {
		return own
	}
	o := d.Tunnels.Probe(c, q)
	if o == tunnel.Failed && own == tunnel.Refused {
		return tunnel.NoAnswer // the link of one of the two may have failed
	}
	return o
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
