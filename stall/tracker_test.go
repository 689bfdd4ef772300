package stall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stall"
)

// A single late stream must not drive requests away from a class, while a class of which one in five
// long streams is late must be told apart from one without, and be forgiven when its streams recover.
func TestRisk(t *testing.T) {
	const fast, mean = 1, 0
	var k stall.Tracker
	now := time.Now()
	require.Zero(t, k.Risk("s", mean, 70, now))

	k.Observe("s", mean, 70, true, now)
	require.Less(t, k.Risk("s", mean, 70, now), 0.3)
	for i := range 100 {
		k.Observe("s", fast, 70, false, now)
		k.Observe("s", mean, 70, i%5 == 0, now)
	}
	require.Zero(t, k.Risk("s", fast, 70, now))
	require.InDelta(t, 0.2, k.Risk("s", mean, 70, now), 0.02)
	require.InDelta(t, 0.02, k.Risk("s", mean, 6, now), 0.005, "a short stream has fewer pauses")
	require.Zero(t, k.Risk("other", mean, 70, now))

	later := now.Add(2 * time.Minute)
	for range 100 {
		k.Observe("s", mean, 70, false, later)
	}
	require.Less(t, k.Risk("s", mean, 70, later), 0.01)
}
