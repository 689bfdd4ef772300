package session_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// A box on whose word others rest notices a silent store soon, and does not take
// one that answers for silent.
func TestFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		s := session.New(m, zerolog.Nop())
		s.Fast(true)
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		for range 100 {
			wait.For(t.Context(), 37*time.Millisecond)
			require.LessOrEqual(t, s.Silent(), session.RenewFast)
		}
		m.SetDown(true)
		wait.For(t.Context(), 1200*time.Millisecond)
		require.Greater(t, s.Silent(), 1100*time.Millisecond)
		m.SetDown(false)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// A lease that ended is replaced, and the store's return is told once.
func TestLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		s := session.New(m, zerolog.Nop())
		returns := 0
		s.OnReturn(func() { returns++ })
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		first := s.Lease()
		require.NotZero(t, first)
		m.SetDown(true)
		wait.For(t.Context(), 2*session.TTL)
		m.SetDown(false)
		wait.For(t.Context(), 3*session.Renew)
		require.NotZero(t, s.Lease())
		require.NotEqual(t, first, s.Lease())
		require.Equal(t, 2, returns)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// counted counts renewals.
type counted struct {
	*memstore.Memory
	renewals atomic.Int64
}

func (c *counted) Renew(x context.Context, l store.Lease) error {
	c.renewals.Add(1)
	return c.Memory.Renew(x, l)
}

// A box that is told that the store answers makes no calls, knows no less of the store,
// and renews as before once it is told nothing more: it has a lease that stands then, and when it
// asks for one.
func TestTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &counted{Memory: &memstore.Memory{}}
		s := session.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		for range 60 {
			s.Told(100 * time.Millisecond)
			wait.For(t.Context(), 500*time.Millisecond)
			require.LessOrEqual(t, s.Silent(), session.Renew)
		}
		require.Zero(t, m.renewals.Load())
		l, err := s.Hold(t.Context())
		require.NoError(t, err)
		require.NoError(t, m.Memory.Renew(t.Context(), l))
		before := m.renewals.Load()
		wait.For(t.Context(), 30*time.Second)
		require.GreaterOrEqual(t, m.renewals.Load()-before, int64(28))
		require.NoError(t, m.Memory.Renew(t.Context(), s.Lease()))
		require.Equal(t, l, s.Lease())
		require.NoError(t, s.Stop(context.Background()))
	})
}

// What another box knew of the store while it was away is no sign of its return.
func TestToldOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		s := session.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		m.SetDown(true)
		began := time.Now()
		for range 10 {
			s.Told(time.Since(began) + 100*time.Millisecond)
			wait.For(t.Context(), 500*time.Millisecond)
		}
		require.Greater(t, s.Silent(), 4*time.Second)
		require.True(t, s.Lost())
		m.SetDown(false)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// A box that renews seldom, as another tells it of the store, finds out by a check that
// the store is silent, and that it answers again.
func TestCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		s := session.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), 100*time.Millisecond)
		s.Told(0)
		wait.For(t.Context(), time.Second)
		require.True(t, s.Check(t.Context()))
		s.Told(0)
		m.SetDown(true)
		wait.For(t.Context(), 600*time.Millisecond)
		require.False(t, s.Away())
		require.False(t, s.Check(t.Context()))
		require.True(t, s.Away())
		m.SetDown(false)
		wait.For(t.Context(), session.RenewFast+session.Retry)
		require.True(t, s.Check(t.Context()))
		require.NoError(t, s.Stop(context.Background()))
	})
}

// A box that wakes from a suspension does not take what it heard before for fresh, and has a
// lease again soon.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		s := session.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), 1200*time.Millisecond) // between two renewals
		l := s.Lease()
		s.Told(0)
		boottime.SimulateSuspension(5 * time.Second)
		m.EndLease(l)
		require.GreaterOrEqual(t, s.Silent(), 5*time.Second)
		wait.For(t.Context(), session.RenewFast)
		require.Less(t, s.Silent(), session.RenewFast+time.Millisecond)
		require.NotEqual(t, l, s.Lease())
		require.NoError(t, s.Stop(context.Background()))
	})
}
