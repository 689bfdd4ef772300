package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/membudget"
)

const (
	// maxHeldBytes bounds the bodies that are held at the same time, in bytes. A body is copied when it is sent, and the
	// garbage collector leaves as much again, so that a box of 284 MB has 224 MB for both and the reserve.
	maxHeldBytes = 48 << 20

	// reservedBytes is kept for bodies of up to smallBodyBytes when large ones take all of maxHeldBytes.
	reservedBytes  = 8 << 20
	smallBodyBytes = 64 << 10

	// firstBytes is the memory that a body takes before any of it arrives.
	firstBytes = 4 << 10

	// fullRetryAfter is when a caller returns whose body had no room. A body of the largest size is sent and answered
	// in about that time.
	fullRetryAfter = time.Second
)

// errNoRoom reports that all memory for bodies is held.
var errNoRoom = errors.New("too many request bodies are held at this box")

// body holds the body of a request. Its memory grows with the bytes that arrive, so that a caller that announces many
// and sends few takes none from the others.
type body struct {
	bytes  []byte
	budget *membudget.Budget // from which the capacity of bytes is taken; nil if there is none
}

// read reads r until its end. The body has at most limit bytes, after which r returns an error or io.EOF.
func (b *body) read(i *Ingress, r io.Reader, limit int) error {
	if err := b.grow(i, min(limit, firstBytes)); err != nil {
		return err
	}
	var next [1]byte // read in place of the body while that is full, as the end may follow
	for {
		isFull := len(b.bytes) == cap(b.bytes)
		p := b.bytes[len(b.bytes):cap(b.bytes)]
		if isFull {
			p = next[:]
		}
		n, err := r.Read(p)
		switch {
		case !isFull:
			b.bytes = b.bytes[:len(b.bytes)+n]
		case n > 0:
			if err := b.grow(i, max(min(limit, 2*cap(b.bytes)), len(b.bytes)+n)); err != nil {
				return err
			}
			b.bytes = append(b.bytes, next[:n]...)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBody reads the request body into c, until the read deadline that serve has set, and removes that. The caller must call the returned function when the request has ended.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, c *call.Call) (release func(), err error) {
	limit := int64(maxBodyBytes)
	if n := i.state.Table().Document.Limits.BodyBytes; n > 0 {
		limit = min(limit, int64(n))
	}
	if r.ContentLength > limit {
		return func() {}, errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	}
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	var b body
	err = b.read(i, http.MaxBytesReader(w, r.Body, limit), int(size))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		c.Body = b.bytes
		return b.release, nil
	}
	b.release()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		// The rest of the body is not waited for.
		w.Header().Set("Connection", "close")
		err = errkind.New(errkind.BoxFull, "%w", err).WithRetryAfter(fullRetryAfter)
	case errors.As(err, &tooLarge):
		err = errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	default:
		err = errkind.New(errkind.BadRequest, "the body was not read: %w", err)
	}
	return func() {}, err
}

// grow gives the body a capacity of n bytes.
func (b *body) grow(i *Ingress, n int) error {
	budget := &i.bodies
	if !budget.Acquire(int64(n)) {
		budget = &i.smallBodies
		if n > smallBodyBytes || !budget.Acquire(int64(n)) {
			return errNoRoom
		}
	}
	grown := append(make([]byte, 0, n), b.bytes...)
	b.release()
	b.bytes, b.budget = grown, budget
	return nil
}

// release returns the memory of the body. The body must not be used afterwards.
func (b *body) release() {
	if b.budget != nil {
		b.budget.Release(int64(cap(b.bytes)))
	}
	b.bytes, b.budget = nil, nil
}
