package boottime_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
)

// fakeClocks provides the readings of a machine's clocks. A suspension adds to both fields; setting
// the wall clock changes only wallStep.
type fakeClocks struct {
	wallStep, bootOffset time.Duration
	bootReads            int
}

func (f *fakeClocks) newClock() *boottime.Clock {
	return boottime.New(func() (monotonic, wall time.Time) {
		t := time.Now()
		return t, t.Round(0).Add(f.wallStep)
	}, func() time.Duration {
		f.bootReads++
		return f.bootOffset
	})
}

// A suspension is added to the time exactly once; a step of the wall clock changes nothing.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClocks{}
		c := f.newClock()
		start := c.Now()
		time.Sleep(time.Second)
		require.Equal(t, time.Second, c.Now().Sub(start))

		f.wallStep, f.bootOffset = 5*time.Second, 5*time.Second
		require.Equal(t, 6*time.Second, c.Now().Sub(start))
		time.Sleep(time.Second)
		require.Equal(t, 7*time.Second, c.Now().Sub(start))
		require.Equal(t, 5*time.Second, c.Suspended())

		f.wallStep += 2 * time.Second // the wall clock is set
		require.Equal(t, 7*time.Second, c.Now().Sub(start))
		f.wallStep -= 2 * time.Second
		require.Equal(t, 7*time.Second, c.Now().Sub(start))

		f.wallStep, f.bootOffset = f.wallStep+time.Second, f.bootOffset+time.Second
		require.Equal(t, 8*time.Second, c.Now().Sub(start))
	})
}

// The boot clock, whose reading is a system call, is read only after the wall clock has jumped.
func TestReadsBootClockOnlyAfterWallClockStep(t *testing.T) {
	f := &fakeClocks{}
	c := f.newClock()
	for range 1000 {
		c.Now()
	}
	require.Equal(t, 1, f.bootReads)
}
