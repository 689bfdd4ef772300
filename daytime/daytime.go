// Package daytime keeps the time of day without the jumps of a box's own clock:
// boxes that number windows by it put the same moment into the same window.
package daytime

import (
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// maxSlew is how much of a difference to the box's own clock is taken over in a second:
// drift is some tens of parts in a million, and a step of some seconds that is undone
// within some more moves the time by less than a hundredth of a second.
const maxSlew = time.Millisecond

// learnRounds is in how many rounds after its start a process believes the others
// rather than its own clock, which may be ahead or back just then.
const learnRounds = 8

// Clock is the time of day of one process: its own clock as it was at the start,
// carried on by the steady clock. New returns one.
type Clock struct {
	own   func() time.Time
	wall  time.Time // of the box's own clock at the start
	start time.Time // on the steady clock

	mu     sync.Mutex
	offset time.Duration
	slewed time.Time
	rounds int
}

// New returns a clock that starts from the box's own, which is time.Now but in tests.
func New(own func() time.Time) *Clock {
	now := boottime.Now()
	return &Clock{own: own, wall: own().Round(0), start: now, slewed: now}
}

// At returns the time of day of a moment that boottime.Now returned.
func (c *Clock) At(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall.Add(t.Sub(c.start) + c.offset)
}

// Now returns the time of day.
func (c *Clock) Now() time.Time { return c.At(boottime.Now()) }

// Follow takes how far other boxes' clocks are ahead of this one. A process that has
// just started goes by their median; later it follows its own clock slowly.
func (c *Clock) Follow(ahead []time.Duration) {
	now := boottime.Now()
	own := c.own().Round(0).Sub(c.At(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := now.Sub(c.slewed)
	c.slewed = now
	if c.rounds < learnRounds && len(ahead) > 0 {
		c.rounds++
		c.offset += median(append(slices.Clone(ahead), 0))
		return
	}
	most := time.Duration(passed.Seconds() * float64(maxSlew))
	c.offset += min(max(own, -most), most)
}

// median returns the middle of some differences, or the mean of the two in the middle.
func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	n := len(ds)
	if n%2 == 1 {
		return ds[n/2]
	}
	return (ds[n/2-1] + ds[n/2]) / 2
}
