// Package wait lets time pass while a context lasts.
package wait

import (
	"context"
	"time"
)

// For returns after d, or when c ends.
func For(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}
