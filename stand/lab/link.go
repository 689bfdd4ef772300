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

func (k *link) address() string { return k.listener.Addr().String() }

func remoteIP(c net.Conn) string {
	h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return h
}

// register adds a connection to k.conns and returns true, unless its source is blocked.
func (k *link) register(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.blocked[remoteIP(c)] {
		return false
	}
	k.conns[c] = remoteIP(c)
	return true
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if !k.register(c) {
			c.Close()
			continue
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, c)
		d.Close()
	}()
	_, _ = io.Copy(c, d)
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// setBlocked blocks or allows connections from an IP address. Blocking also closes the open ones.
func (k *link) setBlocked(ip string, blocked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.blocked[ip] = blocked
	for c, from := range k.conns {
		if blocked && from == ip {
			c.Close()
		}
	}
}
