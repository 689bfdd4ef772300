// Package boottime provides a monotonic time that includes the time during which the machine was
// suspended. The monotonic clock of package time stops during a suspension, so leases, ages and
// deadlines that are based on it would not count the suspended time.
//
// Times returned by Now are comparable with each other. They are comparable with those of
// time.Now only if the machine was never suspended in the life of the process.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected. A change by more than minSuspension
// in the difference between the wall clock and the monotonic clock makes Now read the boot clock.
// The boot clock is not read each time because that takes a system call, while time.Now returns
// the two others together.
const minSuspension = 50 * time.Millisecond

// Clock is a monotonic clock that includes the time during which the machine was suspended.
// It is safe for concurrent use.
type Clock struct {
	readClocks func() (monotonic, wall time.Time)
	bootOffset func() time.Duration

	drift     atomic.Int64 // wall clock minus monotonic clock since the start, at the last check, in ns
	suspended atomic.Int64 // total time suspended, in ns

	startMonotonic, startWall time.Time // readings when the clock was created
	startOffset               time.Duration

	mu sync.Mutex
}

// New returns a clock that counts suspensions from now on. The function readClocks returns the
// monotonic time and the wall time, and bootOffset how far the boot clock is ahead of the
// monotonic clock.
func New(readClocks func() (monotonic, wall time.Time), bootOffset func() time.Duration) *Clock {
	c := &Clock{readClocks: readClocks, bootOffset: bootOffset, startOffset: bootOffset()}
	c.startMonotonic, c.startWall = readClocks()
	return c
}

// Now returns the current time. Its monotonic reading includes the suspensions since c was created.
func (c *Clock) Now() time.Time {
	t, wall := c.readClocks()
	drift := wall.Sub(c.startWall) - t.Sub(c.startMonotonic)
	if d := drift - time.Duration(c.drift.Load()); d > minSuspension || d < -minSuspension {
		c.updateSuspended(drift)
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// updateSuspended reads the boot clock to tell a suspension from a step of the wall clock.
func (c *Clock) updateSuspended(drift time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drift.Store(int64(drift))
	if d := c.bootOffset() - c.startOffset; d > time.Duration(c.suspended.Load())+minSuspension {
		c.suspended.Store(int64(d))
	}
}

// Suspended returns how long the machine was suspended since c was created.
func (c *Clock) Suspended() time.Duration {
	c.Now()
	return time.Duration(c.suspended.Load())
}

var systemClock = New(func() (monotonic, wall time.Time) {
	t := time.Now()
	return t, t.Round(0) // Round(0) strips the monotonic reading
}, bootClockOffset)

// Now returns the current time of the clock of this process.
func Now() time.Time { return systemClock.Now() }

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, which must be based on a time from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the machine was suspended since the process started.
func Suspended() time.Duration { return systemClock.Suspended() }

// SimulateSuspension adds d to the suspended time of this process. It is meant for tests.
func SimulateSuspension(d time.Duration) { systemClock.suspended.Add(int64(d)) }

// bootClockOffset returns how far the boot clock is ahead of the monotonic clock, or zero if the
// clocks cannot be read.
func bootClockOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
