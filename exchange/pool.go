package exchange

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

// Pool dials endpoints and keeps connections that are idle. Its zero value is
// ready.
type Pool struct {
	// DialLimit bounds how long a connection may take to stand.
	DialLimit time.Duration

	checks singleflight.Group

	mu   sync.Mutex
	idle map[string][]*Conn
}

// The times for which idle connections are kept. An endpoint that says how long
// it keeps them is believed up to keepPart of that, since its clock started
// earlier; without a word they are kept for keepUntold.
const (
	keepPart   = 0.6
	keepUntold = 3 * time.Second
)

// take returns an idle connection to an address that has rested no longer than
// rest, or nil.
func (p *Pool) take(address string, rest time.Duration) *Conn {
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
		if age := now.Sub(c.rested); age <= rest && age < c.kept() && c.quiet() {
			return c
		}
		_ = c.net.Close()
	}
}

func (c *Conn) kept() time.Duration {
	if c.keep <= 0 {
		return keepUntold
	}
	return time.Duration(keepPart * float64(c.keep))
}

// put keeps a connection for another call.
func (p *Pool) put(address string, c *Conn) {
	c.rested = boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes connections that have rested too long, and all to addresses
// that in does not hold.
func (p *Pool) Sweep(in map[string]bool) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if in[a] && now.Sub(c.rested) < c.kept() {
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

// Idle returns how many connections rest.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, cs := range p.idle {
		n += len(cs)
	}
	return n
}

// checkLimit bounds how long Refused waits: a process that lives accepts, and a box whose
// process has ended refuses, within a round trip of some milliseconds.
const checkLimit = 25 * time.Millisecond

// Refused reports whether connections to an address are refused: nobody listens there any
// more. A connection that comes about is kept for a call. Those who ask at once share one
// attempt.
func (p *Pool) Refused(c context.Context, address string) bool {
	v, _, _ := p.checks.Do(address, func() (any, error) {
		x, cancel := context.WithTimeout(c, checkLimit)
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
	d := net.Dialer{Timeout: p.DialLimit, KeepAlive: -1}
	n, err := d.DialContext(c, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("reach %s: %w", address, err)
	}
	return newConn(n), nil
}
