// Package ring holds the newest values of a sequence.
package ring

import "iter"

// Ring holds the newest values that were added, up to its size.
type Ring[T any] struct {
	size   int
	next   int // index of the oldest value once the ring is full
	values []T
}

// New returns an empty ring that holds size values, at least one.
func New[T any](size int) *Ring[T] { return &Ring[T]{size: max(size, 1)} }

// Add adds a value. If the ring is full, the value replaces the oldest one.
func (r *Ring[T]) Add(v T) {
	if len(r.values) < r.size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.size
}

// Newest returns the values from the newest to the oldest.
func (r *Ring[T]) Newest() iter.Seq[T] {
	return func(yield func(T) bool) {
		n := len(r.values)
		for i := range n {
			if !yield(r.values[(r.next+n-1-i)%n]) {
				return
			}
		}
	}
}
