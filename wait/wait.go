// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For blocks until d has passed or c is done, whichever comes first.
func For(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}
