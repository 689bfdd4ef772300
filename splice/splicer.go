// Package splice puts the whole answer of one request together from the lines
// of its attempts.
package splice

import "birchlink.dev/birchlink/engine"

// Verdict says what a line was.
type Verdict int

// The verdicts on a line.
const (
	Dropped Verdict = iota
	Accepted
	Gap
	Ended
	Halted
)

// endWhole is the reason in the end mark of an answer that is whole.
const endWhole = "stop"

// Splicer accepts the tokens of one request in order and only from the current
// attempt. Next is the index of the token that it waits for.
type Splicer struct {
	RequestID string
	Attempt   int
	Next      int
	Max       int
}

// Take judges one line. A late, crossed or doubled line is Dropped; a token or
// an end mark from beyond the next index is a Gap; an end mark is Ended if the
// answer is whole, Halted if the engine stopped before.
func (s *Splicer) Take(l engine.Line) Verdict {
	switch {
	case l.RequestID != s.RequestID || l.Attempt != s.Attempt:
		return Dropped
	case l.Index < s.Next:
		return Dropped
	case l.Index > s.Next:
		return Gap
	case !l.End:
		if s.Next >= s.Max {
			return Gap
		}
		s.Next++
		return Accepted
	case l.Reason == endWhole:
		return Ended
	default:
		return Halted
	}
}

// Begin starts another attempt from the next index.
func (s *Splicer) Begin(attempt int) { s.Attempt = attempt }
