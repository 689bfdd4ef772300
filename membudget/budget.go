// Package membudget bounds the memory that is held for others at the same time, such as the bodies of requests.
package membudget

import "sync/atomic"

// Budget is a number of bytes of which parts can be held. It is safe for concurrent use. Total must not be changed once
// the budget is in use; the zero value has no room.
type Budget struct {
	Total int64 // in bytes

	held atomic.Int64
}

// Acquire takes n bytes and reports whether there was room for them. It does not wait.
func (b *Budget) Acquire(n int64) bool {
	for {
		h := b.held.Load()
		if n > b.Total-h {
			return false
		}
		if b.held.CompareAndSwap(h, h+n) {
			return true
		}
	}
}

// Release returns n bytes that were acquired.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }
