package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
)

// What breaks or slows down calls on the way from this box counts for the load of their endpoints only.
// Otherwise a box that has lost its links would report to all others that the endpoints fail or are
// slow.
func TestUnjudgedAttempts(t *testing.T) {
	for _, unjudged := range []bool{true, false} {
		var b balance.Balancer
		es := []endpoint.Endpoint{{ID: "e", Service: "s", Slots: 4}}
		now := time.Unix(1_000_000, 0)
		for i := range 8 {
			c, ok := b.Choose(es, balance.Query{}, now)
			require.True(t, ok)
			a := b.Begin(c.Endpoint, c, now)
			require.Equal(t, 1, b.OwnLoad()["e"].Running)
			if unjudged {
				a.Unjudge()
			}
			now = now.Add(3 * time.Second)
			if i%2 == 0 {
				a.RecordProgress(now)
				a.RecordAnswer()
			}
			a.End(i%2 == 1, now)
		}
		require.Empty(t, b.OwnLoad())
		require.Equal(t, unjudged, len(b.FailureReport(now)) == 0)
		require.Equal(t, unjudged, b.OwnStats(now)["s"].Moments[0] == 0, "answers in the statistics")
	}
}
