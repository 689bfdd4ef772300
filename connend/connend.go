// Package connend tells the orderly end of a connection from a reset. The kernel reports a reset to one system call only: if the goroutine
// that writes gets the error, the one that reads finds the same end as after an orderly close.
package connend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// errUnwritten reports that a connection ended before everything was written to it.
var errUnwritten = fmt.Errorf("the connection ended before all was written: %w", syscall.ECONNRESET)

// Conn is a connection whose reads return io.EOF only if everything was written before: no write has failed, and none is in progress.
// Writes fail from then on. Methods that it does not define are those of the connection.
type Conn struct {
	net.Conn

	writing sync.Mutex // held by writes
	failed  bool       // a write has failed; guarded by writing
	written int64      // bytes; guarded by writing

	mu    sync.Mutex
	ended bool // nothing more can be read; guarded by mu
}

// New returns a connection that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && !c.endWrites() {
		err = errUnwritten
	}
	return n, err //nolint:wrapcheck // the error is that of the connection
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	c.failed = c.failed || err != nil
	return n, err //nolint:wrapcheck // the error is that of the connection
}

// Written returns the number of bytes that were written. It waits for the end of a write in progress.
func (c *Conn) Written() int64 {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.written
}

// endWrites makes writes fail, also those in progress, and reports whether none has failed before.
func (c *Conn) endWrites() bool {
	c.mu.Lock()
	c.ended = true
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	return !c.failed
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline sets the deadline of writes, unless the connection has ended.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // the error is that of the connection
}

// SetLinger sets what Close does with bytes that were not sent, if the connection is one of TCP.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds) //nolint:wrapcheck // the error is that of the connection
	}
	return nil
}
