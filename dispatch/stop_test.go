package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/member"
)

// Guards against runs that are waited for until no time is left to hand the records over, at the end of a stop or before a reclaim.
func TestStopLeavesTimeForRecords(t *testing.T) {
	const limit = 30 * time.Second
	for _, c := range []struct {
		name                string
		runs, reclaim, want time.Duration
	}{
		{"no runs", 0, 0, 0},
		{"runs end", 10 * time.Second, 0, 10 * time.Second},
		{"runs do not end", time.Minute, 0, limit - 2*handoverTimeout},
		{"the box is reclaimed", time.Minute, 5 * time.Second, 5 * time.Second},
		{"the box was reclaimed", time.Minute, -time.Second, 0},
		{"runs end before the reclaim", 2 * time.Second, 5 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(time.Hour)
				d.members = member.New("b", "dc", nil, zerolog.Nop())
				began := time.Now()
				d.runs.Go(func() { time.Sleep(c.runs) })
				if c.reclaim != 0 {
					d.SetStopDeadline(began.Add(c.reclaim))
				}
				x, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				require.NoError(t, d.Stop(x))
				require.Equal(t, c.want, time.Since(began))
				d.runs.Wait()
			})
		})
	}
}
