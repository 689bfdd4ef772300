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
	d := recovery.Decide(recovery.State{Interruption: recovery.Stalled, MayHaveRun: true, Attempts: 1, HasBudget: true})
	fmt.Println(d.Step == recovery.Stop, d.Reason)
	// Output: true the attempt must be confirmed stopped
}

func drawState(t *rapid.T) recovery.State {
	s := recovery.State{
		Interruption: recovery.Interruption(rapid.IntRange(int(recovery.Refused), int(recovery.Halted)).Draw(t, "break")),
		Repeatable:   rapid.Bool().Draw(t, "repeatable"),
		Reattaches:   rapid.IntRange(0, recovery.MaxReattaches).Draw(t, "tries"),
		Attempts:     rapid.IntRange(1, recovery.MaxAttempts+1).Draw(t, "attempts"),
		MayHaveRun:   rapid.Bool().Draw(t, "ran"),
		Expired:      rapid.Bool().Draw(t, "expired"),
		HasBudget:    rapid.Bool().Draw(t, "budget"),
		CanWait:      rapid.Bool().Draw(t, "can wait"),
	}
	if s.Interruption != recovery.Refused && s.Interruption != recovery.Unreachable && s.Interruption != recovery.NeverSeen {
		s.MayHaveRun = true
	}
	return s
}

// A request that is not repeatable fails over only if its attempt is confirmed not to run, and a
// request that may have run is never reported as not run.
func TestDecideInvariants(t *testing.T) {
	confirmed := map[recovery.Interruption]bool{
		recovery.Refused: true, recovery.Unreachable: true, recovery.NeverSeen: true, recovery.Halted: true,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		d := recovery.Decide(s)
		if d.Step == recovery.Failover && !s.Repeatable {
			require.True(t, confirmed[s.Interruption], "%+v", s)
		}
		if d.Step == recovery.Fail && s.MayHaveRun {
			require.NotEqual(t, errkind.NotRun, d.Kind.Response().Run, "%+v", s)
		}
		if s.Expired {
			require.Equal(t, recovery.Fail, d.Step)
		}
	})
}

// Guards against silence that is taken for the end of an endpoint: a request that can wait for a silent attempt fails only
// at its deadline, and waits only for a silent one.
func TestSilenceEndsNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		d := recovery.Decide(s)
		if s.Interruption == recovery.Stalled && s.CanWait && !s.Expired {
			require.NotEqual(t, recovery.Fail, d.Step, "%+v", s)
		}
		if d.Step == recovery.Wait {
			require.True(t, s.Interruption == recovery.Stalled && s.CanWait && !s.Expired, "%+v", s)
		}
		if s.Attempts >= recovery.MaxAttempts {
			require.NotEqual(t, recovery.Failover, d.Step, "%+v", s)
		}
	})
}

// A repeatable request that is interrupted again and again fails after a bounded number of steps.
func TestRecoveryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := recovery.State{Repeatable: true, Attempts: 1, HasBudget: true}
		for range recovery.MaxAttempts * (recovery.MaxReattaches + 2) {
			s.Interruption = recovery.Interruption(rapid.IntRange(int(recovery.Refused), int(recovery.Gone)).Draw(t, "break"))
			s.MayHaveRun = true
			switch recovery.Decide(s).Step {
			case recovery.Reattach:
				s.Reattaches++
			case recovery.Failover:
				s.Attempts, s.Reattaches = s.Attempts+1, 0
			default:
				return
			}
		}
		t.Fatal("recovery does not end")
	})
}
