package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a proxy in front of a server, at the address that the server's entry names. It passes bytes on, and can let the connections
// that are open fall silent for good, without a reset, while new ones work.
type link struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open map[*pair]bool
}

// pair is a connection through a link.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, open: map[*pair]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		n, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.pass(n)
	}
}

func (k *link) pass(near net.Conn) {
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far}
	k.mu.Lock()
	k.open[p] = true
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, d := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			copyBytes(p, d[0], d[1])
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	if p.silent.Load() {
		return // neither end hears that the other one has closed the connection
	}
	k.mu.Lock()
	delete(k.open, p)
	k.mu.Unlock()
	near.Close()
	far.Close()
}

// copyBytes passes bytes on until the end of the connection. Bytes of one that is silent are lost.
func copyBytes(p *pair, from, to net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				reset(from)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// hush lets the open connections fall silent, and returns their number.
func (k *link) hush() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for p := range k.open {
		if !p.silent.Swap(true) {
			n++
		}
	}
	return n
}
