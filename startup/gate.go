// Package startup holds requests that come while a process still learns what it needs to serve them. A process that has just started
// learns that from others within some rounds of messages, and its callers don't know that it is new.
package startup

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
)

const (
	// MaxWait bounds the time for which a request is held. It is also the time after which a refused caller returns, so that no
	// caller is served later for having been held.
	MaxWait = 500 * time.Millisecond

	// maxAge is the age at which a process that is not ready holds no more requests: what it lacks may be missing for long.
	maxAge = 2 * time.Second

	// waitFraction is the part of the time left until its deadline, a third, for which a request is held at most.
	waitFraction = 3
)

// Gate holds requests until the process is ready.
type Gate struct {
	Started time.Time       // when the process began to accept requests
	Ready   <-chan struct{} // closed once the process can serve requests
}

// Wait blocks until the process is ready, and reports whether it is. It gives up when c is done, and when a request whose deadline is
// expires has been held for long enough.
func (g *Gate) Wait(c context.Context, expires time.Time) bool {
	select {
	case <-g.Ready:
		return true
	default:
	}
	t := time.NewTimer(g.limit(expires))
	defer t.Stop()
	select {
	case <-g.Ready:
		return true
	case <-c.Done():
	case <-t.C:
	}
	return false
}

// limit returns the time for which a request is held at most.
func (g *Gate) limit(expires time.Time) time.Duration {
	return min(MaxWait, boottime.Until(g.Started.Add(maxAge)), boottime.Until(expires)/waitFraction)
}
