package httpconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/bytebudget"
)

// DialFunc establishes a connection to an address until c is done.
type DialFunc func(c context.Context, network, address string) (net.Conn, error)

// Connector connects to endpoints, which are named by their IDs, and tracks the links to them.
type Connector interface {
	// Connect connects to an endpoint. If the connection leads through another box, it has a method
	// Via that returns the box's address.
	Connect(c context.Context, id, address string) (net.Conn, error)
	// Refuses reports whether an endpoint refuses connections because its process has ended. It may
	// return a connection if that is not so.
	Refuses(c context.Context, id, address string, timeout time.Duration) (net.Conn, bool)
	// Check begins to check the link to an endpoint if nothing has arrived on it since a time.
	Check(id, address string, since time.Time)
	// RecordTraffic records that something arrived on a connection that leads through no other box.
	RecordTraffic(id string)
	// ReusableSince returns the time from which such a connection must have been in use to be reused.
	ReusableSince(id string) time.Time
	// IsLost reports whether other boxes reach an endpoint and this one does not.
	IsLost(id string) bool
}

// Pool dials endpoints and keeps idle connections. The zero value is ready to use and dials without
// a time limit.
type Pool struct {
	// Connector connects to endpoints. If it is nil, the pool dials them, for DialTimeout at most.
	Connector   Connector
	DialTimeout time.Duration

	// Budget bounds the bytes that the responses hold.
	Budget bytebudget.Budget

	refusalChecks singleflight.Group // calls of RefusesConnections, by address

	mu    sync.Mutex
	idle  map[string][]*Conn // by address
	inUse map[*Conn]bool     // by calls in progress
}

func (p *Pool) connector() Connector {
	if p.Connector != nil {
		return p.Connector
	}
	return plainDialer{p.DialTimeout}
}

// Idle connections are kept for keepAliveShare of the keep-alive timeout that the endpoint
// announced, as the endpoint's timer starts earlier than the pool's, or for defaultMaxIdle if it
// announced none.
const (
	keepAliveShare = 0.6
	defaultMaxIdle = 3 * time.Second

	// longestMaxIdle is the time for which any connection is kept. Calls use none that was idle for longer, and
	// what an endpoint sends on it stays in the kernel's memory until it is closed.
	longestMaxIdle = 10 * time.Second

	// tunnelMaxIdle is the time for which a connection through another box is kept. It takes two
	// descriptors there.
	tunnelMaxIdle = time.Second
)

// get returns a connection to an endpoint that has been idle for at most maxIdle, or nil. It closes
// the connections that it finds unusable.
func (p *Pool) get(id, address string, maxIdle time.Duration) *Conn {
	if maxIdle <= 0 {
		return nil // the idle connections stay for calls that can use them
	}
	now := boottime.Now()
	since, lost := p.connector().ReusableSince(id), p.connector().IsLost(id)
	for {
		p.mu.Lock()
		cs := p.idle[address]
		if len(cs) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := cs[len(cs)-1]
		p.idle[address] = cs[:len(cs)-1]
		p.mu.Unlock()
		// A connection through another box is given up once the link works again.
		linked := c.via == "" && !c.idleSince.Before(since) || c.via != "" && lost
		if age := now.Sub(c.idleSince); linked && age <= maxIdle && age < c.maxIdle() && c.isReusable() {
			return c
		}
		_ = c.net.Close()
	}
}

// maxIdle returns the time for which the connection may be idle.
func (c *Conn) maxIdle() time.Duration {
	if c.via != "" {
		return tunnelMaxIdle
	}
	if c.keepAlive <= 0 {
		return defaultMaxIdle
	}
	return min(time.Duration(keepAliveShare*float64(c.keepAlive)), longestMaxIdle)
}

// put adds an idle connection to the pool.
func (p *Pool) put(address string, c *Conn) {
	c.idleSince = boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the idle connections that can't be used again. Without it, an idle connection through
// another box would keep that box from stopping.
func (p *Pool) Sweep() {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Sub(c.idleSince) < c.maxIdle() && (c.via == "" || c.isReusable()) {
				kept = append(kept, c)
				continue
			}
			_ = c.net.Close()
		}
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}

// CountIdle returns the number of idle connections.
func (p *Pool) CountIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, cs := range p.idle {
		n += len(cs)
	}
	return n
}

// refusalTimeout is the timeout of RefusesConnections. A live process accepts, and a box whose
// process has ended refuses, within a round trip of a few milliseconds.
const refusalTimeout = 25 * time.Millisecond

// RefusesConnections reports whether connections to an endpoint are refused, that is, whether its process
// has ended. A connection that is established returns to the pool. Concurrent calls for the same
// address share one attempt.
func (p *Pool) RefusesConnections(c context.Context, id, address string) bool {
	v, _, _ := p.refusalChecks.Do(address, func() (any, error) {
		n, refuses := p.connector().Refuses(c, id, address, refusalTimeout)
		if n != nil {
			p.put(address, newConn(n))
		}
		return refuses, nil
	})
	refused, ok := v.(bool)
	return ok && refused
}

// IsLost reports whether other boxes reach an endpoint and this one does not.
func (p *Pool) IsLost(id string) bool { return p.connector().IsLost(id) }

// CheckLink begins to check the link to an endpoint if nothing has arrived on it since a time.
func (p *Pool) CheckLink(id, address string, since time.Time) {
	p.connector().Check(id, address, since)
}

// AbandonSilent calls Request.Abandon of the calls that wait on direct connections to an endpoint whose
// link has fallen silent.
func (p *Pool) AbandonSilent(id string) {
	since := p.connector().ReusableSince(id)
	if since.IsZero() {
		return
	}
	p.mu.Lock()
	var abandon []func()
	for c := range p.inUse {
		if c.id == id && c.via == "" && c.abandon != nil {
			abandon = append(abandon, c.abandon)
		}
	}
	p.mu.Unlock()
	for _, f := range abandon {
		f()
	}
}

// begin records that a call uses a connection.
func (p *Pool) begin(c *Conn, q Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse == nil {
		p.inUse = map[*Conn]bool{}
	}
	p.inUse[c] = true
	c.heard, c.abandon = boottime.Now(), q.Abandon
}

// end records that a call no longer uses a connection.
func (p *Pool) end(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	c.abandon = nil
}

// Holds reports whether there are connections to an endpoint that it has not closed, idle or in use, and when anything last
// arrived on them or a call began.
func (p *Pool) Holds(id, address string) (heard time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		if c.id == id && c.address == address && !c.isClosed() {
			heard, ok = latest(heard, c.heard), true
		}
	}
	for _, c := range p.idle[address] {
		if c.id == id && c.isReusable() {
			heard, ok = latest(heard, c.idleSince), true
		}
	}
	return heard, ok
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Pool) dial(c context.Context, id, address string) (*Conn, error) {
	n, err := p.connector().Connect(c, id, address)
	if err != nil {
		return nil, err
	}
	return newConn(n), nil
}

// plainDialer dials endpoints directly and tracks no links.
type plainDialer struct{ timeout time.Duration }

func (d plainDialer) Connect(c context.Context, _, address string) (net.Conn, error) {
	n, err := (&net.Dialer{Timeout: d.timeout, KeepAlive: -1}).DialContext(c, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("reach %s: %w", address, err)
	}
	return n, nil
}

func (plainDialer) Refuses(c context.Context, id, address string, timeout time.Duration) (net.Conn, bool) {
	n, err := plainDialer{timeout}.Connect(c, id, address)
	return n, errors.Is(err, syscall.ECONNREFUSED)
}

func (plainDialer) Check(string, string, time.Time) {}

func (plainDialer) RecordTraffic(string) {}

func (plainDialer) ReusableSince(string) time.Time { return time.Time{} }

func (plainDialer) IsLost(string) bool { return false }
