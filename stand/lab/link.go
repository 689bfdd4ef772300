package lab

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// link is a TCP proxy for the peer connections to one box. It can block the connections from given IP
// addresses.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	blocked  map[string]bool
	conns    map[net.Conn]string
}

func newLink(ip, to string) (*link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	k := &link{listener: l, target: to, blocked: map[string]bool{}, conns: map[net.Conn]string{}}
	go k.accept()
	return k, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func remoteIP(c net.Conn) string {
	h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return h
}

// register adds a connection to k.conns and returns true, unless its source is blocked.
func (l *link) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked[remoteIP(c)] {
		return false
	}
	l.conns[c] = remoteIP(c)
	return true
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.register(c) {
			c.Close()
			continue
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, c)
		d.Close()
	}()
	_, _ = io.Copy(c, d)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// setBlocked blocks or allows connections from an IP address. Blocking also closes the open ones.
func (l *link) setBlocked(ip string, blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[ip] = blocked
	for c, from := range l.conns {
		if blocked && from == ip {
			c.Close()
		}
	}
}
