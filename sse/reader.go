// Package sse reads streams of server-sent events and returns only complete events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes bounds one event. Events hold a few tokens.
const maxEventBytes = 1 << 20

// ErrTruncated is returned by Next if the stream ends inside an event.
var ErrTruncated = errors.New("the stream ended inside an event")

// Event is one event. Raw holds the event as received, with the empty line that ends it. ID is empty
// if the event has no ID.
type Event struct {
	ID  string
	Raw []byte
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next complete event. The error is io.EOF at the end of the stream, and
// ErrTruncated if the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, fmt.Errorf("an event is over %d bytes", maxEventBytes)
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := strings.CutPrefix(string(line), "id:"); ok {
			e.ID = strings.TrimPrefix(id, " ")
		}
	}
}
