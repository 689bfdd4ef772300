// Package httpconn is a minimal HTTP/1.1 client for calls to endpoints. It sends each request once,
// on one connection, and never retries: unlike net/http, it lets the caller decide what may run
// twice. Idle connections are kept in a pool.
package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// Conn is a connection to an endpoint, used by one call at a time.
type Conn struct {
	net       net.Conn
	id        string // of the endpoint
	via       string // address of the box through which it leads; empty if it is direct
	limiter   *limitedReader
	reader    *bufio.Reader // of limiter
	idleSince time.Time     // when the last call ended
	keepAlive time.Duration // keep-alive timeout announced by the endpoint; zero if none
	calls     int
}

// readBufferSize is the size of the read buffer in bytes. Response heads and events are short.
const readBufferSize = 4 << 10

func newConn(c net.Conn) *Conn {
	l := &limitedReader{r: c}
	n := &Conn{net: c, limiter: l, reader: bufio.NewReaderSize(l, readBufferSize)}
	if v, ok := c.(interface{ Via() string }); ok {
		n.via = v.Via()
	}
	return n
}

// reset closes the connection with a TCP reset, which discards data that is not delivered yet.
// After a plain close the kernel keeps retransmitting: a request sent during a network partition
// would reach its endpoint when the partition ends, long after the call was given up.
func (c *Conn) reset() {
	if t, ok := c.net.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	_ = c.net.Close()
}

// isReusable reports whether an idle connection can be used again: the endpoint has not closed it
// and nothing unexpected has arrived on it.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	t, ok := c.net.(syscall.Conn)
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
