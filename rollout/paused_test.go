package rollout_test

import (
	"container/heap"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a version that is complete, so that the others stop at once, while requests are under way there at a box that is
// not heard: it is paused or cut off when all requests begin to go to the version, and is left out of sums after a while.
func TestUnheardBoxKeepsOthersUp(t *testing.T) {
	for _, how := range []string{"paused", "cut off"} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(how, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 6, seed, versionDefect{})
					f.unreachableAfter = 2 * time.Second // as in package gossip
					for range 100 {
						f.step(200)
					}
					f.placeOrder("v2")
					for f.finalState() != "whole" {
						require.Less(t, time.Since(f.began), orderDuration)
						f.step(200)
					}
					i := (f.holder + 1) % len(f.nodes)
					n := f.nodes[i]
					ends := time.Now().Add(2500 * time.Millisecond)
					heap.Push(&f.pending, answer{at: ends, box: i, route: "a", version: "v1", end: n.Begin("s", "v1")})
					n.lastHeard, n.lastEvidence = time.Now(), n.LocalEvidence()
					n.frozen, n.partitioned = how == "paused", how == "cut off"
					for f.finalState() == "whole" && time.Now().Before(ends) {
						f.step(200)
					}
					require.Equal(t, "whole", f.finalState(), "%v before the end of a request at the other version", time.Until(ends))
					n.frozen, n.partitioned = false, false
					for f.finalState() == "whole" {
						f.step(200)
					}
					require.Equal(t, "complete", f.finalState())
					require.Less(t, time.Since(f.began), orderDuration)
					for f.pending.Len() > 0 {
						heap.Pop(&f.pending).(answer).end()
					}
				})
			})
		}
	}
}
