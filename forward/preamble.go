package forward

import (
	"fmt"
	"slices"

	"birchlink.dev/birchlink/sse"
)

const (
	// maxPreambleBytes bounds a preamble. Comments in it have the bound of package sse, which is the same.
	maxPreambleBytes = 64 << 10

	// freePreambleBytes is the size up to which a preamble does not count in the budget of the endpoint's answers, as for events.
	freePreambleBytes = 4 << 10
)

// preamble is what an endpoint sends of a stream before the first event that is part of the answer, such as comments. It is held
// until that event, since another endpoint may begin the stream: its answer has its own head and nothing of this one.
type preamble struct {
	raw    []byte
	isHeld bool              // its bytes count
	hold   func(n int) error // sets the bytes that the response holds
}

// add adds an event that is no content.
func (p *preamble) add(e sse.Event) error {
	if len(p.raw)+len(e.Raw) > maxPreambleBytes {
		return fmt.Errorf("over %d bytes before the first event", maxPreambleBytes)
	}
	p.raw = append(p.raw, e.Raw...)
	if len(p.raw) <= freePreambleBytes {
		return nil
	}
	p.isHeld = true
	return p.hold(len(p.raw))
}

// holdEvent sets the bytes that the response holds besides the preamble.
func (p *preamble) holdEvent(n int) error { return p.hold(n + len(p.raw)) }

// take returns the bytes of the event that ends the preamble after those of the preamble, which is empty then.
func (p *preamble) take(e sse.Event) []byte {
	if len(p.raw) == 0 {
		return e.Raw
	}
	raw := slices.Concat(p.raw, e.Raw)
	p.raw = nil
	return raw
}

// release ends the holding of a preamble that was passed to the caller.
func (p *preamble) release() {
	if p.isHeld && len(p.raw) == 0 {
		p.isHeld = false
		_ = p.hold(0) // fails only if the response was given up, which the next read reports
	}
}
