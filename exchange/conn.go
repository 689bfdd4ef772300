// Package exchange makes one call on one connection to an endpoint, and keeps
// connections for further calls. It never sends anything a second time.
package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// Conn is one connection, used by one call at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	rested time.Time     // when the last call ended
	keep   time.Duration // how long the endpoint keeps it idle; zero when not told
	calls  int
}

// readBuffer is for heads and events, which are short.
const readBuffer = 4 << 10

func newConn(c net.Conn) *Conn { return &Conn{net: c, reader: bufio.NewReaderSize(c, readBuffer)} }

// reset ends a connection and takes back what has not arrived. Without it what was sent into
// a cut reaches its endpoint when that is over, though the call has long been given up.
func (c *Conn) reset() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it only fails on a connection that has ended
	}
	_ = c.net.Close()
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	t, ok := c.net.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
