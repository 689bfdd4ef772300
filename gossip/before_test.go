package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/quota"
)

// A smaller number of boxes counts when it has been heard for a while, and not while
// the store is away: a box that is cut off hears few, and would write that down as soon
// as it reaches the store again, before it hears the others.
func TestBoxCountUnchangedDuringPartition(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		away bool
		want bool
	}{{false, true}, {true, false}} {
		s := snapshotState{stored: quota.Before{Boxes: 7}}
		two := quota.Before{Boxes: 2}
		for i := range 12 {
			require.False(t, s.boxCountChanged(two, c.away, start.Add(time.Duration(i)*boxCountChangeDelay/12)))
		}
		require.Equal(t, c.want, s.boxCountChanged(two, false, start.Add(boxCountChangeDelay)))
	}
}
