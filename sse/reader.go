// Package sse reads streams of server-sent events and returns only complete events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event. Events hold a few tokens.
const maxEventBytes = 1 << 20

// maxCommentBytes bounds the bytes between two events that have fields: empty lines and comments, which endpoints send to
// keep a silent stream open. Each event counts as minCommentBytes at least, which leaves room for one a second in a quarter
// of an hour.
const (
	maxCommentBytes = 64 << 10
	minCommentBytes = 64
)

// maxIDBytes bounds the ID of an event, which is kept while the stream goes on. A longer one is ignored.
const maxIDBytes = 4 << 10

// ErrTruncated is returned by Next if the stream ends inside an event.
var ErrTruncated = errors.New("the stream ended inside an event")

// Event is one event. Raw holds the event as received, with the empty line that ends it. ID is empty
// if the event has no ID. HasField is false for empty lines and comments, which hold nothing of the answer. HasData is false for
// an event without a data field, which readers do not dispatch. HasUnknown reports a field that is not one of the format's.
type Event struct {
	ID         string
	Raw        []byte
	HasField   bool
	HasData    bool
	HasUnknown bool
}

// IsContent reports whether the event is part of the answer: it has data, or an ID by which the stream is resumed.
func (e Event) IsContent() bool { return e.HasData || e.ID != "" }

// Reader reads events from a stream.
type Reader struct {
	// Hold, if not nil, is called with the number of bytes that the current event is about to take if they are more
	// than those of a usual event. Next returns its error. Hold is called with zero when Next is called again.
	Hold func(n int) error

	r        *bufio.Reader
	began    bool
	held     bool
	comments int // bytes since the last event that has a field
}

// usualEventBytes is the size up to which an event does not count.
const usualEventBytes = 4 << 10

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// byteOrderMark may come before the first line, of which it is no part.
var byteOrderMark = []byte("\ufeff")

// Next returns the next complete event. The error is io.EOF at the end of the stream, and
// ErrTruncated if the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	if err := r.release(); err != nil {
		return e, err
	}
	for {
		line, err := r.readLine(&e.Raw)
		if err != nil {
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if !r.began {
			line, r.began = bytes.TrimPrefix(line, byteOrderMark), true
		}
		if len(line) == 0 {
			if err := r.countComments(len(e.Raw), e.HasField); err != nil {
				return Event{}, err
			}
			return e, nil
		}
		e.addLine(line)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok && len(id) <= maxIDBytes {
			e.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// addLine records which field a line has, if it is no comment.
func (e *Event) addLine(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return
	case "data":
		e.HasData = true
	case "id", "event", "retry":
	default:
		e.HasUnknown = true
	}
	e.HasField = true
}

// countComments counts an event of n bytes if it has no field. It returns an error if there are too many in a row.
func (r *Reader) countComments(n int, hasField bool) error {
	if hasField {
		r.comments = 0
		return nil
	}
	if r.comments += max(n, minCommentBytes); r.comments > maxCommentBytes {
		return fmt.Errorf("%d bytes without a field", maxCommentBytes)
	}
	return nil
}

// readLine appends a line to the event and returns it.
func (r *Reader) readLine(event *[]byte) ([]byte, error) {
	start := len(*event)
	for {
		part, err := r.r.ReadSlice('\n')
		if err := r.grow(event, len(part)); err != nil {
			return nil, err
		}
		*event = append(*event, part...)
		switch {
		case errors.Is(err, io.EOF) && len(*event) > 0:
			return nil, ErrTruncated
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(*event) > maxEventBytes:
			return nil, fmt.Errorf("an event is over %d bytes", maxEventBytes)
		case err == nil:
			return (*event)[start:], nil
		}
	}
}

// grow gives b room for n more bytes. While it is copied, b takes both sizes.
func (r *Reader) grow(b *[]byte, n int) error {
	size := max(len(*b)+n, min(2*cap(*b), maxEventBytes))
	if len(*b)+n <= cap(*b) || size <= usualEventBytes || r.Hold == nil {
		return nil
	}
	r.held = true
	if err := r.Hold(cap(*b) + size); err != nil {
		return err
	}
	*b = append(make([]byte, 0, size), *b...)
	return r.Hold(size)
}

// release ends the holding of the event before.
func (r *Reader) release() error {
	if !r.held {
		return nil
	}
	r.held = false
	return r.Hold(0)
}
