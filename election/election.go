// Package election lets one box at a time hold a duty: by a key that stands
// under the holder's lease in the store, whose revision is the fence.
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

// The parts of the term. A holder renews three times in it, and stops acting
// when less than stopPart of it is left on its own steady clock, so that it has
// stopped before the store ends the lease. A challenger watches the key, each
// call for challenge, and asks for the duty when the key goes.
const (
	renewalsPerTerm = 3
	stopFraction    = 0.3
	watchTimeout    = 8 * time.Second
	retryInterval   = 300 * time.Millisecond
)

// Election is one box's part in a duty. Its exported fields are set before it starts.
type Election struct {
	Store store.Store
	Key   string
	Box   string
	Term  time.Duration
	Log   zerolog.Logger

	// Eligible reports whether this box may ask for the duty; nil is always. One
	// that may not any more keeps the duty while it holds it.
	Eligible func() bool

	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	fence      uint64
	validUntil time.Time // the holder acts until then
	lease      store.Lease
	lastUse    time.Time // when this box last acted, under whatever fence
	lastFence  uint64    // the fence under which it did
}

// UseFence returns the fence and true if this box may make a call now. A box that
// gets the duty back waits a term after its last call under an earlier fence, so
// that it does not act by turns with the holder between; so does a process that
// has just started, which does not know of calls before.
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

// Resign gives the duty up for good under this fence: it was refused.
func (e *Election) Resign(fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence == fence {
		e.fence = 0
	}
}

// Name is the name of the service.
const Name = "election"

// Name returns the service's name.
func (e *Election) Name() string { return Name }

// Start begins to take part.
func (e *Election) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() { e.run(c) })
	return nil
}

// Stop gives the duty back if it is held.
func (e *Election) Stop(context.Context) error {
	e.cancel()
	e.group.Wait()
	return nil
}

// run takes part until c ends, then gives the duty back if it is held.
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
		e.Log.Info().Str("event", "duty").Err(err).Msg("not given back; it ends by itself")
	}
}

// step renews the duty or asks for it, and returns when to step again.
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
	// Whatever ends the watch, the next step looks at the key again.
	if _, _, err := e.Store.Watch(c, e.Key, at, watchTimeout); err != nil {
		return retryInterval
	}
	return 0
}

// readKey returns the key's item, and a revision from which a watch misses nothing.
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
		e.Log.Warn().Str("event", "duty lost").Uint64("fence", e.fence).Msg("the lease has ended")
		e.fence, e.lease = 0, 0
		return retryInterval
	default:
		return retryInterval
	}
}

// acquire creates the key under a new lease. The revision that created it is
// higher than that of any holder before, so it is the fence.
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
		// The change may still be done: ending the lease takes the key with it.
		if err := e.Store.Revoke(c, l); err != nil {
			e.Log.Info().Str("event", "duty").Err(err).Msg("a lease that is of no use ends by itself")
		}
		return retryInterval
	}
	e.mu.Lock()
	e.fence, e.lease = rev, l
	e.validUntil = began.Add(time.Duration((1 - stopFraction) * float64(e.Term)))
	e.mu.Unlock()
	e.Log.Info().Str("event", "duty taken").Uint64("fence", rev).Msg("this box holds the duty")
	return e.Term / renewalsPerTerm
}
