package lab

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// link forwards the peers' connections of one box, and can be cut for those
// that come from some IP numbers.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cut      map[string]bool
	open     map[net.Conn]string
}

func newLink(ip, to string) (*link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	k := &link{listener: l, to: to, cut: map[string]bool{}, open: map[net.Conn]string{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func host(c net.Conn) string {
	h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return h
}

// enter notes a connection, unless its source is cut.
func (k *link) enter(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut[host(c)] {
		return false
	}
	k.open[c] = host(c)
	return true
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if !k.enter(c) {
			c.Close()
			continue
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", k.to)
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
	delete(k.open, c)
	k.mu.Unlock()
}

// set cuts or joins the connections from an IP number.
func (k *link) set(ip string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[ip] = cut
	for c, from := range k.open {
		if cut && from == ip {
			c.Close()
		}
	}
}
