package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxCrashes is the number of servers that one part may crash: five, and three by requests sent later.
const maxCrashes = 5 + 3

// No part of a prompt crashes more than a few servers, although no two requests with it are alike. Requests that share
// their account and first part with it are served. All boxes know the part after they have restarted together.
func TestAllBoxesRefusePartThatCrashesServers(t *testing.T) {
	p := newPlatform(t, 12)
	p.crashParts, p.crashWork = map[string]string{"bad0": ""}, 60*time.Millisecond
	names := []string{"a", "b", "c", "d", "e", "f"}
	bs := p.startFleet(names...)
	for i := range 40 {
		b := bs[i%len(bs)]
		b.callWithParts(t, fmt.Sprint("crashing", i), fmt.Sprint("prompt ", i), fmt.Sprintf("f1a0:100,bad0:50,%x:20", 1000+i))
		status, text := b.callWithParts(t, fmt.Sprint("sound", i), fmt.Sprint("another prompt ", i), fmt.Sprintf("f1a0:100,%x:20", 2000+i))
		require.Equal(t, http.StatusOK, status, text, fmt.Sprint(p.crashedServers(), " crashed"))
	}
	t.Log(p.crashedServers(), "servers crashed")
	require.LessOrEqual(t, p.crashedServers(), maxCrashes)
	// On a busy machine a trial may be due meanwhile.
	requireRefused := func(round string) {
		trials := 0
		for i, b := range bs {
			require.Eventually(t, func() bool { return b.hasMetric(t, "contents.refused", 1) }, 20*time.Second, 5*time.Millisecond)
			id := fmt.Sprint(round, i)
			status, text := b.callWithParts(t, id, "prompt "+id, fmt.Sprintf("f1a0:100,bad0:50,%x:20", 3000+i))
			if status == http.StatusBadGateway {
				trials++
				continue
			}
			require.Equal(t, http.StatusServiceUnavailable, status, text)
			require.Contains(t, text, "not_run")
		}
		require.LessOrEqual(t, trials, 1)
	}
	requireRefused("late")
	crashed := p.crashedServers()
	require.Eventually(t, func() bool { return snapshotHasContent(p.store) }, 20*time.Second, 5*time.Millisecond)
	stopAll(t, bs)
	bs = p.startFleet(names...)
	requireRefused("restarted")
	require.LessOrEqual(t, p.crashedServers(), min(crashed+1, maxCrashes))
	stopAll(t, bs)
}
