// Package httpconn is a minimal HTTP/1.1 client for calls to endpoints. It sends each request once,
// on one connection, and never retries: unlike net/http, it lets the caller decide what may run
// twice. Idle connections are kept in a pool.
package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"birchlink.dev/birchlink/connend"
)

// Conn is a connection to an endpoint, used by one call at a time.
type Conn struct {
	net       net.Conn
	data      *connend.Conn // reads from net and writes to it
	id        string        // of the endpoint
	address   string        // of the endpoint
	via       string        // address of the box through which it leads; empty if it is direct
	limiter   *limitedReader
	reader    *bufio.Reader // of limiter
	idleSince time.Time     // when the last call ended
	keepAlive time.Duration // keep-alive timeout announced by the endpoint; zero if none
	calls     int

	heard   time.Time // when anything last arrived, or the current call began; guarded by the pool's lock
	abandon func()    // Request.Abandon of the current call
}

// readBufferSize is the size of the read buffer in bytes. Response heads and events are short.
const readBufferSize = 4 << 10

func newConn(c net.Conn) *Conn {
	d := connend.New(c)
	l := &limitedReader{r: d}
	n := &Conn{net: c, data: d, limiter: l, reader: bufio.NewReaderSize(l, readBufferSize)}
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

// tcpEstablished is the state of a TCP connection that neither end has closed.
const tcpEstablished = 1

// isClosed reports whether the endpoint has closed the connection, which its reader may not have noticed yet. It is false if
// that can't be found out.
func (c *Conn) isClosed() bool {
	t, ok := c.net.(syscall.Conn)
	if !ok || c.via != "" {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State != tcpEstablished
	})
	return err == nil && isClosed
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
