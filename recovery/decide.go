// Package recovery decides how a request continues after its attempt was interrupted.
package recovery

import "birchlink.dev/birchlink/errkind"

// Interruption is how an attempt ended before its answer was complete.
type Interruption int

// The kinds of interruptions.
const (
	Refused      Interruption = iota // the endpoint reports that the attempt did not run
	Unreachable                      // no connection could be made: nothing was sent
	Disconnected                     // the connection ended after the request was sent
	Stalled                          // no token arrived within the timeout
	Restarted                        // another process has the endpoint's address now
	NeverSeen                        // the endpoint never received the attempt and will refuse it
	Gone                             // the box was reclaimed
	Halted                           // the endpoint confirms that the attempt was stopped
)

// String returns the name of the interruption in logs and metrics.
func (i Interruption) String() string {
	return [...]string{"refused", "unreachable", "cut", "stalled", "restarted", "never_seen", "gone", "halted"}[i]
}

// Step is what a request does next.
type Step int

// The steps after an interruption.
const (
	Reattach Step = iota // continue to read the same attempt
	Stop                 // ask the endpoint to stop the attempt and decide again
	Failover             // start an attempt at another endpoint, from the next token
	Wait                 // read the same attempt on: its endpoint is silent, and nothing else can go on
	Fail                 // end the request with an error
)

// State is the input of a decision.
type State struct {
	Interruption Interruption
	Repeatable   bool
	Reattaches   int  // since the last token of the attempt
	Attempts     int  // so far
	MayHaveRun   bool // this attempt or an earlier one may have run
	Expired      bool // the deadline has passed
	HasBudget    bool // the retry budget allows another attempt

	// MaxAttempts bounds the attempts; zero stands for the constant MaxAttempts.
	MaxAttempts int

	// CanWait reports that an attempt can be read on once its silent endpoint is heard again.
	CanWait bool

	// ChargesRefusals requires budget for another attempt even if the last is confirmed not to run.
	ChargesRefusals bool
}

const (
	// MaxReattaches bounds the connections to one attempt without a new token.
	MaxReattaches = 3

	// MaxAttempts bounds the attempts of a request unless its State sets another bound.
	MaxAttempts = 6
)

// Decision is the next step and the reason for it. Kind is the kind of error if the step is Fail.
type Decision struct {
	Step   Step
	Kind   errkind.Kind
	Reason string
}

// Decide returns the next step. Two attempts of a request that is not repeatable never run at the
// same time: another attempt follows only when the last one is confirmed not to have run or to have
// stopped. Silence does not show that an endpoint has ended: an attempt that can be waited for is left only
// for another one.
func Decide(s State) Decision {
	notRun := s.Interruption == Refused || s.Interruption == Unreachable || s.Interruption == NeverSeen
	confirmed := notRun || s.Interruption == Halted
	switch {
	case s.Expired && !s.MayHaveRun:
		return Decision{Fail, errkind.DeadlineTooShort, "deadline passed before it ran"}
	case s.Expired && !s.Repeatable && !confirmed:
		return Decision{Fail, errkind.OutcomeUnknown, "deadline passed and the run is not confirmed"}
	case s.Expired:
		return Decision{Fail, errkind.DeadlinePassed, "deadline passed"}
	case s.Interruption == Disconnected && s.Reattaches < MaxReattaches:
		return Decision{Reattach, 0, "the connection broke"}
	case s.Interruption == Stalled && s.CanWait && (s.Attempts >= s.maxAttempts() || !s.HasBudget):
		return Decision{Wait, 0, "the endpoint is silent, and no other may go on"}
	case !confirmed && !s.Repeatable:
		return decideUnconfirmed(s)
	case s.Attempts >= s.maxAttempts():
		return Decision{Fail, exhaustedKind(s.MayHaveRun), "the request's attempts are used up"}
	case !s.HasBudget && (!confirmed || s.ChargesRefusals):
		return Decision{Fail, exhaustedKind(s.MayHaveRun), "the service's retries are used up"}
	default:
		return Decision{Failover, 0, "another endpoint goes on"}
	}
}

func (s State) maxAttempts() int {
	if s.MaxAttempts > 0 {
		return s.MaxAttempts
	}
	return MaxAttempts
}

// decideUnconfirmed decides for a request that is not repeatable and whose attempt may still run.
func decideUnconfirmed(s State) Decision {
	switch s.Interruption {
	case Restarted, Gone:
		return Decision{Fail, errkind.OutcomeUnknown, "the endpoint ended without saying how far it came"}
	default:
		return Decision{Stop, 0, "the attempt must be confirmed stopped"}
	}
}

func exhaustedKind(ran bool) errkind.Kind {
	if ran {
		return errkind.EngineFailed
	}
	return errkind.NoEndpoint
}
