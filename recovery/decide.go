// Package recovery decides what becomes of a request when its attempt breaks.
package recovery

import "birchlink.dev/birchlink/errkind"

// Break is how an attempt ended before its answer was whole.
type Break int

// The ways an attempt breaks.
const (
	Refused     Break = iota // the endpoint said that it did not run
	Unreachable              // no connection came about: nothing was sent
	Cut                      // the connection ended after the request was sent
	Stalled                  // no token for too long
	Restarted                // the endpoint is another process now
	NeverSeen                // the endpoint never saw the attempt and will refuse it
	Gone                     // the box was taken
	Halted                   // the endpoint confirms that it stopped the attempt
)

// String returns the word for a break in logs and metrics.
func (b Break) String() string {
	return [...]string{"refused", "unreachable", "cut", "stalled", "restarted", "never_seen", "gone", "halted"}[b]
}

// Step is what to do next.
type Step int

// The steps.
const (
	Reattach  Step = iota // read on from the same attempt
	Stop                  // ask the endpoint to stop the attempt, then decide again
	Elsewhere             // go on at another endpoint from the next token
	Fail                  // give up
)

// State is what the decision rests on. Tries counts reattachments of the
// attempt since its last token, Attempts the attempts so far. Ran says that an
// attempt, this one or an earlier, may have run.
type State struct {
	Break      Break
	Repeatable bool
	Tries      int
	Attempts   int
	Ran        bool
	Expired    bool
	Budget     bool

	// Limit is the number of attempts allowed; zero is MaxAttempts. Charged says
	// that the budget also pays for another attempt after a confirmed refusal.
	Limit   int
	Charged bool
}

// The bounds of the decision.
const (
	MaxTries    = 3
	MaxAttempts = 6
)

// Decision is a step; Kind says why for Fail.
type Decision struct {
	Step   Step
	Kind   errkind.Kind
	Reason string
}

// Decide returns the next step. It never lets two attempts of a request that is
// not repeatable run at once: another attempt follows only on a confirmation
// that the last did not run or has stopped.
func Decide(s State) Decision {
	notRun := s.Break == Refused || s.Break == Unreachable || s.Break == NeverSeen
	confirmed := notRun || s.Break == Halted
	switch {
	case s.Expired && !s.Ran:
		return Decision{Fail, errkind.DeadlineTooShort, "deadline passed before it ran"}
	case s.Expired && !s.Repeatable && !confirmed:
		return Decision{Fail, errkind.OutcomeUnknown, "deadline passed and the run is not confirmed"}
	case s.Expired:
		return Decision{Fail, errkind.DeadlinePassed, "deadline passed"}
	case s.Break == Cut && s.Tries < MaxTries:
		return Decision{Reattach, 0, "the connection broke"}
	case !confirmed && !s.Repeatable:
		return unconfirmed(s)
	case s.Attempts >= s.limit() || !s.Budget && (!confirmed || s.Charged):
		return Decision{Fail, exhausted(s.Ran), "retries are used up"}
	default:
		return Decision{Elsewhere, 0, "another endpoint goes on"}
	}
}

func (s State) limit() int {
	if s.Limit > 0 {
		return s.Limit
	}
	return MaxAttempts
}

// unconfirmed decides for a request that is not repeatable and may still run.
func unconfirmed(s State) Decision {
	switch s.Break {
	case Restarted, Gone:
		return Decision{Fail, errkind.OutcomeUnknown, "the endpoint ended without saying how far it came"}
	default:
		return Decision{Stop, 0, "the attempt must be confirmed stopped"}
	}
}

func exhausted(ran bool) errkind.Kind {
	if ran {
		return errkind.EngineFailed
	}
	return errkind.NoEndpoint
}
