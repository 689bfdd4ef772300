package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All boxes together have servers refuse fewer requests than these state that they bear, although callers ask
// for more than there is room for, and use the room. If each box judged by what it sends by itself, the servers would
// refuse dozens a second.
func TestAllBoxesSpareBrittleServers(t *testing.T) {
	const brittle, callers, each = 5, 36, 40
	p := newPlatform(t, 3)
	for _, s := range p.servers {
		s.Slots, s.Work = 4, 20*time.Millisecond
		p.store.Set(s.Record(p.addresses[s.ID], "north", "ready"))
		s.ReportBrittle(fmt.Sprint(brittle))
	}
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	defer stopAll(t, bs)
	for _, b := range bs { // every box has an answer that says so
		require.Eventually(t, func() bool { return b.try(t, "/again/x", b.name, time.Second) == http.StatusOK }, 20*time.Second, time.Millisecond)
	}
	var served atomic.Int64
	var g sync.WaitGroup
	for i := range callers {
		g.Go(func() {
			for j := range each {
				if bs[i%len(bs)].try(t, "/once/x", fmt.Sprintf("%d-%d", i, j), 4*time.Second) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	g.Wait()
	for _, s := range p.servers {
		require.LessOrEqual(t, s.MaxRefusals(), brittle, s.ID)
	}
	require.Greater(t, served.Load(), int64(callers*each/2))
}
