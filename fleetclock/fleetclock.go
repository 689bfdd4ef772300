// Package fleetclock provides a wall time that does not jump when a box's system clock is stepped.
// The boxes synchronize their clocks, so that all boxes assign the same moment to the same time
// window.
package fleetclock

import (
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// maxSlewRate is the largest correction towards the system clock per second. The drift of
// clocks, some tens of parts per million, is far below it. A step of the system clock that is
// reverted within ten seconds moves the time by less than 10 ms.
const maxSlewRate = time.Millisecond

// syncRounds is the number of rounds after its start in which a process adopts the median of all
// boxes' clocks, as its system clock may be wrong at that time.
const syncRounds = 8

// Clock is the wall time of one process: the system clock's reading at the start, advanced by
// boottime and corrected by Adjust. A Clock must be created with New. It is safe for concurrent
// use.
type Clock struct {
	readWall  func() time.Time
	startWall time.Time // system clock at the start
	start     time.Time // boottime at the start

	mu           sync.Mutex
	offset       time.Duration
	lastAdjusted time.Time
	rounds       int
}

// New returns a clock that starts at the current reading of the system clock, which readWall
// returns. The argument is time.Now except in tests.
func New(readWall func() time.Time) *Clock {
	now := boottime.Now()
	return &Clock{readWall: readWall, startWall: readWall().Round(0), start: now, lastAdjusted: now}
}

// At returns the wall time of t, which must come from boottime.Now.
func (c *Clock) At(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startWall.Add(t.Sub(c.start) + c.offset)
}

// Now returns the current wall time.
func (c *Clock) Now() time.Time { return c.At(boottime.Now()) }

// Adjust corrects the clock once per round. The offsets say how far the clocks of other boxes are
// ahead of c. In the first rounds of a process, c is set to the median of all clocks. Later it is
// slewed towards the system clock by at most 1 ms per second.
func (c *Clock) Adjust(offsets []time.Duration) {
	now := boottime.Now()
	behind := c.readWall().Round(0).Sub(c.At(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := now.Sub(c.lastAdjusted)
	c.lastAdjusted = now
	if c.rounds < syncRounds && len(offsets) > 0 {
		c.rounds++
		c.offset += median(append(slices.Clone(offsets), 0))
		return
	}
	maxSlew := time.Duration(elapsed.Seconds() * float64(maxSlewRate))
	c.offset += min(max(behind, -maxSlew), maxSlew)
}

// median returns the median of ds, which must not be empty. It sorts ds.
func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	n := len(ds)
	if n%2 == 1 {
		return ds[n/2]
	}
	return (ds[n/2-1] + ds[n/2]) / 2
}
