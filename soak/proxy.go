package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode string

// The modes of a proxy.
const (
	Pass    Mode = "pass"
	Delay   Mode = "delay"   // each read is forwarded after linkDelay
	Late    Mode = "late"    // as Delay, after lateLinkDelay
	Reset   Mode = "reset"   // connections are reset, new ones closed
	Silence Mode = "silence" // nothing is forwarded until the mode changes
	OneWay  Mode = "one way" // only bytes to the target are forwarded
	Closed  Mode = "closed"  // as Reset, but connections are closed
	Pieces  Mode = "pieces"  // bytes are forwarded in small pieces, some of which are late
)

// linkDelay is the added delay in mode Delay, and lateLinkDelay that in mode Late.
const (
	linkDelay     = 60 * time.Millisecond
	lateLinkDelay = 700 * time.Millisecond
)

// Proxy is a TCP proxy that injects the faults of its mode.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool
	others   map[net.Conn]net.Conn // to the target, by the accepted connection
	hushed   map[net.Conn]bool     // connections that carry nothing any more
	owner    int                   // process whose connections have a mode of their own; zero for none
	own      Mode
	owned    map[net.Conn]bool // accepted connections of that process
	ownNew   bool              // all connections that are accepted get the mode of that process
	rate     float64           // bytes from the target per second, of all connections; zero if not limited
	sentAt   time.Time         // when what was sent at that rate has arrived
}

// NewProxy returns a proxy to an address. It listens on a free loopback port.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{
		Target: to, listener: l, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}, others: map[net.Conn]net.Conn{},
		hushed: map[net.Conn]bool{}, owned: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() { p.End(Reset) }

// End stops the proxy. Its connections are reset or closed.
func (p *Proxy) End(m Mode) {
	_ = p.listener.Close()
	p.Set(m)
}

// Set changes the mode. Reset also resets the open connections, and Closed closes them.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != Reset && m != Closed {
		return
	}
	for c := range p.conns {
		end(c, m)
	}
}

// SetFor changes the mode for the connections that one process opens, and has opened. Reset and Closed end the latter.
func (p *Proxy) SetFor(pid int, opened map[ConnPair]bool, m Mode) {
	p.setSome(pid, m, false, func(c net.Conn) bool { return opened[pairOf(c)] })
}

// SetExcept changes the mode for all connections but those in kept.
func (p *Proxy) SetExcept(kept map[ConnPair]bool, m Mode) {
	p.setSome(0, m, true, func(c net.Conn) bool { return !kept[pairOf(c)] })
}

// setSome changes the mode for the connections that pick selects, and for new ones of a process or all.
func (p *Proxy) setSome(pid int, m Mode, all bool, pick func(net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner, p.own, p.ownNew = pid, m, all
	clear(p.owned)
	for c := range p.others {
		if !pick(c) {
			continue
		}
		p.owned[c] = true
		if m == Reset || m == Closed {
			end(c, m)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// end closes a connection, or resets it.
func end(c net.Conn, m Mode) {
	if t, ok := c.(*net.TCPConn); ok && m == Reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Hush makes the open connections that pick selects carry nothing any more, without an error. New ones work.
func (p *Proxy) Hush(pick func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, other := range p.others {
		if pick() {
			p.hushed[c], p.hushed[other] = true, true
		}
	}
}

// isHushed reports whether a connection carries nothing any more.
func (p *Proxy) isHushed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hushed[c]
}

// Limit bounds the bytes per second from the target, of all connections together.
func (p *Proxy) Limit(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = bytesPerSecond
}

// delay returns how long n bytes from the target wait for the link.
func (p *Proxy) delay(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return 0
	}
	now := time.Now()
	if p.sentAt.Before(now) {
		p.sentAt = now
	}
	p.sentAt = p.sentAt.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return p.sentAt.Sub(now)
}

// state returns the mode for an accepted connection, and a channel that is closed when it changes.
func (p *Proxy) state(c net.Conn) (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Pass && p.owned[c] {
		return p.own, p.changed
	}
	return p.mode, p.changed
}

func (p *Proxy) trackConn(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	delete(p.hushed, c)
	delete(p.others, c)
	delete(p.owned, c)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(a net.Conn) {
	defer a.Close()
	p.trackConn(a, true)
	defer p.trackConn(a, false)
	p.recogniseOwner(a)
	if m, _ := p.state(a); m == Reset || m == Closed {
		return
	}
	b, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	defer b.Close()
	p.trackConn(b, true)
	defer p.trackConn(b, false)
	p.mu.Lock()
	p.others[a] = b
	p.mu.Unlock()
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		p.copy(c, a, b, a, true)
		cancel()
		_ = a.Close()
		_ = b.Close()
	}()
	p.copy(c, a, a, b, false)
}

// recogniseOwner notes whether the process whose connections have a mode of their own has opened a connection.
func (p *Proxy) recogniseOwner(c net.Conn) {
	p.mu.Lock()
	pid := p.owner
	p.owned[c] = p.ownNew
	p.mu.Unlock()
	if pid == 0 || !OpenedBy(pid)[pairOf(c)] {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned[c] = p.owner == pid
}

// copy forwards bytes of an accepted connection in one direction as the mode allows, and their end: a reset as a reset. Bytes that are held
// back are forwarded once the mode allows it.
func (p *Proxy) copy(c context.Context, accepted, to, from net.Conn, toTarget bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !toTarget {
			time.Sleep(p.delay(n))
		}
		if n > 0 && p.waitToForward(c, accepted, toTarget) && !p.isHushed(from) {
			if err := p.forward(accepted, to, buf[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			end(to, Reset)
		}
		if err != nil {
			return
		}
	}
}

// Sizes and delays of pieces.
const (
	maxPieceBytes  = 3
	maxPieceDelay  = 200 * time.Millisecond
	latePieceShare = 100 // every latePieceShare-th piece is late
)

// forward writes bytes as the mode has them.
func (p *Proxy) forward(accepted, to net.Conn, b []byte) error {
	for len(b) > 0 {
		n := len(b)
		if m, _ := p.state(accepted); m == Pieces {
			n = min(n, 1+rand.IntN(maxPieceBytes))
			if rand.IntN(latePieceShare) == 0 {
				time.Sleep(rand.N(maxPieceDelay))
			}
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// waitToForward waits until the mode allows forwarding in a direction. It returns false if c ends
// first.
func (p *Proxy) waitToForward(c context.Context, accepted net.Conn, toTarget bool) bool {
	for {
		m, changed := p.state(accepted)
		switch {
		case m == Pass, m == Pieces, m == OneWay && toTarget:
			return true
		case m == Delay, m == Late:
			d := linkDelay
			if m == Late {
				d = lateLinkDelay
			}
			select {
			case <-time.After(d):
				return true
			case <-c.Done():
				return false
			}
		}
		select {
		case <-changed:
		case <-c.Done():
			return false
		}
	}
}
