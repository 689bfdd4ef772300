package soak_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/soak"
)

// The same seed gives the same schedule and another seed a different one. Faults overlap, and all
// start within the span.
func TestSchedule(t *testing.T) {
	a := soak.Schedule(7, time.Minute, 5, 6)
	require.Equal(t, a, soak.Schedule(7, time.Minute, 5, 6))
	require.NotEqual(t, a, soak.Schedule(8, time.Minute, 5, 6))
	require.Greater(t, len(a), 30)
	overlap := false
	for i, f := range a {
		require.Less(t, f.At, time.Minute)
		overlap = overlap || i > 0 && a[i-1].At+a[i-1].Duration > f.At
	}
	require.True(t, overlap)
}
