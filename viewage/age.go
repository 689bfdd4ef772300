// Package viewage measures how old a box's copy of state in the store is. A copy that doesn't change is either up to
// date or no longer updated, which its content doesn't show.
package viewage

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// Age is the age of a copy: the time since it was last known to be complete. It is safe for concurrent use and must be
// created with New.
type Age struct {
	mu          sync.Mutex
	at          time.Time
	isConfirmed bool
}

// New returns the age of a copy that begins now.
func New() *Age { return &Age{at: boottime.Now()} }

// Confirm records that the copy had all changes made up to a time.
func (a *Age) Confirm(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isConfirmed = true
	if at.After(a.at) {
		a.at = at
	}
}

// IsConfirmed reports whether the copy was ever known to be complete.
func (a *Age) IsConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isConfirmed
}

// Get returns the age.
func (a *Age) Get() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return boottime.Since(a.at)
}
