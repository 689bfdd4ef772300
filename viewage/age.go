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
	confirmed   time.Time // the last time that was confirmed, which may be before at
	isConfirmed bool
}

// New returns the age of a copy that begins now.
func New() *Age { return &Age{at: boottime.Now()} }

// Confirm records that the copy had all changes made up to a time.
func (a *Age) Confirm(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isConfirmed = true; at.After(a.confirmed) {
		a.confirmed = at
	}
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

// Confirmed returns the time since the last time that was confirmed, and false if none was. It is the age for those who don't know
// when this copy began.
func (a *Age) Confirmed() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return boottime.Since(a.confirmed), a.isConfirmed
}

// Get returns the age.
func (a *Age) Get() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return boottime.Since(a.at)
}
