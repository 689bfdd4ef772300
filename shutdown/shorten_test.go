package shutdown_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/shutdown"
)

// Guards against requests that wait until the end of a shutdown that was moved to an earlier time.
func TestShortenedShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w shutdown.Window
		began := time.Now()
		expires := began.Add(20 * time.Second)
		c, cancel := w.Context(t.Context(), func(now time.Time) shutdown.Request {
			return shutdown.Request{Expires: now.Add(time.Until(expires))}
		})
		defer cancel()
		w.Shorten(boottime.Now())
		require.False(t, w.HasBegun())
		w.Begin(boottime.Now(), time.Second, 30*time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.NoError(t, c.Err())
		w.Shorten(boottime.Now().Add(time.Minute))
		synctest.Wait()
		require.NoError(t, c.Err())
		w.Shorten(boottime.Now().Add(10 * time.Second))
		<-c.Done()
		require.Error(t, shutdown.RefusalOf(c))
		require.Equal(t, 5*time.Second, time.Since(began))
		require.Equal(t, 10*time.Second, w.Decide(shutdown.Request{}, boottime.Now()).Ends.Sub(boottime.Now()))
	})
}
