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
// may lack another version, or doesn't know how old they are.
func TestOldRecordsAreIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(metrics.NewRegistry(), zerolog.Nop())
		d.Versions = &versionhistory.History{}
		d.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
		d.Versions.Add("s", "v1", boottime.Now())
		d.Boxes, d.IsRelay, d.Relay = func() Boxes { return Boxes{} }, func() bool { return false }, func() string { return "" }
		var lag time.Duration
		d.StoreSilence, d.RecordsLag = func() time.Duration { return 0 }, func() time.Duration { return lag }
		find := func() bool {
			named, unnamed := d.Find(t.Context(), "r2", "r1", "s", "acc").Known, d.Find(t.Context(), "r2", "", "s", "acc").Known
			require.Equal(t, named, unnamed)
			return named
		}
		require.False(t, find(), "records that were never confirmed, although the store answers")
		d.Versions.Confirm(boottime.Now())
		require.True(t, find())
		lag = 400 * time.Millisecond
		require.True(t, find(), "records that are on their way")
		lag = time.Second
		require.False(t, find())
		lag = 0
		time.Sleep(versionhistory.MaxAge)
		require.True(t, find())
		time.Sleep(time.Millisecond)
		require.False(t, find(), "the store answers, and nobody says that the records are all")
		d.Versions.Confirm(boottime.Now())
		require.True(t, find(), "nothing was missed")
		time.Sleep(2 * versionhistory.MaxAge)
		d.Versions.Skip(false, boottime.Now())
		d.Versions.Confirm(boottime.Now())
		require.False(t, find(), "a version may have come and gone")
		for range versionhistory.Window / time.Second {
			time.Sleep(time.Second)
			d.Versions.Skip(false, boottime.Now())
			d.Versions.Confirm(boottime.Now())
		}
		require.True(t, find(), "it is forgotten by now")
	})
}
