package election_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

const term = 3 * time.Second

func startElection(t *testing.T, m *memstore.Store, box string) *election.Election {
	t.Helper()
	e := &election.Election{Store: m, Key: "duty", Box: box, Term: term, Log: zerolog.Nop()}
	require.NoError(t, e.Start(t.Context(), nil))
	return e
}

func countHolders(es ...*election.Election) (n int, fence uint64) {
	for _, e := range es {
		if f, ok := e.UseFence(); ok {
			n, fence = n+1, f
		}
	}
	return n, fence
}

// When the holder stops, another box becomes the holder under a higher fence. There are never two.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		a := startElection(t, m, "a")
		wait.For(t.Context(), 2*term)
		b := startElection(t, m, "b")
		wait.For(t.Context(), 2*term)
		n, first := countHolders(a, b)
		require.Equal(t, 1, n)
		require.NoError(t, a.Stop(context.Background()))
		wait.For(t.Context(), term)
		n, second := countHolders(a, b)
		require.Equal(t, 1, n)
		require.Greater(t, second, first)
		require.NoError(t, b.Stop(context.Background()))
	})
}

// A holder that cannot reach the store stops acting before its lease can end, by its own monotonic
// clock alone.
func TestStopsBeforeLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		a := startElection(t, m, "a")
		wait.For(t.Context(), 2*term)
		_, ok := a.UseFence()
		require.True(t, ok)
		m.SetDown(true)
		wait.For(t.Context(), term)
		_, ok = a.UseFence()
		require.False(t, ok)
		m.SetDown(false)
		require.NoError(t, a.Stop(context.Background()))
	})
}

// A box that becomes the holder again does not act until a term after its last call under the earlier
// fence. Otherwise its calls could alternate with those of the holder in between.
func TestWaitsTermAfterReelection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		a := startElection(t, m, "a")
		wait.For(t.Context(), 2*term)
		f, ok := a.UseFence()
		require.True(t, ok)
		last := time.Now()
		a.Resign(f)
		for {
			g, ok := a.UseFence()
			if ok {
				require.Greater(t, g, f)
				require.GreaterOrEqual(t, time.Since(last), term)
				break
			}
			wait.For(t.Context(), 50*time.Millisecond)
		}
		require.NoError(t, a.Stop(context.Background()))
	})
}

// A commit whose response is lost leads neither to two holders nor to a long time without one.
func TestLostCommitResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.LoseAnswers(1)
		a, b := startElection(t, m, "a"), startElection(t, m, "b")
		wait.For(t.Context(), 3*term)
		n, _ := countHolders(a, b)
		require.Equal(t, 1, n)
		require.NoError(t, a.Stop(context.Background()))
		require.NoError(t, b.Stop(context.Background()))
	})
}

// A holder that resumes from a suspension does not act on its old lease. The monotonic clock stands
// still while the box is suspended, but the store ends the lease and another box may be the holder.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		a := startElection(t, m, "a")
		wait.For(t.Context(), 2*term)
		n, _ := countHolders(a)
		require.Equal(t, 1, n)
		boottime.SimulateSuspension(term)
		n, _ = countHolders(a)
		require.Zero(t, n)
		require.NoError(t, a.Stop(context.Background()))
	})
}

// lateStore passes on the answers of the next call of a kind after the test has received from held.
type lateStore struct {
	*memstore.Store
	call string
	held chan struct{}
}

func (l *lateStore) hold(call string) {
	if l.call == call {
		l.call = ""
		l.held <- struct{}{}
	}
}

func (l *lateStore) Renew(c context.Context, x store.Lease) error {
	defer l.hold("renew")
	return l.Store.Renew(c, x)
}

func (l *lateStore) Grant(c context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	defer l.hold("grant")
	return l.Store.Grant(c, ttl)
}

func (l *lateStore) Commit(c context.Context, x store.Change) (uint64, error) {
	defer l.hold("commit")
	return l.Store.Commit(c, x)
}

// Guards against a box that acts on an answer of the store which waited to be read while the box was suspended: the lease has ended
// meanwhile, and another box may be the holder.
func TestAnswerReadAfterSuspensionMakesNoHolder(t *testing.T) {
	for _, call := range []string{"renew", "grant", "commit"} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &lateStore{Store: &memstore.Store{}, held: make(chan struct{})}
				e := &election.Election{Store: m, Key: "duty", Box: "a", Term: term, Log: zerolog.Nop()}
				m.call = call
				require.NoError(t, e.Start(t.Context(), nil))
				defer func() { require.NoError(t, e.Stop(context.Background())) }()
				wait.For(t.Context(), term)
				boottime.SimulateSuspension(2 * term)
				<-m.held
				synctest.Wait()
				n, _ := countHolders(e)
				require.Zero(t, n)
				wait.For(t.Context(), 2*term)
				n, _ = countHolders(e)
				require.Equal(t, 1, n, "it is the holder once the store has answered anew")
			})
		})
	}
}
