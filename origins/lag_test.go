package origins

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/versionhistory"
)

// Guards against streams that go on at the only version that a box knows, while it knows that its records of endpoints are old and
// may lack another version.
func TestOldRecordsAreIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(metrics.NewRegistry(), zerolog.Nop())
		d.Versions = &versionhistory.History{}
		d.Versions.Restore(map[string][]string{}, boottime.Now())
		d.Versions.Add("s", "v1", boottime.Now())
		d.Boxes, d.IsRelay, d.Relay = func() Boxes { return Boxes{} }, func() bool { return false }, func() string { return "" }
		var silence, lag time.Duration
		d.StoreSilence, d.RecordsLag = func() time.Duration { return silence }, func() time.Duration { return lag }
		find := func() bool { return d.Find(t.Context(), "r2", "r1", "s", "acc").Known }
		require.True(t, find())
		lag = 400 * time.Millisecond
		require.True(t, find(), "records that are on their way")
		lag = time.Second
		require.False(t, find())
		lag, silence = 0, 2*time.Second
		require.False(t, find())
	})
}
