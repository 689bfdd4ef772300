package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/frame"
)

// errBroken reports that a tunnel ended without its endpoint having ended the connection. It must not be
// mistaken for the end of a response that has no length.
var errBroken = fmt.Errorf("the tunnel broke: %w", syscall.ECONNRESET)

// errBusy reports that a tunnel may hold bytes or can't be used for another request.
var errBusy = errors.New("the tunnel is not idle")

// conn is the near end of a tunnel: a connection to an endpoint through another box. Methods that it does not
// define are those of the connection to that box.
type conn struct {
	net.Conn
	frames  *frame.Conn
	via     string       // address of the box
	rest    []byte       // received and not read yet
	closing bool         // the box stops, so that the tunnel serves no further request
	err     error        // after the last byte
	sent    atomic.Int64 // bytes to the other box, also those that are being sent
	ended   atomic.Bool  // the endpoint has closed the connection, so that nothing more is sent
}

// Via returns the address of the box to which the tunnel leads.
func (c *conn) Via() string { return c.via }

// Read reads what the endpoint sent. It returns io.EOF only if the endpoint closed the connection and all that was sent had been written
// to it before.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		m, err := c.frames.Read()
		if err != nil {
			c.err = errBroken
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				c.err = err
			}
			return 0, c.err
		}
		c.handle(m)
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *conn) handle(m frame.Message) {
	switch m.Type {
	case frame.Item:
		if err := msgpack.Unmarshal(m.Body, &c.rest); err != nil {
			c.err = fmt.Errorf("decode data: %w", err)
		}
	case frame.End:
		c.err = c.endOf(m.Body)
	case frame.Cancel:
		c.closing = true
	default:
		c.err = errBroken
	}
}

// endOf returns the error after the last byte of an endpoint that has closed the connection. Boxes of earlier versions don't tell how many
// bytes were written to it.
func (c *conn) endOf(body []byte) error {
	c.ended.Store(true)
	var written int64
	if len(body) == 0 || msgpack.Unmarshal(body, &written) == nil && written >= c.sent.Load() {
		return io.EOF
	}
	return errBroken
}

// Write sends bytes to the endpoint, in as many frames as needed. It fails once Read has found that the endpoint closed the connection.
func (c *conn) Write(p []byte) (int, error) {
	n := 0
	for len(p) > 0 {
		k := min(len(p), maxDataBytes)
		c.sent.Add(int64(k))
		if c.ended.Load() {
			return n, errBroken
		}
		if err := writeData(c.frames, p[:k]); err != nil {
			return n, err
		}
		n, p = n+k, p[k:]
	}
	return n, nil
}

// SetLinger sets what Close does with bytes that were not sent. If it is zero, the far end of the tunnel
// resets its connection to the endpoint.
func (c *conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// SyscallConn gives access to the connection to the other box. It returns an error unless the tunnel
// is idle.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || c.closing || c.err != nil || len(c.rest) > 0 || c.frames.Buffered() > 0 {
		return nil, errBusy
	}
	return t.SyscallConn()
}

// maxDataBytes bounds the bytes that are sent in one frame. The other box holds them until the endpoint has taken them.
const maxDataBytes = 32 << 10

// writeTimeout bounds the write of one frame.
const writeTimeout = 5 * time.Second

// writeData sends bytes as one frame.
func writeData(f *frame.Conn, p []byte) error {
	b, err := msgpack.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode data: %w", err)
	}
	return f.Write(frame.Message{Type: frame.Item, Body: b}, writeTimeout)
}
