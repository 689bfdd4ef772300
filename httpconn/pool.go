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
)

// DialFunc establishes a connection to an address until c is done.
type DialFunc func(c context.Context, network, address string) (net.Conn, error)

// Pool dials endpoints and keeps idle connections. The zero value is ready to use and dials without
// a time limit.
type Pool struct {
	// DialTimeout is the maximum time to establish a connection.
	DialTimeout time.Duration

	// DialFunc establishes connections. If it is nil, a net.Dialer does.
	DialFunc DialFunc

	refusalChecks singleflight.Group // calls of RefusesConnections, by address

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Idle connections are kept for keepAliveShare of the keep-alive timeout that the endpoint
// announced, as the endpoint's timer starts earlier than the pool's, or for defaultMaxIdle if it
// announced none.
const (
	keepAliveShare = 0.6
	defaultMaxIdle = 3 * time.Second
)

// get returns a connection to an address that has been idle for at most maxIdle, or nil. It closes
// the connections that it finds unusable.
func (p *Pool) get(address string, maxIdle time.Duration) *Conn {
	if maxIdle <= 0 {
		return nil // the idle connections stay for calls that can use them
	}
	now := boottime.Now()
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
		if age := now.Sub(c.idleSince); age <= maxIdle && age < c.maxIdle() && c.isReusable() {
			return c
		}
		_ = c.net.Close()
	}
}

// maxIdle returns the time for which the connection may be idle.
func (c *Conn) maxIdle() time.Duration {
	if c.keepAlive <= 0 {
		return defaultMaxIdle
	}
	return time.Duration(keepAliveShare * float64(c.keepAlive))
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

// Sweep closes connections that have been idle for too long, and all connections to addresses that
// are not in known.
func (p *Pool) Sweep(known map[string]bool) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if known[a] && now.Sub(c.idleSince) < c.maxIdle() {
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

// RefusesConnections reports whether connections to an address are refused, that is, whether no
// process listens there. A connection that is established returns to the pool. Concurrent calls
// for the same address share one attempt.
func (p *Pool) RefusesConnections(c context.Context, address string) bool {
	v, _, _ := p.refusalChecks.Do(address, func() (any, error) {
		x, cancel := context.WithTimeout(c, refusalTimeout)
		defer cancel()
		n, err := p.dial(x, address)
		if err == nil {
			p.put(address, n)
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	refused, ok := v.(bool)
	return ok && refused
}

func (p *Pool) dial(c context.Context, address string) (*Conn, error) {
	dial := p.DialFunc
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if p.DialTimeout > 0 {
		x, cancel := context.WithTimeout(c, p.DialTimeout)
		defer cancel()
		c = x
	}
	n, err := dial(c, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("reach %s: %w", address, err)
	}
	return newConn(n), nil
}
