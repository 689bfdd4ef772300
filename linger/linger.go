// Package linger closes the connections of a server so that the other end gets the last answer (RFC 9112, section 9.6). A connection that
// is closed with unread bytes is reset: the other end's writes fail, and it may lose the answer or not look for it.
package linger

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxSilence is how long Close waits for the next bytes.
	maxSilence = 500 * time.Millisecond

	bufferSize = 16 << 10
)

// Conn is a connection whose Close reads what the other end still sends, once Linger was called.
type Conn struct {
	*net.TCPConn

	mu    sync.Mutex
	c     context.Context // that of Linger; nil if Close does not linger; guarded by mu
	limit time.Duration   // guarded by mu
}

// New returns a connection that uses n.
func New(n *net.TCPConn) *Conn { return &Conn{TCPConn: n} }

// Linger makes the next CloseWrite or Close read what the other end still sends, until its end, for limit at most, and not after the end of
// c. A limit of zero undoes that. Nothing else may read then.
func (n *Conn) Linger(c context.Context, limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c, n.limit = c, limit
}

// take returns what Linger was called with, once.
func (n *Conn) take() (c context.Context, limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, limit = n.c, n.limit
	n.limit = 0
	return c, limit
}

// CloseWrite tells the other end that nothing more is written.
func (n *Conn) CloseWrite() error {
	err := n.TCPConn.CloseWrite()
	if c, limit := n.take(); err == nil && limit > 0 {
		n.drain(c, limit)
	}
	return err //nolint:wrapcheck // the error is that of the connection
}

// Close closes the connection.
func (n *Conn) Close() error {
	if n.lingers() {
		_ = n.CloseWrite() // fails only on a closed connection
	}
	return n.TCPConn.Close() //nolint:wrapcheck // the error is that of the connection
}

func (n *Conn) lingers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limit > 0
}

// drain reads until the end of the connection, for limit at most, or until nothing has come for maxSilence.
func (n *Conn) drain(c context.Context, limit time.Duration) {
	stop := context.AfterFunc(c, func() { _ = n.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	end := time.Now().Add(limit)
	b := make([]byte, bufferSize)
	for {
		next := time.Now().Add(maxSilence)
		if next.After(end) {
			next = end
		}
		_ = n.SetReadDeadline(next) // fails only on a closed connection
		if c.Err() != nil {
			return
		}
		if _, err := n.Read(b); err != nil {
			return
		}
	}
}

// Listen returns a listener whose connections are Conns.
func Listen(l *net.TCPListener) net.Listener { return listener{l} }

type listener struct{ *net.TCPListener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look for *net.OpError
	}
	return New(c), nil
}
