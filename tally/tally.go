// Package tally counts by account, in windows of the time of day, the requests
// that began to run.
package tally

import (
	"maps"
	"sync"
	"time"
)

// Tally holds the counts of one box. Its zero value, with Window set, is ready.
type Tally struct {
	Window time.Duration

	mu     sync.Mutex
	counts map[int64]map[string]int
}

// Number returns the number of the window that holds a time of day, which callers take
// from a clock that does not jump.
func (t *Tally) Number(at time.Time) int64 { return int64(at.Sub(time.Unix(0, 0)) / t.Window) }

// End returns when a window ends.
func (t *Tally) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.Window)) }

// Add counts one request.
func (t *Tally) Add(account string, at time.Time) {
	n := t.Number(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[int64]map[string]int{}
	}
	if t.counts[n] == nil {
		t.counts[n] = map[string]int{}
	}
	t.counts[n][account]++
}

// Of returns a window's counts.
func (t *Tally) Of(window int64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts[window])
}

// Forget drops the windows before one.
func (t *Tally) Forget(before int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.counts, func(w int64, _ map[string]int) bool { return w < before })
}
