package duty_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/duty"
	"birchlink.dev/birchlink/kv"
)

// fakeStore is a store of one key that can be made unavailable. If delayed is set, the next swap has no answer, and takes effect
// directly after the next read.
type fakeStore struct {
	mu          sync.Mutex
	entry       kv.Entry
	unavailable bool
	delayed     bool
	pending     *kv.Entry
}

func (f *fakeStore) Get(context.Context, string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	read := f.entry
	if e := f.pending; e != nil {
		f.pending = nil
		_, _ = f.apply(*e)
	}
	return read, nil
}

func (f *fakeStore) Swap(_ context.Context, e kv.Entry) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	if f.delayed {
		f.delayed, f.pending = false, &e
		return kv.Entry{}, kv.ErrOutcomeUnknown
	}
	return f.apply(e)
}

// apply swaps the entry. The caller holds f.mu.
func (f *fakeStore) apply(e kv.Entry) (kv.Entry, error) {
	if e.Rev != f.entry.Rev {
		return f.entry, kv.ErrConflict
	}
	f.entry = kv.Entry{Rev: e.Rev + 1, Value: e.Value}
	return f.entry, nil
}

// step runs one step of l. It ignores errors, which some tests provoke.
func step(t *testing.T, l *duty.Lease) { _ = l.Step(t.Context()) }

func heldFence(l *duty.Lease) uint64 {
	f, held := l.Held()
	if !held {
		return 0
	}
	return f
}

// A holder that is paused for longer than the term loses the lease to a holder with a higher fence.
// When it resumes, it considers itself the holder until its next step, but must not give orders to
// endpoints that do not check the fence.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		step(t, b)
		require.EqualValues(t, 1, heldFence(a))
		require.Zero(t, heldFence(b))
		require.True(t, a.MayActUnfenced(boottime.Now(), time.Minute), "the first holder has no predecessor to wait for")
		time.Sleep(duty.Term)
		step(t, b)
		require.EqualValues(t, 2, heldFence(b))
		require.EqualValues(t, 1, heldFence(a), "it has not made a step yet")
		require.False(t, a.MayActUnfenced(boottime.Now(), time.Minute))
		require.False(t, b.MayActUnfenced(boottime.Now(), time.Minute), "an order of a may still be running")
		step(t, a)
		require.Zero(t, heldFence(a))
		for range 25 {
			time.Sleep(duty.RenewInterval)
			step(t, b)
		}
		require.True(t, b.MayActUnfenced(boottime.Now(), time.Minute))
	})
}

// During an outage of the store the holder keeps its fence for endpoints that check it, soon gives no
// orders to the others, and no other box takes the lease.
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
		require.False(t, a.MayActUnfenced(boottime.Now(), 0))
		require.Zero(t, heldFence(b))
		f.unavailable = false
		step(t, a)
		step(t, b)
		require.EqualValues(t, 1, heldFence(a), "the same holder continues")
	})
}

// If several boxes compete for a free lease, exactly one gets it.
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

// Guards against a fence that goes back, which engines that check it refuse: the store has lost the lease, and a box takes it that
// has seen a higher fence.
func TestFenceRisesAfterLostRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		step(t, b)
		time.Sleep(duty.Term)
		step(t, b)
		require.EqualValues(t, 2, heldFence(b))
		step(t, a)
		f.entry = kv.Entry{}
		step(t, a)
		require.EqualValues(t, 3, heldFence(a))
		require.False(t, a.MayActUnfenced(boottime.Now(), 0), "an order of b may still be running")
		step(t, b)
		f.entry = kv.Entry{}
		step(t, b)
		require.EqualValues(t, 4, heldFence(b))
		f.entry = kv.Entry{}
		step(t, b)
		require.EqualValues(t, 5, heldFence(b), "also of a box that took it before")
	})
}

// Guards against a holder that resumes from a suspension and gives orders to endpoints that do not check the fence: the monotonic
// clock stood still, while another box has seen no renewal for the term and is the holder.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		step(t, b)
		require.True(t, a.MayActUnfenced(boottime.Now(), 0))
		boottime.SimulateSuspension(duty.Term)
		require.False(t, a.MayActUnfenced(boottime.Now(), 0))
		step(t, a)
		require.True(t, a.MayActUnfenced(boottime.Now(), 0), "it has renewed the lease")
		step(t, b)
		boottime.SimulateSuspension(duty.Term)
		step(t, b)
		require.EqualValues(t, 2, heldFence(b))
		require.False(t, b.MayActUnfenced(boottime.Now(), 0), "an order of a may still be running")
	})
}

// Guards against a holder that gives the lease up since its own renewal, which got no answer, was carried out late and conflicts with
// the next one, and against a new holder that is not one for the same reason.
func TestOwnSwapExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{delayed: true}
		a, b := &duty.Lease{Holder: "a", Store: f}, &duty.Lease{Holder: "b", Store: f}
		step(t, a)
		require.Zero(t, heldFence(a))
		step(t, a)
		require.Zero(t, heldFence(a), "the lease is not renewed")
		step(t, a)
		require.EqualValues(t, 1, heldFence(a))
		for range 5 {
			time.Sleep(duty.RenewInterval)
			step(t, a)
			step(t, b)
		}
		f.delayed = true
		step(t, a)
		step(t, a)
		require.EqualValues(t, 1, heldFence(a))
		step(t, b)
		time.Sleep(duty.Term)
		f.delayed = true
		step(t, b)
		step(t, b)
		require.Zero(t, heldFence(b))
		step(t, a)
		require.Zero(t, heldFence(a), "b has taken the lease")
		step(t, b)
		require.EqualValues(t, 2, heldFence(b))
	})
}
