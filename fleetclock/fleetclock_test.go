package fleetclock_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetclock"
)

// box is a process whose system clock can be stepped.
type box struct {
	*fleetclock.Clock
	step time.Duration
}

func startBox(step time.Duration) *box {
	b := &box{step: step}
	b.Clock = fleetclock.New(func() time.Time { return time.Now().Add(b.step) })
	return b
}

// simulate runs rounds for d, in which each box adjusts its clock to the others.
func simulate(d time.Duration, bs ...*box) {
	const round = 250 * time.Millisecond
	for range d / round {
		for _, b := range bs {
			var ahead []time.Duration
			for _, o := range bs {
				if o != b {
					ahead = append(ahead, o.Now().Sub(b.Now()))
				}
			}
			b.Adjust(ahead)
		}
		time.Sleep(round)
	}
}

// clockError returns the absolute difference between a box's time and the true time.
func clockError(b *box) time.Duration { return time.Until(b.Now()).Abs() }

// A process that starts with a wrong system clock adopts the time of the other boxes.
func TestStartWithWrongClock(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			bs := []*box{startBox(step), startBox(0), startBox(0)}
			simulate(3*time.Second, bs...)
			for _, b := range bs {
				require.Less(t, clockError(b), 10*time.Millisecond)
			}
		})
	}
}

// A step of the system clock that lasts a few seconds moves the time by less than 20 ms.
func TestTransientStep(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			bs := []*box{startBox(0), startBox(0), startBox(0)}
			simulate(5*time.Second, bs...)
			bs[0].step, bs[1].step = step, step
			simulate(5*time.Second, bs...)
			for _, b := range bs {
				require.Less(t, clockError(b), 20*time.Millisecond)
			}
		})
	}
}

// After a permanent step of the system clock, the time is slewed by 1 ms per second.
func TestPermanentStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBox(0)
		simulate(5*time.Second, b)
		b.step = 2 * time.Second
		simulate(30*time.Minute, b)
		require.InDelta(t, 1.8, clockError(b).Seconds(), 0.01)
		simulate(10*time.Minute, b)
		require.InDelta(t, 2, clockError(b).Seconds(), 0.01)
	})
}

func ExampleClock_At() {
	c := fleetclock.New(func() time.Time { return time.Unix(1000, 0) })
	at := c.At(boottime.Now().Add(time.Minute))
	fmt.Println(at.Unix())
	// Output: 1060
}

// The time advances during a suspension. A clock based on the monotonic clock alone would be 5 s
// behind after a suspension of 5 s. Catching up at 1 ms per second would take more than an hour,
// during which requests would be counted in past windows.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBox(0)
		before := b.Now()
		boottime.SimulateSuspension(5 * time.Second)
		require.Equal(t, 5*time.Second, b.Now().Sub(before))
	})
}
