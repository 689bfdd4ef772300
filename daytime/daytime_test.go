package daytime_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/daytime"
)

// box is one process whose own clock can be stepped.
type box struct {
	*daytime.Clock
	step time.Duration
}

func start(step time.Duration) *box {
	b := &box{step: step}
	b.Clock = daytime.New(func() time.Time { return time.Now().Add(b.step) })
	return b
}

// play lets boxes tell each other for a while.
func play(d time.Duration, bs ...*box) {
	const round = 250 * time.Millisecond
	for range d / round {
		for _, b := range bs {
			var ahead []time.Duration
			for _, o := range bs {
				if o != b {
					ahead = append(ahead, o.Now().Sub(b.Now()))
				}
			}
			b.Follow(ahead)
		}
		time.Sleep(round)
	}
}

// off is how far a box's time of day is from the true one.
func off(b *box) time.Duration { return time.Until(b.Now()).Abs() }

// A process that starts while its clock is ahead or back goes by the others.
func TestStartsStepped(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			bs := []*box{start(step), start(0), start(0)}
			play(3*time.Second, bs...)
			for _, b := range bs {
				require.Less(t, off(b), 10*time.Millisecond)
			}
		})
	}
}

// A step for some seconds moves nothing that a window would notice, ahead or back.
func TestStepped(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			bs := []*box{start(0), start(0), start(0)}
			play(5*time.Second, bs...)
			bs[0].step, bs[1].step = step, step
			play(5*time.Second, bs...)
			for _, b := range bs {
				require.Less(t, off(b), 20*time.Millisecond)
			}
		})
	}
}

// A clock that is set right for good is followed slowly.
func TestSetRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(0)
		play(5*time.Second, b)
		b.step = 2 * time.Second
		play(30*time.Minute, b)
		require.InDelta(t, 1.8, off(b).Seconds(), 0.01)
		play(10*time.Minute, b)
		require.InDelta(t, 2, off(b).Seconds(), 0.01)
	})
}

func ExampleClock_At() {
	c := daytime.New(func() time.Time { return time.Unix(1000, 0) })
	at := c.At(boottime.Now().Add(time.Minute))
	fmt.Println(at.Unix())
	// Output: 1060
}

// The steady clock stands still while a box is suspended, and the time of day does not: a
// suspension of five seconds would put an hour's counts into windows that are over.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(0)
		before := b.Now()
		boottime.Skip(5 * time.Second)
		require.Equal(t, 5*time.Second, b.Now().Sub(before))
	})
}
