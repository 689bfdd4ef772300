package recovery_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/recovery"
)

func ExampleDecide() {
	d := recovery.Decide(recovery.State{Break: recovery.Stalled, Ran: true, Attempts: 1, Budget: true})
	fmt.Println(d.Step == recovery.Stop, d.Reason)
	// Output: true the attempt must be confirmed stopped
}

func states(t *rapid.T) recovery.State {
	s := recovery.State{
		Break:      recovery.Break(rapid.IntRange(int(recovery.Refused), int(recovery.Halted)).Draw(t, "break")),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Tries:      rapid.IntRange(0, recovery.MaxTries).Draw(t, "tries"),
		Attempts:   rapid.IntRange(1, recovery.MaxAttempts+1).Draw(t, "attempts"),
		Ran:        rapid.Bool().Draw(t, "ran"),
		Expired:    rapid.Bool().Draw(t, "expired"),
		Budget:     rapid.Bool().Draw(t, "budget"),
	}
	if s.Break != recovery.Refused && s.Break != recovery.Unreachable && s.Break != recovery.NeverSeen {
		s.Ran = true
	}
	return s
}

// A request that may not be repeated goes elsewhere only when its attempt is
// confirmed not to run, and "not run" is only said of one that did not.
func TestDecisionsKeepThePromises(t *testing.T) {
	confirmed := map[recovery.Break]bool{
		recovery.Refused: true, recovery.Unreachable: true, recovery.NeverSeen: true, recovery.Halted: true,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := states(t)
		d := recovery.Decide(s)
		if d.Step == recovery.Elsewhere && !s.Repeatable {
			require.True(t, confirmed[s.Break], "%+v", s)
		}
		if d.Step == recovery.Fail && s.Ran {
			require.NotEqual(t, errkind.NotRun, d.Kind.Response().Run, "%+v", s)
		}
		if s.Expired {
			require.Equal(t, recovery.Fail, d.Step)
		}
	})
}

// However an attempt breaks, a request without end of trouble is given up after
// a bounded number of steps.
func TestRecoveryEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := recovery.State{Repeatable: true, Attempts: 1, Budget: true}
		for range recovery.MaxAttempts * (recovery.MaxTries + 2) {
			s.Break = recovery.Break(rapid.IntRange(int(recovery.Refused), int(recovery.Gone)).Draw(t, "break"))
			s.Ran = true
			switch recovery.Decide(s).Step {
			case recovery.Reattach:
				s.Tries++
			case recovery.Elsewhere:
				s.Attempts, s.Tries = s.Attempts+1, 0
			default:
				return
			}
		}
		t.Fatal("it does not end")
	})
}
