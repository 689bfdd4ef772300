// Package splice assembles the response of one streaming request from the lines of its attempts.
// Each token is accepted once and in order, whatever lines arrive, as package sequence decides.
package splice

import (
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/sequence"
)

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
	if l.RequestID != s.RequestID || l.Attempt != s.Attempt {
		return Dropped
	}
	switch s.judge(l) {
	case sequence.Accepted:
		if s.Next >= s.MaxTokens {
			return Gap
		}
		s.Next++
		return Accepted
	case sequence.Gap:
		return Gap
	case sequence.Complete:
		return Complete
	case sequence.Broken:
		return Halted
	default:
		// A token with an earlier index is the same token, whatever its content: the index identifies it.
		return Dropped
	}
}

// judge returns the verdict on a line of the current attempt. It judges each line as a run of its own, since the attempt may be
// read again after a gap.
func (s *Splicer) judge(l engine.Line) sequence.Verdict {
	a := sequence.StartAfter[int, indexes](s.Next - 1)
	a.Counted = true
	r := a.Start(l.Attempt)
	if l.End {
		return r.EndAt(l.Index, l.Reason == reasonComplete)
	}
	return r.Judge(sequence.Event[int]{Number: l.Index, HasNumber: true})
}

// StartAttempt makes attempt the current one. The splicer continues at Next.
func (s *Splicer) StartAttempt(attempt int) { s.Attempt = attempt }
