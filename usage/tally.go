// Package usage counts started requests by account, in fixed windows of wall-clock time.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Tally holds the counts of one box. The zero value with Window set is ready to use.
type Tally struct {
	Window time.Duration

	mu     sync.Mutex
	counts map[int64]map[string]int
}

// WindowAt returns the number of the window that contains the wall-clock time at. Callers must take
// the time from a clock that does not jump.
func (t *Tally) WindowAt(at time.Time) int64 { return int64(at.Sub(time.Unix(0, 0)) / t.Window) }

// WindowEnd returns the end of a window.
func (t *Tally) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.Window)) }

// Add counts one request of an account.
func (t *Tally) Add(account string, at time.Time) {
	n := t.WindowAt(at)
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

// Counts returns a copy of a window's counts by account.
func (t *Tally) Counts(window int64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts[window])
}

// Forget drops all windows with a number less than before.
func (t *Tally) Forget(before int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.counts, func(w int64, _ map[string]int) bool { return w < before })
}
