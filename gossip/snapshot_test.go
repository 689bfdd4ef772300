package gossip

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/quarantine"
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

// Guards against a snapshot that the store refuses for its size, so that processes which start later know of no quota and no
// version.
func TestSnapshotIsBounded(t *testing.T) {
	s := snapshot{Before: quota.Before{Boxes: 7}, Versions: map[string][]string{"s": {"v1", "v2"}}, Speeds: map[string]estimate.Stats{}}
	for i := range 5000 {
		s.Speeds[fmt.Sprint("service-", i)] = estimate.Stats{}
	}
	s.Contents = []quarantine.Suspect{{Content: 1}}
	read := func() (p snapshot) {
		b, err := s.encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), maxSnapshotBytes)
		require.NoError(t, json.Unmarshal(b, &p))
		require.Equal(t, s.Before, p.Before)
		require.Equal(t, s.Versions, p.Versions)
		return p
	}
	p := read()
	require.Empty(t, p.Speeds)
	require.Len(t, p.Contents, 1)
	s.Contents = make([]quarantine.Suspect, 40_000)
	require.Zero(t, len(read().Contents))
	s.Short = map[string]float64{}
	for i := range 100_000 {
		s.Short[fmt.Sprint("account-", i)] = -1
	}
	_, err := s.encode()
	require.ErrorContains(t, err, "bytes of at most")
}
