// Package call represents callers' requests to the forwarding code, independent of the interface
// that a request came through.
package call

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Parts with the same ID consist of the same tokens, whoever the
// caller is.
type Part struct {
	ID     string
	Tokens int
}

// Call is one request. Header holds only the headers that are forwarded. Values that birchlink
// decodes from headers are in the other fields too.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // path and query as received
	Path   string
	Header http.Header
	Body   []byte

	// Key is the caller's secret. It is never sent to other boxes.
	Key string

	// Arrived is when the request was read, on this box's monotonic clock. Timeout is how long the
	// caller waits from then on, or zero if the caller gave no time.
	Arrived time.Time
	Timeout time.Duration

	// Read is when the body was read to its end, or zero before that and for a request without one.
	Read time.Time

	// LastEventID is the ID of the last event of a stream that the caller has received.
	LastEventID string

	// Resumes is the ID of the caller's request whose answer had the first event of the stream that this one takes
	// up again, or empty if it begins one.
	Resumes string

	// Parts are the parts of the prompt in order. PromptTokens is the number of their tokens as
	// counted by the caller, AnswerTokens the most that may be generated. HasTokenCounts is false if
	// the caller gave no counts.
	Model          string
	Parts          []Part
	PromptTokens   int
	AnswerTokens   int
	HasTokenCounts bool

	// ExpectedTokens is the caller's estimate of the answer's length, or zero if there is none.
	ExpectedTokens int
}

// Deadline returns the time after which the answer is of no use: the time of arrival plus the
// caller's timeout or the operator's limit, whichever is shorter.
func (c *Call) Deadline(limit time.Duration) time.Time {
	w := c.Timeout
	if w <= 0 || limit > 0 && limit < w {
		w = limit
	}
	return c.Arrived.Add(w)
}
