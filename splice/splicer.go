// Package splice assembles the response of one streaming request from the lines of its attempts.
// Each token is accepted once and in order, whatever lines arrive.
package splice

import "birchlink.dev/birchlink/engine"

// Verdict classifies a line.
type Verdict int

// The verdicts on a line.
const (
	Dropped  Verdict = iota // late, duplicate, or of another request or attempt
	Accepted                // the next token
	Gap                     // lines are missing before this one, or it exceeds Splicer.MaxTokens
	Complete                // the end of a complete response
	Halted                  // the engine stopped before the response was complete
)

// reasonComplete is the reason in the end mark of a complete response.
const reasonComplete = "stop"

// Splicer accepts the tokens of one request in order and only from the current attempt. Next is
// the index of the next token, MaxTokens the number of tokens allowed.
type Splicer struct {
	RequestID string
	Attempt   int
	Next      int
	MaxTokens int
}

// Accept classifies one line and advances Next if the line is Accepted. Late and duplicate lines
// and those of another request or attempt are Dropped. A token or end mark beyond Next, or a
// token beyond MaxTokens, is a Gap. An end mark at Next is Complete if the response is complete,
// otherwise Halted.
func (s *Splicer) Accept(l engine.Line) Verdict {
	switch {
	case l.RequestID != s.RequestID || l.Attempt != s.Attempt:
		return Dropped
	case l.Index < s.Next:
		return Dropped
	case l.Index > s.Next:
		return Gap
	case !l.End:
		if s.Next >= s.MaxTokens {
			return Gap
		}
		s.Next++
		return Accepted
	case l.Reason == reasonComplete:
		return Complete
	default:
		return Halted
	}
}

// StartAttempt makes attempt the current one. The splicer continues at Next.
func (s *Splicer) StartAttempt(attempt int) { s.Attempt = attempt }
