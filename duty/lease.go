// Package duty lets one box of a data centre do what only one should: under a
// lease in the platform's service, with a fence that grows with each holder.
package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/kv"
)

// The times of a lease. A holder renews every Renew; a challenger takes over
// when it has seen no renewal for Term on its own clock.
const (
	RenewInterval = 3 * time.Second
	Term          = 10 * time.Second
)

// safeTermDivisor is the part of the term in which a holder may give orders to
// endpoints that do not check its fence.
const safeTermDivisor = 2

// store is what a lease needs of the key-value service.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// record is the lease as it is stored. Beat changes with each renewal.
type record struct {
	Holder string
	Fence  uint64
	Beat   uint64
}

// Lease is one box's part in a duty.
type Lease struct {
	Key    string
	Holder string
	Store  store

	mu          sync.Mutex
	rev         uint64
	lastChange  time.Time
	lastRecord  record
	held        bool
	lastRenewal time.Time
	heldSince   time.Time
}

// Step renews the lease if this box has it, or takes it when its holder has
// not renewed it for a term. It is to be called every Renew.
func (l *Lease) Step(c context.Context) error {
	began := time.Now()
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
		l.clearHeld()
		return nil
	}
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.Key, err)
	}
	l.setHeld(next, n.Rev, began)
	return nil
}

// observe notes what the store has, and when it last changed.
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
	if r.Holder != l.Holder {
		l.held = false
	}
	return r, nil
}

// nextRecord returns the record to write, if one is due.
func (l *Lease) nextRecord(r record, rev uint64, now time.Time) (record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Holder == l.Holder:
		return record{Holder: l.Holder, Fence: r.Fence, Beat: r.Beat + 1}, true
	case rev == 0, now.Sub(l.lastChange) >= Term:
		return record{Holder: l.Holder, Fence: r.Fence + 1}, true
	default:
		return r, false
	}
}

func (l *Lease) setHeld(r record, rev uint64, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		l.heldSince = time.Now()
	}
	l.held, l.rev, l.lastRecord, l.lastChange, l.lastRenewal = true, rev, r, began, began
}

func (l *Lease) clearHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

// Held returns the fence if this box last had the duty. It may have lost it
// meanwhile: only endpoints that check the fence may be given orders by it.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRecord.Fence, l.held
}

// MayActUnfenced reports whether this box has the duty well inside its term, and any
// order of the holder before, which may take up to longest, has ended.
func (l *Lease) MayActUnfenced(now time.Time, longest time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.lastRecord.Fence <= 1
	return l.held && now.Sub(l.lastRenewal) < Term/safeTermDivisor && (first || now.Sub(l.heldSince) > Term+longest)
}

// CurrentHolder returns who has the duty as far as this box knows.
func (l *Lease) CurrentHolder() (holder string, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRecord.Holder, l.lastRecord.Fence
}
