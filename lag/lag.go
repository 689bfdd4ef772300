// Package lag measures for how long newer versions of some state than a box's own are known to exist. A copy may be old
// although nothing newer is known; package viewage has the age of a copy.
package lag

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// maxVersions bounds the versions that are remembered. Of further ones only the newest is.
const maxVersions = 64

// Lag is how far a box is behind the newest version that it has heard of. The zero value is ready to use. It is safe for
// concurrent use.
type Lag struct {
	mu      sync.Mutex
	reached uint64
	newer   []version // than reached, the oldest first
}

// version is a version that others have, and when this box first heard of it or of a later one.
type version struct {
	number uint64
	at     time.Time
}

// Announce records that a version exists.
func (l *Lag) Announce(v uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.reached
	if n := len(l.newer); n > 0 {
		newest = l.newer[n-1].number
	}
	switch {
	case v <= newest:
	case len(l.newer) == maxVersions:
		l.newer[maxVersions-1].number = v
	default:
		l.newer = append(l.newer, version{v, boottime.Now()})
	}
}

// Reach records that this box has a version.
func (l *Lag) Reach(v uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = max(l.reached, v)
	l.drop(func(x version) bool { return x.number <= l.reached })
}

// Confirm records that this box had the newest version at a time, whatever others said before.
func (l *Lag) Confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(func(x version) bool { return x.at.Before(at) })
}

// Get returns for how long a newer version than this box's has been known to exist; zero if none is.
func (l *Lag) Get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.newer) == 0 {
		return 0
	}
	return max(boottime.Since(l.newer[0].at), 1)
}

// drop removes the oldest versions while a condition holds. The caller holds l.mu.
func (l *Lag) drop(is func(version) bool) {
	n := 0
	for n < len(l.newer) && is(l.newer[n]) {
		n++
	}
	l.newer = append(l.newer[:0], l.newer[n:]...)
}
