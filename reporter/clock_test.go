package reporter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/wait"
)

// Guards against windows that are reported a second time with other counts: the only box starts again with its clock a minute behind,
// when the store no longer holds the sums of the windows that seem to be due.
func TestRestartWithClockBehindReportsNoWindowAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		l := &fakeCloud{reports: map[int64][]map[string]int{}, reportedAt: map[int64]time.Time{}}
		a := newBox(t, m, l, "a")
		for range 24 {
			a.tally.Add("x", time.Now())
			wait.For(t.Context(), window)
		}
		a.stop(t)
		b := newBoxAt(t, m, l, "a", window, func() time.Time { return time.Now().Add(-12 * window) })
		wait.For(t.Context(), 6*window)
		b.stop(t)
		require.Greater(t, len(l.reports), 20)
		for w, rs := range l.reports {
			for _, counts := range rs {
				require.Equal(t, rs[0], counts, "window %d", w)
			}
		}
	})
}
