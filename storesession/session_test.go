package storesession_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// A box whose reports others rely on notices an unresponsive store soon, and never reports
// one that answers as unresponsive.
func TestFastRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		s := storesession.New(m, zerolog.Nop())
		s.SetFast(true)
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		for range 100 {
			wait.For(t.Context(), 37*time.Millisecond)
			require.LessOrEqual(t, s.StoreUnresponsiveFor(), storesession.FastRenewInterval)
		}
		m.SetDown(true)
		wait.For(t.Context(), 1200*time.Millisecond)
		require.Greater(t, s.StoreUnresponsiveFor(), 1100*time.Millisecond)
		m.SetDown(false)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// An expired lease is replaced, and OnReconnect's functions are called once for the first answer
// and once when the store is reachable again.
func TestExpiredLeaseIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		s := storesession.New(m, zerolog.Nop())
		reconnects := 0
		s.OnReconnect(func() { reconnects++ })
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		first := s.Lease()
		require.NotZero(t, first)
		m.SetDown(true)
		wait.For(t.Context(), 2*storesession.TTL)
		m.SetDown(false)
		wait.For(t.Context(), 3*storesession.RenewInterval)
		require.NotZero(t, s.Lease())
		require.NotEqual(t, first, s.Lease())
		require.Equal(t, 2, reconnects)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// countingStore counts renewals.
type countingStore struct {
	*memstore.Store
	renewals atomic.Int64
}

func (c *countingStore) Renew(x context.Context, l store.Lease) error {
	c.renewals.Add(1)
	return c.Store.Renew(x, l)
}

// A box makes no renewals while another box reports that the store answers, and its
// StoreUnresponsiveFor stays as low as with renewals. EnsureLease returns a valid lease meanwhile.
// When the reports stop, the box renews as usual and keeps that lease.
func TestReportsReplaceRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &countingStore{Store: &memstore.Store{}}
		s := storesession.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		for range 60 {
			s.MergeReport(100 * time.Millisecond)
			wait.For(t.Context(), 500*time.Millisecond)
			require.LessOrEqual(t, s.StoreUnresponsiveFor(), storesession.RenewInterval)
		}
		require.Zero(t, m.renewals.Load())
		l, err := s.EnsureLease(t.Context())
		require.NoError(t, err)
		require.NoError(t, m.Store.Renew(t.Context(), l))
		before := m.renewals.Load()
		wait.For(t.Context(), 30*time.Second)
		require.GreaterOrEqual(t, m.renewals.Load()-before, int64(28))
		require.NoError(t, m.Store.Renew(t.Context(), s.Lease()))
		require.Equal(t, l, s.Lease())
		require.NoError(t, s.Stop(context.Background()))
	})
}

// Reports of answers from before an outage don't end the outage.
func TestStaleReportsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		s := storesession.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), time.Second)
		m.SetDown(true)
		began := time.Now()
		for range 10 {
			s.MergeReport(time.Since(began) + 100*time.Millisecond)
			wait.For(t.Context(), 500*time.Millisecond)
		}
		require.Greater(t, s.StoreUnresponsiveFor(), 4*time.Second)
		require.True(t, s.StoreLost())
		m.SetDown(false)
		require.NoError(t, s.Stop(context.Background()))
	})
}

// A box that renews seldom because of another's reports learns by PingStore that the store is
// unresponsive, and that it answers again.
func TestPingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		s := storesession.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), 100*time.Millisecond)
		s.MergeReport(0)
		wait.For(t.Context(), time.Second)
		require.True(t, s.PingStore(t.Context()))
		s.MergeReport(0)
		m.SetDown(true)
		wait.For(t.Context(), 600*time.Millisecond)
		require.False(t, s.StoreUnreachable())
		require.False(t, s.PingStore(t.Context()))
		require.True(t, s.StoreUnreachable())
		m.SetDown(false)
		wait.For(t.Context(), storesession.FastRenewInterval+storesession.RetryDelay)
		require.True(t, s.PingStore(t.Context()))
		require.NoError(t, s.Stop(context.Background()))
	})
}

// A box that wakes from a suspension doesn't count answers from before the suspension as recent, and
// soon has a new lease.
func TestWakeFromSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		s := storesession.New(m, zerolog.Nop())
		require.NoError(t, s.Start(t.Context(), nil))
		wait.For(t.Context(), 1200*time.Millisecond) // between two renewals
		l := s.Lease()
		s.MergeReport(0)
		boottime.SimulateSuspension(5 * time.Second)
		m.ExpireLease(l)
		require.GreaterOrEqual(t, s.StoreUnresponsiveFor(), 5*time.Second)
		wait.For(t.Context(), storesession.FastRenewInterval)
		require.Less(t, s.StoreUnresponsiveFor(), storesession.FastRenewInterval+time.Millisecond)
		require.NotEqual(t, l, s.Lease())
		require.NoError(t, s.Stop(context.Background()))
	})
}

// lateStore holds back the answers of renewals that the store has made. Each is passed on when the test receives from held.
type lateStore struct {
	*memstore.Store
	late atomic.Bool
	held chan struct{}
}

func (l *lateStore) Renew(c context.Context, x store.Lease) error {
	err := l.Store.Renew(c, x)
	if l.late.Load() {
		l.held <- struct{}{}
	}
	return err
}

// Guards against an answer of the store that counts as recent although it waited, while the box was paused, to be read: nothing
// shows that the store has answered since it was asked.
func TestAnswerReadAfterPauseIsOld(t *testing.T) {
	const pause = 10 * time.Second
	for name, ask := range map[string]func(t *testing.T, s *storesession.Session){
		"renewal": func(t *testing.T, _ *storesession.Session) { wait.For(t.Context(), storesession.RenewInterval) },
		"ping":    func(t *testing.T, s *storesession.Session) { go s.PingStore(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &lateStore{Store: &memstore.Store{}, held: make(chan struct{})}
				s := storesession.New(m, zerolog.Nop())
				require.NoError(t, s.Start(t.Context(), nil))
				defer func() { require.NoError(t, s.Stop(context.Background())) }()
				wait.For(t.Context(), time.Millisecond)
				m.late.Store(true)
				ask(t, s)
				synctest.Wait()
				boottime.SimulateSuspension(pause)
				m.late.Store(false)
				<-m.held
				synctest.Wait()
				require.GreaterOrEqual(t, s.StoreUnresponsiveFor(), pause)
				require.Zero(t, s.StoreResponsiveFor())
				wait.For(t.Context(), 2*storesession.RenewInterval)
				require.LessOrEqual(t, s.StoreUnresponsiveFor(), storesession.RenewInterval)
			})
		})
	}
}
