package forward

import (
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/content"
)

// Trace is what a request met on its way: its last choice of an endpoint, with
// what that rested on, and what came of it.
type Trace struct {
	Content  content.Hash // what the request asks for
	Attempts int          // endpoints that were chosen
	Choice   balance.Choice

	// Outcome is what the last answer said.
	Outcome call.Outcome

	// First is the time from the sending of the last attempt to its first event, or
	// to its whole answer; zero if neither came.
	First time.Duration
}

// MarshalZerologObject writes the trace into a line about its request.
func (t Trace) MarshalZerologObject(e *zerolog.Event) {
	if t.Content != 0 {
		e.Stringer("content", t.Content)
	}
	if t.Attempts == 0 {
		return
	}
	c := t.Choice
	e.Str("endpoint", c.Endpoint.ID).Int("attempts", t.Attempts).Int("running", c.Running).Int("to_read", c.Tokens).
		Dur("expected", c.Expected).Dur("first", t.First).Dur("load_age", c.LoadAge)
	t.said(e)
}

// said writes what the last answer said of its endpoint, if anything.
func (t Trace) said(e *zerolog.Event) {
	if t.Outcome.Leaving {
		e.Bool("says_leaving", true)
	}
	if t.Outcome.Rest > 0 {
		e.Dur("says_rest", t.Outcome.Rest)
	}
	if l := t.Outcome.Limit; l.Named {
		e.Float64("says_limit", l.PerSecond)
	}
	if t.Outcome.Unreadable != "" {
		e.Str("says_unreadable_limit", t.Outcome.Unreadable)
	}
}
