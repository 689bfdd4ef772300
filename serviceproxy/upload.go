package serviceproxy

import (
	"context"
	"errors"
	"net"
	"syscall"

	"birchlink.dev/birchlink/connend"
)

// maxPooledBody is the size up to which requests may share a connection with others, in bytes. Endpoints may answer larger ones before
// they have read them, and close the connection.
const maxPooledBody = 64 << 10

// errNotSent reports that a connection ended before the whole request was sent over it.
var errNotSent = errors.New("the connection ended before the request was sent")

// conn is a connection to an endpoint.
type conn struct {
	*connend.Conn
	isShared bool // requests follow one another on it
}

// dial returns a function that connects to endpoints.
func dial(isShared bool) func(c context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return func(c context.Context, network, address string) (net.Conn, error) {
		n, err := d.DialContext(c, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // callers look for *net.OpError
		}
		return &conn{connend.New(n), isShared}, nil
	}
}

// begin is called when a request is about to be sent whose body has size bytes. The function that it returns reports whether it was sent,
// and must be called after the end of the connection.
func (c *conn) begin(size int) (isSent func() bool) {
	before := c.Written()
	return func() bool { return c.Written()-before > int64(size) }
}

// Write writes to the connection. Once a part of the only request was written, it leaves the end of the connection to Read: the endpoint
// may have answered, and http.Transport drops the answer after an error.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	hasEnded := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if hasEnded && !c.isShared && c.Written() > 0 {
		return len(b), nil
	}
	return n, err //nolint:wrapcheck // the error is that of the connection
}
