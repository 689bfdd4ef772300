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
	"birchlink.dev/birchlink/usage"
	"birchlink.dev/birchlink/wait"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	term   = 3 * time.Second
)

// fakeCloud records the reports and refuses stale fences, as the real cloud does.
type fakeCloud struct {
	mu              sync.Mutex
	highest         uint64
	reports         map[int64][]map[string]int
	reportedAt      map[int64]time.Time
	responsesToDrop int
	refused         int
}

func (c *fakeCloud) Order(context.Context, cloudapi.Lease, cloudapi.Order) error { return nil }

func (c *fakeCloud) Report(_ context.Context, d cloudapi.Lease, w int64, counts map[string]int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Fence < c.highest {
		c.refused++
		return cloudapi.ErrFenced
	}
	c.highest = d.Fence
	c.reports[w] = append(c.reports[w], maps.Clone(counts))
	if c.reportedAt[w].IsZero() {
		c.reportedAt[w] = time.Now()
	}
	if c.responsesToDrop > 0 {
		c.responsesToDrop--
		return cloudapi.ErrUnknown
	}
	return nil
}

// box holds the services of one box.
type box struct {
	name     string
	tally    *usage.Tally
	election *election.Election
	reporter *reporter.Reporter
}

func newBox(t *testing.T, m *memstore.Store, l *fakeCloud, name string) *box {
	t.Helper()
	return newBoxAt(t, m, l, name, window, nil)
}

// newBoxAt starts a box with windows of a length and a clock; that of the test if it is nil.
func newBoxAt(t *testing.T, m *memstore.Store, l *fakeCloud, name string, window time.Duration, now func() time.Time) *box {
	t.Helper()
	b := &box{name: name, tally: &usage.Tally{Window: window}}
	b.election = &election.Election{Store: m, Key: "duty", Box: name, Term: term, Log: zerolog.Nop()}
	o := reporter.Options{Prefix: "usage/", WritersPrefix: "boxes/", Box: name, Incarnation: "1", Due: due, Now: now}
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

func runWithTwoBoxes(t *testing.T, f func(t *testing.T, m *memstore.Store, l *fakeCloud, a, b *box)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		l := &fakeCloud{reports: map[int64][]map[string]int{}, reportedAt: map[int64]time.Time{}}
		a := newBox(t, m, l, "a")
		wait.For(t.Context(), time.Second)
		b := newBox(t, m, l, "b")
		wait.For(t.Context(), 2*window)
		f(t, m, l, a, b)
	})
}

// countInNextWindow waits for the start of the next window, and counts three requests in it on box a
// and four on box b.
func countInNextWindow(t *testing.T, a, b *box) int64 {
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

// requireReported requires that a window was reported in time, and always with these counts.
func (c *fakeCloud) requireReported(t *testing.T, w int64, end time.Time, counts map[string]int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	require.NotEmpty(t, c.reports[w])
	require.LessOrEqual(t, c.reportedAt[w].Sub(end), due)
	for _, r := range c.reports[w] {
		require.Equal(t, counts, r)
	}
}

func TestReportSumsAllBoxes(t *testing.T) {
	runWithTwoBoxes(t, func(t *testing.T, _ *memstore.Store, l *fakeCloud, a, b *box) {
		w := countInNextWindow(t, a, b)
		wait.For(t.Context(), 2*window)
		l.requireReported(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
		b.stop(t)
	})
}

// A report whose response is lost is sent again with the same counts, also by the next leader.
func TestSuccessorReportsSameCounts(t *testing.T) {
	runWithTwoBoxes(t, func(t *testing.T, _ *memstore.Store, l *fakeCloud, a, b *box) {
		w := countInNextWindow(t, a, b)
		l.mu.Lock()
		l.responsesToDrop = 1
		l.mu.Unlock()
		wait.For(t.Context(), time.Until(a.tally.WindowEnd(w).Add(time.Second)))
		a.stop(t)
		b.tally.Add("x", a.tally.WindowEnd(w-1).Add(time.Second)) // after the sum was stored
		wait.For(t.Context(), 2*window)
		l.requireReported(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		b.stop(t)
	})
}

// Counts that a killed box reported to another box are included although it never wrote them.
func TestCountsOfKilledBoxAreReported(t *testing.T) {
	runWithTwoBoxes(t, func(t *testing.T, m *memstore.Store, l *fakeCloud, a, b *box) {
		w := countInNextWindow(t, a, b)
		a.reporter.Merge(b.tally.Recent(b.reporter.Source(), w))
		kill(t, m, b)
		wait.For(t.Context(), 2*window)
		l.requireReported(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
	})
}

// kill simulates a crash of a box: its lease expires, and it writes nothing more.
func kill(t *testing.T, m *memstore.Store, b *box) {
	t.Helper()
	m.Delete("boxes/" + b.name)
	b.tally.Forget(1 << 60)
	b.reporter.Store = unreachableStore{}
	_ = b.reporter.Stop(context.Background())
	_ = b.election.Stop(context.Background())
}

// unreachableStore is a store whose commits fail.
type unreachableStore struct{ store.Store }

func (unreachableStore) Commit(context.Context, store.Change) (uint64, error) {
	return 0, errors.New("killed")
}

// A report is still in time if the store is unreachable for 4.5 s around the end of the window.
func TestReportSurvivesStoreOutage(t *testing.T) {
	runWithTwoBoxes(t, func(t *testing.T, m *memstore.Store, l *fakeCloud, a, b *box) {
		w := countInNextWindow(t, a, b)
		wait.For(t.Context(), time.Until(a.tally.WindowEnd(w).Add(-100*time.Millisecond)))
		m.SetDown(true)
		wait.For(t.Context(), 4500*time.Millisecond)
		m.SetDown(false)
		wait.For(t.Context(), 2*window)
		l.requireReported(t, w, a.tally.WindowEnd(w), map[string]int{"x": 7})
		a.stop(t)
		b.stop(t)
	})
}
