package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/quota"
)

// A lower number of boxes is accepted only after it has been seen for boxCountChangeDelay while the
// store is reachable. A partitioned box sees few others; it must not store their number when it
// reaches the store again, before it has received the others' reports.
func TestBoxCountUnchangedDuringPartition(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		storeDown bool
		want      bool
	}{{false, true}, {true, false}} {
		s := snapshotState{stored: quota.Before{Boxes: 7}}
		two := quota.Before{Boxes: 2}
		for i := range 12 {
			require.False(t, s.boxCountChanged(two, c.storeDown, start.Add(time.Duration(i)*boxCountChangeDelay/12)))
		}
		require.Equal(t, c.want, s.boxCountChanged(two, false, start.Add(boxCountChangeDelay)))
	}
}
