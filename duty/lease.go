// Package duty implements leases for tasks that only one box of a data centre should perform. A lease
// is a record in the platform's key-value service. Its fence (fencing token) increases with each new
// holder.
package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kv"
)

// A holder renews its lease every RenewInterval. Another box takes the lease over when it has observed
// no renewal for Term on its own clock.
const (
	RenewInterval = 3 * time.Second
	Term          = 10 * time.Second
)

// safeTermDivisor divides the term: a holder may give orders to endpoints that do not check its fence
// only within Term/safeTermDivisor after a renewal.
const safeTermDivisor = 2

// store is the part of the key-value client that a lease uses.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// record is the stored form of a lease. Beat changes with each renewal.
type record struct {
	Holder string
	Fence  uint64
	Beat   uint64
}

// Lease competes for and renews the lease at Key on behalf of the box Holder. The exported fields must
// be set before the first Step.
type Lease struct {
	Key    string
	Holder string
	Store  store

	mu          sync.Mutex
	rev         uint64    // of the last record observed or written
	lastChange  time.Time // when this box first observed rev
	lastRecord  record    // at rev
	topFence    uint64    // highest fence observed or written; the store may lose the record
	held        bool
	lastRenewal time.Time // by this box
	heldSince   time.Time // when this box last became the holder
}

// Step renews the lease if this box holds it, or takes it over if its holder has not renewed it for a
// term. It must be called every RenewInterval. Losing a race for the lease is not an error.
func (l *Lease) Step(c context.Context) error {
	began := boottime.Now()
	e, err := l.Store.Get(c, l.Key)
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.Key, err)
	}
	r, err := l.observe(e, began)
	if err != nil {
		return err
	}
	next, ok := l.nextRecord(r, e.Rev, began)
	if !ok {
		return nil
	}
	b, err := msgpack.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	n, err := l.Store.Swap(c, kv.Entry{Key: l.Key, Rev: e.Rev, Value: b})
	if errors.Is(err, kv.ErrConflict) {
		// The record is another box's, or one that this box wrote before without an answer.
		if _, err := l.observe(n, boottime.Now()); err != nil {
			l.clearHeld()
			return err
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.Key, err)
	}
	l.setHeld(next, n.Rev, began)
	return nil
}

// observe decodes the stored record and records when it changed.
func (l *Lease) observe(e kv.Entry, now time.Time) (record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r record
	if e.Rev != 0 {
		if err := msgpack.Unmarshal(e.Value, &r); err != nil {
			return r, fmt.Errorf("decode lease: %w", err)
		}
	}
	if e.Rev != l.rev || l.lastChange.IsZero() {
		l.rev, l.lastChange, l.lastRecord = e.Rev, now, r
	}
	l.topFence = max(l.topFence, r.Fence)
	if r.Holder != l.Holder {
		l.held = false
	}
	return r, nil
}

// nextRecord returns the record to write and true, or false if another box holds the lease.
func (l *Lease) nextRecord(r record, rev uint64, now time.Time) (record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Holder == l.Holder:
		return record{Holder: l.Holder, Fence: r.Fence, Beat: r.Beat + 1}, true
	case rev == 0, now.Sub(l.lastChange) >= Term:
		return record{Holder: l.Holder, Fence: l.topFence + 1}, true
	default:
		return r, false
	}
}

func (l *Lease) setHeld(r record, rev uint64, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		l.heldSince = boottime.Now()
	}
	l.topFence = max(l.topFence, r.Fence)
	l.held, l.rev, l.lastRecord, l.lastChange, l.lastRenewal = true, rev, r, began, began
}

func (l *Lease) clearHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

// Held returns the current fence and whether this box held the lease at its last step. The box may
// have lost the lease since then, so it may give orders only to endpoints that check the fence. For
// other endpoints, see MayActUnfenced.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRecord.Fence, l.held
}

// MayActUnfenced reports whether this box may give orders to endpoints that do not check the fence. It
// may if less than Term/safeTermDivisor has passed since it renewed the lease, and if all orders of the
// previous holder, which take up to maxDuration each, have ended. Now must come from boottime.Now.
func (l *Lease) MayActUnfenced(now time.Time, maxDuration time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.lastRecord.Fence <= 1
	return l.held && now.Sub(l.lastRenewal) < Term/safeTermDivisor && (first || now.Sub(l.heldSince) > Term+maxDuration)
}

// CurrentHolder returns the holder and the fence of the last record that this box has read or written.
func (l *Lease) CurrentHolder() (holder string, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRecord.Holder, l.lastRecord.Fence
}
