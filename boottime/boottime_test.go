package boottime_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
)

// box has clocks as a box's kernel does: steady time stands still while it is suspended, the
// time of day may also be set.
type box struct {
	day, boot time.Duration
	asked     int
}

func (b *box) clock() *boottime.Clock {
	return boottime.New(func() (steady, day time.Time) {
		t := time.Now()
		return t, t.Round(0).Add(b.day)
	}, func() time.Duration {
		b.asked++
		return b.boot
	})
}

// A suspension counts once and for all; a step of the time of day does not.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &box{}
		c := b.clock()
		began := c.Now()
		time.Sleep(time.Second)
		require.Equal(t, time.Second, c.Now().Sub(began))

		b.day, b.boot = 5*time.Second, 5*time.Second
		require.Equal(t, 6*time.Second, c.Now().Sub(began))
		time.Sleep(time.Second)
		require.Equal(t, 7*time.Second, c.Now().Sub(began))
		require.Equal(t, 5*time.Second, c.Suspended())

		b.day += 2 * time.Second // it is set
		require.Equal(t, 7*time.Second, c.Now().Sub(began))
		b.day -= 2 * time.Second
		require.Equal(t, 7*time.Second, c.Now().Sub(began))

		b.day, b.boot = b.day+time.Second, b.boot+time.Second
		require.Equal(t, 8*time.Second, c.Now().Sub(began))
	})
}

// The boot clock is asked only when the time of day has jumped.
func TestAskedSeldom(t *testing.T) {
	b := &box{}
	c := b.clock()
	for range 1000 {
		c.Now()
	}
	require.Equal(t, 1, b.asked)
}
