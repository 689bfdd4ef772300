package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with connections.
type Mode string

// The modes of a proxy.
const (
	Pass    Mode = "pass"
	Delay   Mode = "delay"
	Reset   Mode = "reset"
	Silence Mode = "silence"
	OneWay  Mode = "one way"
)

// delay is how much later bytes go on in mode Delay.
const delay = 60 * time.Millisecond

// Proxy passes connections on to an address, as its mode has it.
type Proxy struct {
	To string

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool
}

// NewProxy listens on a free loopback port.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{To: to, listener: l, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

// Set changes the mode. Reset ends the connections there are.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != Reset {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) state() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) keep(c net.Conn, in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
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
	p.keep(a, true)
	defer p.keep(a, false)
	if m, _ := p.state(); m == Reset {
		return
	}
	b, err := net.Dial("tcp", p.To)
	if err != nil {
		return
	}
	defer b.Close()
	p.keep(b, true)
	defer p.keep(b, false)
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		p.copy(c, b, a, true)
		cancel()
		_ = a.Close()
		_ = b.Close()
	}()
	p.copy(c, a, b, false)
}

// copy moves bytes while the mode lets them pass; held bytes go on afterwards.
func (p *Proxy) copy(c context.Context, to io.Writer, from io.Reader, forth bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.pass(c, forth) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until bytes may go on in one direction.
func (p *Proxy) pass(c context.Context, forth bool) bool {
	for {
		m, changed := p.state()
		switch {
		case m == Pass, m == OneWay && forth:
			return true
		case m == Delay:
			select {
			case <-time.After(delay):
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
