package reporter_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/cloudapi"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/reporter"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/tally"
	"birchlink.dev/birchlink/wait"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	term   = 3 * time.Second
)

// cloud keeps what was reported, and checks fences as the real one does.
type cloud struct {
	mu      sync.Mutex
	highest uint64
	reports map[int64][]map[string]int
	at      map[int64]time.Time
	lose    int // answers
	refused int
}

func (l *cloud) Order(context.Context, cloudapi.Duty, cloudapi.Order) error { return nil }

func (l *cloud) Report(_ context.Context, d cloudapi.Duty, w int64, counts map[string]int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Fence < l.highest {
		l.refused++
		return cloudapi.ErrFenced
	}
	l.highest = d.Fence
	l.reports[w] = append(l.reports[w], maps.Clone(counts))
	if l.at[w].IsZero() {
		l.at[w] = time.Now()
	}
	if l.lose > 0 {
		l.lose--
		return cloudapi.ErrUnknown
	}
	return nil
}

// box is one box's part.
type box struct {
	name     string
	tally    *tally.Tally
	election *election.Election
	reporter *reporter.Reporter
}

func newBox(t *testing.T, m *memstore.Store, l *cloud, name string) *box {
	t.Helper()
	b := &box{name: name, tally: &tally.Tally{Window: window}}
	b.election = &election.Election{Store: m, Key: "duty", Box: name, Term: term, Log: zerolog.Nop()}
	o := reporter.Options{Prefix: "usage/", WritersPrefix: "boxes/", Box: name, Incarnation: "1", Due: due}
	b.reporter = reporter.New(o, b.tally, m, l, b.election, zerolog.Nop())
	m.Set("boxes/"+name, "")
	require.NoError(t, b.election.Start(t.Context(), nil))
	require.NoError(t, b.reporter.Start(t.Context(), nil))
	return b
}

func (b *box) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, b.reporter.Stop(context.Background()))
	_ = b.election.Stop(context.Background())
}

func run(t *testing.T, f func(t *testing.T, m *memstore.Store, l *cloud, a, b *box)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		l := &cloud{reports: map[int64][]map[string]int{}, at: map[int64]time.Time{}}
		a := newBox(t, m, l, "a")
		wait.For(t.Context(), time.Second)
		b := newBox(t, m, l, "b")
		wait.For(t.Context(), 2*window)
		f(t, m, l, a, b)
	})
}

// next waits for a new window to begin, and counts three requests in it on box a
// and four on box b.
func next(t *testing.T, a, b *box) int64 {
	t.Helper()
	w := a.tally.WindowAt(time.Now()) + 1
	wait.For(t.Context(), time.Until(a.tally.WindowEnd(w-1).Add(time.Second)))
	for range 3 {
		a.tally.Add("x", time.Now())
	}
	for range 4 {
		b.tally.Add("x", time.Now())
	}
	return w
}

// same requires that a window was reported in time, and only with these counts.
func (l *cloud) same(t *testing.T, w int64, end time.Time, counts map[string]int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	require.NotEmpty(t, l.reports[w])
	require.LessOrEqual(t, l.at[w].Sub(end), due)
	for _, r := range l.reports[w] {
		require.Equal(t, counts, r)
	}
}

func TestSumOfAllBoxes(t *testing.T) {
	run(t, func(t *testing.T, _ *memstore.Store, l *cloud, a, b *box) {
		w := next(t, a, b)
		wait.For(t.Context(), 2*window)
		l.same(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
		b.stop(t)
	})
}

// A report whose answer is lost is sent again with the same counts, also by the
// box that takes the duty over.
func TestHolderGoesAfterALostAnswer(t *testing.T) {
	run(t, func(t *testing.T, _ *memstore.Store, l *cloud, a, b *box) {
		w := next(t, a, b)
		l.mu.Lock()
		l.lose = 1
		l.mu.Unlock()
		wait.For(t.Context(), time.Until(a.tally.WindowEnd(w).Add(time.Second)))
		a.stop(t)
		b.tally.Add("x", a.tally.WindowEnd(w-1).Add(time.Second)) // comes too late to count
		wait.For(t.Context(), 2*window)
		l.same(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		b.stop(t)
	})
}

// What a box told before it was killed counts, though it never wrote it.
func TestBoxKilledBeforeItWrote(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Store, l *cloud, a, b *box) {
		w := next(t, a, b)
		a.reporter.Hear(b.tally.Recent(b.reporter.Source(), w))
		kill(t, m, b)
		wait.For(t.Context(), 2*window)
		l.same(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
	})
}

// kill ends a box without a word: its lease ends, and nothing more is written.
func kill(t *testing.T, m *memstore.Store, b *box) {
	t.Helper()
	m.Delete("boxes/" + b.name)
	b.tally.Forget(1 << 60)
	b.reporter.Store = away{}
	_ = b.reporter.Stop(context.Background())
	_ = b.election.Stop(context.Background())
}

// away is a store that is never reached.
type away struct{ store.Store }

func (away) Commit(context.Context, store.Change) (uint64, error) {
	return 0, errors.New("killed")
}

// Without the store for a while, the report still comes in time.
func TestStoreAwayForAWhile(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Store, l *cloud, a, b *box) {
		w := next(t, a, b)
		wait.For(t.Context(), time.Until(a.tally.WindowEnd(w).Add(-100*time.Millisecond)))
		m.SetDown(true)
		wait.For(t.Context(), 4500*time.Millisecond)
		m.SetDown(false)
		wait.For(t.Context(), 2*window)
		l.same(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
		b.stop(t)
	})
}
