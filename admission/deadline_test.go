package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/admission"
)

// lost is the input of a request whose wait is twice the time left.
var lost = admission.Input{Expected: 4 * time.Second, Left: time.Second, Ratio: 0.5, Samples: 20}

// A request that cannot begin in time is refused, with the time after which the wait is short enough.
func TestDecideRefusesLostRequest(t *testing.T) {
	d := admission.Decide(lost)
	require.Equal(t, admission.WaitTooLong, d.Reason)
	require.Equal(t, 2*time.Second, d.Earliest)
	require.Equal(t, time.Second, d.RetryAfter)
	in := lost
	in.Random = 0.5
	require.Equal(t, 1100*time.Millisecond, admission.Decide(in).RetryAfter)
	in.Expected = time.Hour
	require.LessOrEqual(t, admission.Decide(in).RetryAfter, 18*time.Second)
	in.Left = 0
	require.Equal(t, admission.DeadlinePassed, admission.Decide(in).Reason)
	require.Positive(t, admission.Decide(in).RetryAfter)
}

// What could be served must not be refused: not on old load reports, on few samples, or if the
// optimistic time fits.
func TestDecideAdmits(t *testing.T) {
	for name, change := range map[string]func(*admission.Input){
		"few samples":    func(in *admission.Input) { in.Samples = 19.9 },
		"no samples":     func(in *admission.Input) { in.Samples, in.Ratio = 0, 0 },
		"old load":       func(in *admission.Input) { in.LoadAge = 1001 * time.Millisecond },
		"load drained":   func(in *admission.Input) { in.Expected, in.LoadAge = 3500*time.Millisecond, 800*time.Millisecond },
		"optimism":       func(in *admission.Input) { in.Ratio = 0.24 },
		"time left":      func(in *admission.Input) { in.Left = 2001 * time.Millisecond },
		"no expectation": func(in *admission.Input) { in.Expected = 0 },
	} {
		in := lost
		change(&in)
		require.False(t, admission.Decide(in).Refused(), name)
	}
}

// The target is under 2 us and no allocation for a decision with its look-up of the error.
func BenchmarkDecide(b *testing.B) {
	var k accuracy.Tracker
	key := accuracy.Key{Service: "s", Route: "r"}
	now := time.Now()
	for range 100 {
		k.Observe(key, time.Second, time.Second, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		in := lost
		in.Ratio, in.Samples = k.Quantile(key, admission.OptimisticQuantile, now)
		admission.Decide(in)
	}
}
