package forward

import (
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/requesthash"
)

// Trace describes for the log how a request was forwarded.
type Trace struct {
	Content  requesthash.Hash   // identifies requests with the same content
	Parts    []requesthash.Hash // of the prompt that other requests may share
	Attempts int                // number of endpoints chosen
	Moves    int                // moves of the running request between endpoints
	Runs     int                // runs that sent the events of the answer; a moved run is one
	Choice   balance.Choice     // the last choice of an endpoint, with the data it was based on

	// Via is the address of the box through which the last response came; empty if it came directly.
	Via string

	// Outcome is what the last response reported.
	Outcome call.Outcome

	// FirstSent is when the request was first sent to an endpoint; zero if it was not.
	FirstSent time.Time

	// ResponseTime is the time from sending the last attempt to the head of its response; zero if
	// none arrived.
	ResponseTime time.Duration

	// LongestPause is the longest time between two events of the last attempt.
	LongestPause time.Duration
}

// MarshalZerologObject adds the trace to a log entry about its request.
func (t Trace) MarshalZerologObject(e *zerolog.Event) {
	t.marshalContent(e)
	if t.Attempts == 0 {
		return
	}
	c := t.Choice
	e.Str("endpoint", c.Endpoint.ID).Str("version", c.Endpoint.Version).Int("attempts", t.Attempts).Int("running", c.Running).Int("to_read", c.Tokens).
		Dur("expected", c.Expected).Float64("speed_factor", c.SpeedFactor).Dur("first", t.ResponseTime).Dur("load_age", c.LoadAge).Dur("longest_pause", t.LongestPause)
	if t.Via != "" {
		e.Str("via", t.Via)
	}
	if t.Moves > 0 {
		e.Int("moves", t.Moves)
	}
	if t.Runs > 1 {
		e.Int("runs", t.Runs)
	}
	t.marshalReported(e)
}

// marshalReported adds what the last response reported about its endpoint.
func (t Trace) marshalReported(e *zerolog.Event) {
	if t.Outcome.Draining {
		e.Bool("says_leaving", true)
	}
	if t.Outcome.BackOff > 0 {
		e.Dur("says_rest", t.Outcome.BackOff)
	}
	if l := t.Outcome.Limit; l.Limited {
		e.Float64("says_limit", l.PerSecond)
	}
	if t.Outcome.InvalidLimit != "" {
		e.Str("says_unreadable_limit", t.Outcome.InvalidLimit)
	}
}

// marshalContent adds the hashes of the request's content and of the shared parts of its prompt.
func (t Trace) marshalContent(e *zerolog.Event) {
	if t.Content != 0 {
		e.Stringer("content", t.Content)
	}
	if len(t.Parts) > 0 {
		e.Strs("parts", partNames(t.Parts))
	}
}

func partNames(hs []requesthash.Hash) []string {
	names := make([]string, len(hs))
	for i, h := range hs {
		names[i] = h.String()
	}
	return names
}
