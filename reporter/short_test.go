package reporter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/wait"
)

// Guards against windows that a new leader reports with other counts, since the store does not hold their sums as long as
// their reports are due: windows of a second, reports due after ten.
func TestShortWindowsAreReportedOnce(t *testing.T) {
	const window = time.Second
	for phase := time.Duration(0); phase < window; phase += window / 10 {
		synctest.Test(t, func(t *testing.T) {
			m := &memstore.Store{}
			l := &fakeCloud{reports: map[int64][]map[string]int{}, reportedAt: map[int64]time.Time{}}
			a := newBoxAt(t, m, l, "a", window, nil)
			wait.For(t.Context(), time.Second)
			b := newBoxAt(t, m, l, "b", window, nil)
			for i := range 40 {
				a.tally.Add("x", time.Now())
				b.tally.Add("x", time.Now())
				wait.For(t.Context(), window)
				if i == 20 { // the other box becomes the leader
					wait.For(t.Context(), phase)
					m.Delete("boxes/a")
					a.stop(t)
				}
			}
			b.stop(t)
			require.Greater(t, len(l.reports), 30)
			for w, rs := range l.reports {
				for _, counts := range rs {
					require.Equal(t, rs[0], counts, "window %d, phase %s", w, phase)
				}
			}
		})
	}
}
