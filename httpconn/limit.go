package httpconn

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// maxHeadBytes bounds the head of a response, as common proxies do. A head of many short lines takes some 30 times
// its size in memory.
const maxHeadBytes = 16 << 10

// maxErrorText bounds the text of an error that quotes what an endpoint sent, in bytes. It goes to the caller and into
// the log.
const maxErrorText = 200

// The body of a response that is not wanted is read only to keep its connection, up to maxDiscardedBytes and for
// discardTimeout at most. It is short, and arrives with its head.
const (
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
)

// errHeadTooLarge reports a head of more than maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("the head is over %d bytes", maxHeadBytes)

// errMalformed reports a response that can't be parsed.
var errMalformed = errors.New("malformed response")

// limitedReader reads from a connection, and while it is limited, no more than left bytes.
type limitedReader struct {
	r       io.Reader
	left    int
	limited bool
}

// limit bounds the bytes read until unlimit is called.
func (l *limitedReader) limit(n int) { l.left, l.limited = n, true }

func (l *limitedReader) unlimit() { l.limited = false }

// Read reads from the connection. The error is errHeadTooLarge if no byte is left.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// shorten returns err, or an error with the beginning of its text if that is long.
func shorten(err error) error {
	if s := err.Error(); len(s) > maxErrorText {
		return fmt.Errorf("%w that begins with: %s", errMalformed, s[:maxErrorText])
	}
	return err
}

// discard reads a body of at most n bytes and reports whether it was read to its end.
func discard(body io.Reader, n int64) bool {
	read, err := io.Copy(io.Discard, io.LimitReader(body, n+1))
	return err == nil && read <= n
}

// Discard reads a body that is not wanted, so that Close keeps the connection, or gives it up if the body is long or
// late.
func (r *Response) Discard() {
	_ = r.conn.net.SetReadDeadline(time.Now().Add(discardTimeout)) // if it fails, so do the reads
	discard(r.Body, maxDiscardedBytes)
	_ = r.conn.net.SetReadDeadline(time.Time{}) // Close resets the connection if the context of Do was done
}
