package startup_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/startup"
)

func TestGate(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name                         string
		arrives, ready, left, leaves time.Duration // since the start, but for left
		isReady                      bool
		held                         time.Duration
	}{
		{"ready before", time.Second, 0, time.Minute, never, true, 0},
		{"ready long before", time.Hour, 0, time.Minute, never, true, 0},
		{"ready in time", 0, 150 * time.Millisecond, time.Minute, never, true, 150 * time.Millisecond},
		{"ready late", 0, time.Second, time.Minute, never, false, startup.MaxWait},
		{"never ready", time.Second, never, time.Minute, never, false, startup.MaxWait},
		{"short deadline", 0, never, 600 * time.Millisecond, never, false, 200 * time.Millisecond},
		{"deadline has passed", 0, never, -time.Second, never, false, 0},
		{"short of the age", 1900 * time.Millisecond, never, time.Minute, never, false, 100 * time.Millisecond},
		{"too old", 3 * time.Second, 4 * time.Second, time.Minute, never, false, 0},
		{"caller leaves", 0, never, time.Minute, 100 * time.Millisecond, false, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ready := make(chan struct{})
				time.AfterFunc(c.ready, func() { close(ready) })
				g := startup.Gate{Started: boottime.Now(), Ready: ready}
				x, cancel := context.WithTimeout(t.Context(), c.leaves)
				defer cancel()
				time.Sleep(c.arrives)
				synctest.Wait()
				arrived := time.Now()
				require.Equal(t, c.isReady, g.Wait(x, boottime.Now().Add(c.left)))
				require.Equal(t, c.held, time.Since(arrived))
			})
		})
	}
}
