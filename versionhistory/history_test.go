package versionhistory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/versionhistory"
)

func ExampleHistory() {
	var h versionhistory.History
	now := time.Now()
	h.Restore(nil, now)
	h.Add("s", "v1", now)
	h.Add("s", "v2", now)
	h.Remove("s", "v1", now)
	fmt.Println(h.Recent("s", now))
	fmt.Println(h.Recent("s", now.Add(versionhistory.Window)))
	// Output:
	// [v1 v2] true
	// [v2] true
}

// A process must not take the versions that it has seen for all while it is younger than a stream may be.
func TestYoungProcessKnowsNotAll(t *testing.T) {
	var h versionhistory.History
	now := time.Now()
	_, complete := h.Recent("s", now)
	require.False(t, complete)
	h.Add("s", "v2", now)
	names, complete := h.Recent("s", now.Add(time.Second))
	require.Equal(t, []string{"v2"}, names)
	require.False(t, complete)
	_, complete = h.Recent("s", now.Add(versionhistory.Window))
	require.True(t, complete)

	h.Restore(map[string][]string{"s": {"v1"}, "t": {"v3"}}, now.Add(time.Second))
	names, complete = h.Recent("s", now.Add(2*time.Second))
	require.Equal(t, []string{"v1", "v2"}, names)
	require.True(t, complete)
	require.Equal(t, map[string][]string{"s": {"v1", "v2"}, "t": {"v3"}}, h.Snapshot(now.Add(2*time.Second)))
}
