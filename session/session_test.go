package session_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
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
