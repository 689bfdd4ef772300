// Package election elects the holder of a duty, a task that only one box may perform at a time. The
// holder's key in the store is attached to a lease, which the holder renews. The revision at which the
// key was created is the fence (fencing token) of the holder's calls.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// A holder stops acting when less than stopFraction of the term is left on its own monotonic clock, so
// that it has stopped before the store ends the lease. The other boxes watch the key and try to become
// the holder when it is deleted.
const (
	renewalsPerTerm = 3
	stopFraction    = 0.3
	watchTimeout    = 8 * time.Second        // longest wait of one watch
	retryInterval   = 300 * time.Millisecond // after a failed call
)

// Election takes part in the election for one duty on behalf of one box. The exported fields must be
// set before it starts.
type Election struct {
	Store store.Store
	Key   string
	Box   string
	Term  time.Duration
	Log   zerolog.Logger

	// Eligible reports whether this box may become the holder; nil means always. A holder that
	// becomes ineligible remains the holder while its lease lasts.
	Eligible func() bool

	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	fence      uint64
	validUntil time.Time // until when the holder may act
	lease      store.Lease
	lastUse    time.Time // when this box last used a fence
	lastFence  uint64    // the fence used then
}

// UseFence returns the fence and true if this box may make a call now, and records the use. A box that
// becomes the holder again waits a term after its last call under an earlier fence, so that its calls
// do not alternate with those of the holder in between. A process that has just started waits too,
// because it does not know the calls of its predecessor.
func (e *Election) UseFence() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	if e.fence == 0 || !now.Before(e.validUntil) {
		return 0, false
	}
	if e.lastFence != e.fence && now.Sub(e.lastUse) < e.Term {
		return 0, false
	}
	e.lastUse, e.lastFence = now, e.fence
	return e.fence, true
}

// Resign gives up the duty if this box holds it under the given fence. It is called when a call with
// that fence was refused.
func (e *Election) Resign(fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == fence {
		e.fence = 0
	}
}

// Name is the name under which the kernel registers the service.
const Name = "election"

// Name returns the service's name.
func (e *Election) Name() string { return Name }

// Start starts taking part in the election.
func (e *Election) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() { e.run(c) })
	return nil
}

// Stop stops taking part and revokes the lease if this box is the holder.
func (e *Election) Stop(context.Context) error {
	e.cancel()
	e.group.Wait()
	return nil
}

// run takes part until c is done, and then revokes the lease if this box is the holder.
func (e *Election) run(c context.Context) {
	e.mu.Lock()
	e.lastUse = boottime.Now()
	e.mu.Unlock()
	for c.Err() == nil {
		pause := e.step(c)
		wait.For(c, pause)
	}
	e.release(context.WithoutCancel(c))
}

func (e *Election) release(c context.Context) {
	e.mu.Lock()
	l := e.lease
	e.fence, e.lease = 0, 0
	e.mu.Unlock()
	if l == 0 {
		return
	}
	if err := e.Store.Revoke(c, l); err != nil {
		e.Log.Info().Str("event", "duty").Err(err).Msg("cannot revoke the lease; it remains until it expires")
	}
}

// step renews the lease or tries to become the holder, and returns the time to wait until the next step.
func (e *Election) step(c context.Context) time.Duration {
	e.mu.Lock()
	l, fence := e.lease, e.fence
	e.mu.Unlock()
	began := boottime.Now()
	if l != 0 && fence != 0 {
		return e.renew(c, l, began)
	}
	if l != 0 {
		e.release(c)
	}
	if e.Eligible != nil && !e.Eligible() {
		return watchTimeout / 4
	}
	i, at, err := e.readKey(c)
	if err != nil {
		return retryInterval
	}
	if i.Revision == 0 {
		return e.acquire(c)
	}
	// However the watch ends, the next step reads the key again.
	if _, _, err := e.Store.Watch(c, e.Key, at, watchTimeout, 0); err != nil {
		return retryInterval
	}
	return 0
}

// readKey returns the key's item and the revision from which to watch it.
func (e *Election) readKey(c context.Context) (store.Item, uint64, error) {
	items, at, err := e.Store.Range(c, e.Key)
	if err != nil || len(items) == 0 {
		return store.Item{}, at, err
	}
	return items[0], at, nil
}

func (e *Election) renew(c context.Context, l store.Lease, began time.Time) time.Duration {
	err := e.Store.Renew(c, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.validUntil = began.Add(time.Duration((1 - stopFraction) * float64(e.Term)))
		return e.Term / renewalsPerTerm
	case errors.Is(err, store.ErrNoLease):
		e.Log.Warn().Str("event", "duty lost").Uint64("fence", e.fence).Msg("the lease has expired")
		e.fence, e.lease = 0, 0
		return retryInterval
	default:
		return retryInterval
	}
}

// acquire creates the key under a new lease. The key's revision becomes the fence, because it is
// higher than those of all earlier holders.
func (e *Election) acquire(c context.Context) time.Duration {
	began := boottime.Now()
	l, _, err := e.Store.Grant(c, e.Term)
	if err != nil {
		return retryInterval
	}
	x := store.Change{
		If:  []store.Condition{{Key: e.Key}},
		Put: []store.Put{{Key: e.Key, Value: []byte(e.Box), Lease: l}},
	}
	rev, err := e.Store.Commit(c, x)
	if err != nil {
		// The change may still take effect. Revoking the lease also deletes the key.
		if err := e.Store.Revoke(c, l); err != nil {
			e.Log.Info().Str("event", "duty").Err(err).Msg("cannot revoke the unused lease; it remains until it expires")
		}
		return retryInterval
	}
	e.mu.Lock()
	e.fence, e.lease = rev, l
	e.validUntil = began.Add(time.Duration((1 - stopFraction) * float64(e.Term)))
	e.mu.Unlock()
	e.Log.Info().Str("event", "duty taken").Uint64("fence", rev).Msg("this box is the holder of the duty")
	return e.Term / renewalsPerTerm
}
