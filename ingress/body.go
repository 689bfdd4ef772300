package ingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"birchlink.dev/birchlink/bodyroom"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/shutdown"
)

const (
	// maxHeldBytes bounds the bodies that are held at the same time, in bytes. A body is copied when it is sent, and the
	// garbage collector leaves as much again, so that a box of 284 MB has 224 MB for both and the reserve.
	maxHeldBytes = 48 << 20

	// reservedBytes is kept for small bodies when large ones take all of maxHeldBytes.
	reservedBytes = 8 << 20

	// fullRetryAfter is when a caller returns whose body had no room. A body of the largest size is sent and answered
	// in about that time.
	fullRetryAfter = time.Second
)

// readBody reads the request body, until the read deadline that serve has set, and removes that. If the box shuts down, it ends when the
// request can no longer be sent. The caller must call the returned function when the request has ended.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, q *forward.Request) (release func(), err error) {
	limit := int64(maxBodyBytes)
	if n := i.state.Table().Document.Limits.BodyBytes; n > 0 {
		limit = min(limit, int64(n))
	}
	if r.ContentLength > limit {
		return func() {}, i.tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	i.reading.Add(1)
	defer i.reading.Add(-1)
	var late error
	stop := i.forwarder.Shutdown.AfterFunc(i.forwarder.ShutdownRequest(q), func(d shutdown.Decision) {
		late = d.Err()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // ends the read in progress
	})
	b, release, err := i.bodies.Read(http.MaxBytesReader(w, r.Body, limit), int(size))
	stop()
	if late != nil {
		release()
		return func() {}, late
	}
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		q.Call.Body, q.Call.Read = b, boottime.Now()
		return release, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodyroom.ErrFull):
		// The rest of the body is not waited for.
		w.Header().Set("Connection", "close")
		err = errkind.New(errkind.BoxFull, "%w", err).WithRetryAfter(fullRetryAfter)
	case errors.As(err, &tooLarge):
		err = i.tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errkind.New(errkind.BodyTooSlow, "the body did not come within %v", bodyTimeout)
	default:
		err = errkind.New(errkind.BadRequest, "the body was not read: %w", err)
	}
	return release, err
}

// refuseBody bounds how long what is left of a refused request's body is read: by net/http, which reads a part before it writes the answer,
// and then until the connection is closed.
func (i *Ingress) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	if r.ContentLength == 0 {
		return
	}
	if !errkind.Is(err, errkind.BodyTooSlow) { // the read deadline has passed
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
	}
	i.lingerOnClose(r.Context())
}

// tooLarge returns the error for a body over a limit in bytes, which is that of the configuration if it is below maxBodyBytes.
func (i *Ingress) tooLarge(limit int64) error {
	const format = "the body is over %d bytes"
	if limit < maxBodyBytes {
		return i.denial(errkind.TooLarge, format, limit)
	}
	return errkind.New(errkind.TooLarge, format, limit)
}
