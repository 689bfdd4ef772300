package daemon_test

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
)

// Tests that streams are whole whose events have IDs that rise without counting them, at a fleet that knows nothing of the service
// and at a box that has just started again, and that no event is missed.
func TestNumbersOfEvents(t *testing.T) {
	b, err := os.ReadFile("testdata/numbers.txt")
	require.NoError(t, err)
	phases := []string{"at first", "after the start of a box"}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f[:4], " "), func(t *testing.T) {
			t.Parallel()
			v := newOrderTest(t, amplePay)
			defer func() { stopAll(t, v.boxes) }()
			defer v.logFailed()
			step, err := strconv.Atoi(f[0])
			require.NoError(t, err)
			v.streams, v.atOnce, v.step = 100, 2, step
			for _, s := range v.servers {
				s.SendIrregular(standin.Irregular{First: standin.Departure(f[2]), Resumed: standin.Departure(f[3]), Step: v.step})
			}
			for i, when := range phases {
				if i > 0 {
					v.restart()
				}
				regular, departing := v.count(f[1])
				if i > 0 && step > 1 {
					require.False(t, v.boxes[0].hasAnyMetric(t, "streams.event.held"), "the others have told the box")
				}
				t.Logf("%s: regular %+v, departing %+v", when, regular, departing)
				require.NoError(t, errors.Join(regular.example, departing.example))
				require.Zero(t, regular.early+departing.early)
				if i == 0 && f[4] == "later" {
					require.Positive(t, regular.whole)
					continue
				}
				require.Equal(t, orderCount{whole: regular.whole}, regular)
				switch f[4] {
				case "all", "later":
					require.Equal(t, orderCount{whole: departing.whole}, departing)
				case "some":
					require.Positive(t, departing.whole)
				default:
					require.Zero(t, departing.whole)
				}
			}
		})
	}
}
