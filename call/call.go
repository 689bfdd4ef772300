// Package call holds one request of a caller as the forwarding of calls sees
// it, whatever the interface was that it came through.
package call

import (
	"net/http"
	"time"
)

// Part is one piece of a prompt. Parts with the same ID hold the same tokens,
// whoever sends them.
type Part struct {
	ID     string
	Tokens int
}

// Call is one request. Header holds only what is passed on; what birchlink
// decodes from it stands in the other fields as well.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // path and query, as they came
	Path   string
	Header http.Header
	Body   []byte

	// Key is the caller's secret; it never leaves this box.
	Key string

	// Arrived is when the request was read, on this box's steady clock. Wait is
	// how long the caller says it will wait from then on; zero when it does not say.
	Arrived time.Time
	Timeout time.Duration

	// LastEvent is the last event of a stream that the caller already has.
	LastEventID string

	// Parts are the pieces of the prompt in order; PromptTokens is their sum as
	// the caller counts it, and AnswerTokens the most that may be generated.
	// Counted is false when the caller gave no figures.
	Model          string
	Parts          []Part
	PromptTokens   int
	AnswerTokens   int
	HasTokenCounts bool

	// ExpectedTokens is the caller's guess of the answer's length; zero if none.
	ExpectedTokens int
}

// Deadline returns when the answer is of no more use: the caller's wait or the
// operator's limit, whichever ends first.
func (c *Call) Deadline(limit time.Duration) time.Time {
	w := c.Timeout
	if w <= 0 || limit > 0 && limit < w {
		w = limit
	}
	return c.Arrived.Add(w)
}
