// Package boottime tells the time that has passed, also while the box was suspended. The
// steady clock stands still then, so that leases, ages and deadlines which rest on it look
// fresh when the box wakes.
//
// Times that Now returns compare with each other and with those of time.Now as long as the
// box was never suspended; all that is to outlast a suspension uses this package.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// least is the shortest suspension that is noticed, and the drift of the time of day against
// the steady clock at which the boot clock is asked: reading the latter is a system call, the
// two others come with each reading of the time.
const least = 50 * time.Millisecond

// Clock counts suspensions.
type Clock struct {
	read  func() (steady, day time.Time)
	ahead func() time.Duration

	drift     atomic.Int64 // of the time of day against the steady clock, when last looked at
	suspended atomic.Int64 // all that the box was, in nanoseconds

	steady, day time.Time // when the clock began
	first       time.Duration

	mu sync.Mutex
}

// New returns a clock that begins now. Read returns the time on the steady clock and the time
// of day, and ahead how far the boot clock is ahead of the steady one.
func New(read func() (steady, day time.Time), ahead func() time.Duration) *Clock {
	c := &Clock{read: read, ahead: ahead, first: ahead()}
	c.steady, c.day = read()
	return c
}

// Now returns the time, whose monotonic reading counts the suspensions since the clock began.
func (c *Clock) Now() time.Time {
	t, day := c.read()
	drift := day.Sub(c.day) - t.Sub(c.steady)
	if d := drift - time.Duration(c.drift.Load()); d > least || d < -least {
		c.look(drift)
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// look asks the boot clock whether the time of day jumped since the box was suspended.
func (c *Clock) look(drift time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drift.Store(int64(drift))
	if d := c.ahead() - c.first; d > time.Duration(c.suspended.Load())+least {
		c.suspended.Store(int64(d))
	}
}

// Suspended returns for how long the box was suspended since the clock began.
func (c *Clock) Suspended() time.Duration {
	c.Now()
	return time.Duration(c.suspended.Load())
}

var system = New(func() (steady, day time.Time) {
	t := time.Now()
	return t, t.Round(0) // which drops the steady reading
}, ahead)

// Now returns the time as the clock of this process has it.
func Now() time.Time { return system.Now() }

// Since returns the time that has passed since t, which Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns for how long the box was suspended in the life of this process.
func Suspended() time.Duration { return system.Suspended() }

// Skip counts d as a suspension of this process. Tests suspend a box by it.
func Skip(d time.Duration) { system.suspended.Add(int64(d)) }

// ahead returns how far the boot clock is ahead of the steady one; zero where there is none.
func ahead() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
