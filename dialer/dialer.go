// Package dialer connects a box to endpoints: over its own links or, where these have failed, through
// another box. It probes failed links until they work again, and keeps what it finds apart from what
// is known of the endpoints: an endpoint that this box alone doesn't reach has not failed.
package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/linkstate"
	"birchlink.dev/birchlink/tunnel"
)

// Name is the name under which the service is registered in the kernel.
const Name = "dialer"

const (
	// dialTimeout bounds the time to connect to an endpoint directly. Connections normally take
	// milliseconds, also to another data centre.
	dialTimeout = 250 * time.Millisecond

	// servedDialTimeout bounds it for another box's tunnel, and witnessTimeout the check whether this box
	// reaches any of witnesses other endpoints. Both end before the other box stops waiting.
	servedDialTimeout = 60 * time.Millisecond
	witnessTimeout    = 40 * time.Millisecond
	witnesses         = 2

	// hedgeDelay is the time after which another box is asked while a direct connection is under
	// way. It exceeds several round trips.
	hedgeDelay = 40 * time.Millisecond

	// checkTimeout bounds the check of a link on which an answer is overdue.
	checkTimeout = 100 * time.Millisecond

	// probePeriod is the time between two looks for due probes.
	probePeriod = 100 * time.Millisecond
)

// errUnreached reports that neither this box nor another has reached an endpoint.
var errUnreached = errors.New("no box reaches the endpoint")

// Tunnels connects to endpoints through other boxes.
type Tunnels interface {
	// Connect returns a connection, or nil and what is known of the endpoint.
	Connect(c context.Context, q tunnel.Request) (net.Conn, tunnel.Outcome)
	// Probe returns what other boxes know of an endpoint.
	Probe(c context.Context, q tunnel.Request) tunnel.Outcome
	// HasOthers reports whether there are other boxes.
	HasOthers() bool
}

// Dialer connects to endpoints. Its exported fields must be set before use.
type Dialer struct {
	DialFunc httpconn.DialFunc
	Roster   *endpoint.Roster
	Tunnels  Tunnels
	Links    linkstate.Tracker

	// OnLost is called when the link to an endpoint is found to be lost, and OnRecovered when
	// connections to one are possible again.
	OnLost      func(id string)
	OnRecovered func(id string)

	// IsInUse reports whether this box holds connections to an endpoint that show that its process has not ended.
	IsInUse func(e endpoint.Endpoint) bool

	Metrics metrics.Registry
	Log     zerolog.Logger

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	probing bool
	stopped bool
	group   sync.WaitGroup
}

// New returns a dialer. Its probes end when Stop is called.
func New(dial httpconn.DialFunc, r *endpoint.Roster, t Tunnels, m metrics.Registry, log zerolog.Logger) *Dialer {
	d := &Dialer{DialFunc: dial, Roster: r, Tunnels: t, Metrics: m, Log: log}
	d.OnLost, d.OnRecovered, d.IsInUse = func(string) {}, func(string) {}, func(endpoint.Endpoint) bool { return false }
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Name returns the service's name.
func (d *Dialer) Name() string { return Name }

// Start does nothing. Probes start when a link fails.
func (d *Dialer) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop ends the probes and waits for them.
func (d *Dialer) Stop(context.Context) error {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.cancel()
	d.group.Wait()
	return nil
}

// spawn starts a goroutine that Stop waits for. Once the dialer is stopped, it does nothing.
func (d *Dialer) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.group.Go(f)
	}
	return !d.stopped
}

// direct connects to an endpoint over this box's own link and records the result.
func (d *Dialer) direct(c context.Context, q tunnel.Request, timeout time.Duration) (net.Conn, error) {
	x, cancel := context.WithTimeout(c, timeout)
	defer cancel()
	n, err := d.DialFunc(x, "tcp", q.Address)
	now := boottime.Now()
	switch {
	case err == nil:
		if d.Links.RecordConnected(q.Endpoint, now) {
			d.Log.Info().Str("event", "link").Str("endpoint", q.Endpoint).Int("lost", d.Links.CountLost()).Msg("connections to the endpoint are possible again")
			d.OnRecovered(q.Endpoint)
		}
		return n, nil
	case c.Err() == nil:
		d.Links.RecordFailure(q.Endpoint, isTimeout(err), now)
		d.startProbes()
	}
	return nil, fmt.Errorf("reach %s: %w", q.Address, err)
}

// isTimeout reports whether a connection failed because nothing came back.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// result is the result of one way to connect.
type result struct {
	conn    net.Conn
	err     error
	outcome tunnel.Outcome // of a tunnel
}

// Connect connects to an endpoint. The error wraps syscall.ECONNREFUSED only if the endpoint's process
// has ended as far as this box can find out.
func (d *Dialer) Connect(c context.Context, id, address string) (net.Conn, error) {
	q := tunnel.Request{Endpoint: id, Address: address}
	switch d.Links.Path(id) {
	case linkstate.Detour:
		return d.detour(c, q)
	case linkstate.Both:
		return d.race(c, q, 0)
	default:
		return d.race(c, q, hedgeDelay)
	}
}

// detour connects through another box, or directly if no other box reaches the endpoint.
func (d *Dialer) detour(c context.Context, q tunnel.Request) (net.Conn, error) {
	n, o := d.Tunnels.Connect(c, q)
	if n != nil {
		return n, nil
	}
	d.recordOutcome(q, o)
	n, err := d.direct(c, q, dialTimeout)
	if err != nil {
		return nil, judge(err, o)
	}
	return n, nil
}

// race connects directly, and through another box if that fails or takes longer than delay. The first
// connection is returned.
func (d *Dialer) race(c context.Context, q tunnel.Request, delay time.Duration) (net.Conn, error) {
	// The direct attempt is not cancelled when a tunnel is faster, since it tells whether the link works.
	directly := d.start(func() result {
		n, err := d.direct(context.WithoutCancel(c), q, dialTimeout)
		return result{conn: n, err: err}
	})
	own, known := receive(c, directly, delay)
	switch {
	case own.conn != nil:
		return own.conn, nil
	case c.Err() != nil:
		d.spawn(func() { closeLate(directly, known) })
		return nil, c.Err()
	}
	o, isKnown := d.knownOutcome(q.Endpoint)
	if isKnown || !d.Tunnels.HasOthers() {
		if !known {
			own = <-directly
		}
		if isKnown {
			own.err = judge(own.err, o)
		}
		return own.conn, own.err
	}
	x, cancel := context.WithCancel(c)
	defer cancel()
	detour := d.start(func() result {
		n, o := d.Tunnels.Connect(x, q)
		return result{conn: n, outcome: o}
	})
	if !known {
		select {
		case own = <-directly:
		case other := <-detour:
			return d.takeDetour(q, directly, other)
		}
		if own.conn != nil {
			d.spawn(func() { closeLate(detour, false) })
			return own.conn, nil
		}
	}
	other := <-detour
	d.recordOutcome(q, other.outcome)
	if other.conn != nil {
		return other.conn, nil
	}
	return nil, judge(own.err, other.outcome)
}

// takeDetour returns the result of a tunnel while the direct attempt is still under way.
func (d *Dialer) takeDetour(q tunnel.Request, directly <-chan result, other result) (net.Conn, error) {
	if other.conn == nil {
		own := <-directly
		if own.conn != nil {
			return own.conn, nil
		}
		d.recordOutcome(q, other.outcome)
		return nil, judge(own.err, other.outcome)
	}
	d.spawn(func() {
		own := <-directly
		if own.conn != nil {
			_ = own.conn.Close()
			return
		}
		d.recordOutcome(q, other.outcome)
	})
	return other.conn, nil
}

// start calls f in a goroutine and returns a channel that receives its result.
func (d *Dialer) start(f func() result) <-chan result {
	out := make(chan result, 1)
	if !d.spawn(func() { out <- f() }) {
		out <- result{err: context.Canceled, outcome: tunnel.NoAnswer}
	}
	return out
}

// receive waits for a result for the time d. It returns false if there is none by then.
func receive(c context.Context, from <-chan result, d time.Duration) (result, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r := <-from:
		return r, true
	case <-t.C:
	case <-c.Done():
	}
	return result{}, false
}

// closeLate closes a connection that is no longer wanted, unless the result was received.
func closeLate(from <-chan result, received bool) {
	if received {
		return
	}
	if r := <-from; r.conn != nil {
		_ = r.conn.Close()
	}
}

// judge returns the error of an endpoint that was reached neither directly nor through another box, given the error of
// the direct connection. A refusal shows that the process has ended only if another box was refused too.
func judge(own error, o tunnel.Outcome) error {
	if own == nil {
		return nil
	}
	if o == tunnel.Refused {
		return fmt.Errorf("%w: %w", errUnreached, syscall.ECONNREFUSED)
	}
	if errors.Is(own, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: no other box knows whether it has ended: %s", errUnreached, o)
	}
	return own
}

// knownOutcome returns what other boxes find of an endpoint, if that is known and they need not be asked.
func (d *Dialer) knownOutcome(id string) (tunnel.Outcome, bool) {
	switch gone, refused := d.Links.IsGone(id, boottime.Now()); {
	case gone && refused:
		return tunnel.Refused, true
	case gone:
		return tunnel.Failed, true
	default:
		return tunnel.NoAnswer, false
	}
}

// recordOutcome records what another box found of an endpoint that this box doesn't reach.
func (d *Dialer) recordOutcome(q tunnel.Request, o tunnel.Outcome) {
	now := boottime.Now()
	switch o {
	case tunnel.Connected:
		if d.Links.RecordReachable(q.Endpoint, now) {
			metrics.GetOrRegisterCounter("links.lost", d.Metrics).Inc(1)
			d.Log.Info().Str("event", "link").Str("endpoint", q.Endpoint).Int("lost", d.Links.CountLost()).
				Msg("another box reaches the endpoint and this one does not")
			d.OnLost(q.Endpoint)
			d.startProbes()
		}
	case tunnel.Refused, tunnel.Failed:
		d.Links.RecordGone(q.Endpoint, o == tunnel.Refused, now)
	default:
	}
}

// RecordTraffic records that something arrived on a direct connection to an endpoint.
func (d *Dialer) RecordTraffic(id string) { d.Links.RecordTraffic(id, boottime.Now()) }

// ReusableSince returns the time from which an idle connection to an endpoint must have been in use to be
// used again.
func (d *Dialer) ReusableSince(id string) time.Time { return d.Links.ReusableSince(id) }

// IsLost reports whether another box reaches an endpoint and this one does not.
func (d *Dialer) IsLost(id string) bool { return d.Links.IsLost(id) }
