package standstill_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/standstill"
)

// A process that did not run must say so, for how long, and whether its machine was suspended; one that runs says nothing.
func TestStandstillsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := metrics.NewRegistry()
		d := standstill.New(m, zerolog.New(&log))
		require.NoError(t, d.Start(t.Context(), nil))
		time.Sleep(10*time.Second + 50*time.Millisecond)
		synctest.Wait()
		require.Empty(t, log.String())

		boottime.SimulateSuspension(900 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Contains(t, log.String(), `"event":"standstill","for":900,"suspended":900,"omitted":0`)

		for range 2 {
			boottime.SimulateSuspension(300 * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		boottime.SimulateSuspension(400 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, d.Stop(t.Context()))
		require.Equal(t, 2, strings.Count(log.String(), "standstill"))
		require.Contains(t, log.String(), `"for":400,"suspended":400,"omitted":2`)
		require.EqualValues(t, 4, metrics.GetOrRegisterCounter("standstill.count", m).Count())
	})
}
