package duty_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/duty"
	"birchlink.dev/birchlink/kv"
)

// fakeStore holds one key, and can be away.
type fakeStore struct {
	mu          sync.Mutex
	entry       kv.Entry
	unavailable bool
}

func (f *fakeStore) Get(context.Context, string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return f.entry, nil
}

func (f *fakeStore) Swap(_ context.Context, e kv.Entry) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	if e.Rev != f.entry.Rev {
		return f.entry, kv.ErrConflict
	}
	f.entry = kv.Entry{Rev: e.Rev + 1, Value: e.Value}
	return f.entry, nil
}

// step lets a box do what it does every few seconds; a failure is part of some
// tests.
func step(t *testing.T, l *duty.Lease) { _ = l.Step(t.Context()) }

func heldFence(l *duty.Lease) uint64 {
	f, mine := l.Held()
	if !mine {
		return 0
	}
	return f
}

// A holder that is paused longer than its term loses the duty to the next, with
// a higher fence; when it goes on it believes that it has the duty until it
// looks, but it may not order endpoints that do not check.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		step(t, b)
		require.EqualValues(t, 1, heldFence(a))
		require.Zero(t, heldFence(b))
		require.True(t, a.MayActUnfenced(time.Now(), time.Minute), "the first holder has nobody to wait for")
		time.Sleep(duty.Term)
		step(t, b)
		require.EqualValues(t, 2, heldFence(b))
		require.EqualValues(t, 1, heldFence(a), "it has not looked yet")
		require.False(t, a.MayActUnfenced(time.Now(), time.Minute))
		require.False(t, b.MayActUnfenced(time.Now(), time.Minute), "an order of a may still be under way")
		step(t, a)
		require.Zero(t, heldFence(a))
		for range 25 {
			time.Sleep(duty.RenewInterval)
			step(t, b)
		}
		require.True(t, b.MayActUnfenced(time.Now(), time.Minute))
	})
}

// While the platform is away the holder keeps its fence, for endpoints that
// check it, and soon gives no orders to others; nobody else takes the duty.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		step(t, b)
		f.unavailable = true
		for range 10 {
			time.Sleep(duty.RenewInterval)
			step(t, a)
			step(t, b)
		}
		require.EqualValues(t, 1, heldFence(a))
		require.False(t, a.MayActUnfenced(time.Now(), 0))
		require.Zero(t, heldFence(b))
		f.unavailable = false
		step(t, a)
		step(t, b)
		require.EqualValues(t, 1, heldFence(a), "the same holder goes on")
	})
}

// Two that seek a duty nobody has: one gets it.
func TestSingleWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		ls := []*duty.Lease{{Holder: "a", Store: f}, {Holder: "b", Store: f}, {Holder: "c", Store: f}}
		var g sync.WaitGroup
		for _, l := range ls {
			g.Go(func() { step(t, l) })
		}
		g.Wait()
		n := 0
		for _, l := range ls {
			if heldFence(l) > 0 {
				n++
			}
		}
		require.Equal(t, 1, n)
	})
}
