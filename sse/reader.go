// Package sse reads a stream of server-sent events, whole events only.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes bounds one event in bytes; events hold a few tokens.
const maxEventBytes = 1 << 20

// ErrTruncated says that a stream ended inside an event.
var ErrTruncated = errors.New("the stream ended inside an event")

// Event is one event as it came, with the empty line that ends it. ID is empty
// where the event has none.
type Event struct {
	ID  string
	Raw []byte
}

// Reader reads events.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of a body.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next whole event, or io.EOF at the end of the stream.
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
