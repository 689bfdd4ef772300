package rollout_test

import (
	"container/heap"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// course plays one order, with some trouble in its first half, and returns the fleet.
func simulate(t *testing.T, seed uint64, boxes, troubles int, holder bool, bad versionDefect) (f *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f = newFleet(t, boxes, seed, bad)
		for range 100 {
			f.step(100)
		}
		f.placeOrder("v2")
		for n := range int((orderDuration + 6*time.Second) / tick) {
			f.step(100)
			if at := time.Duration(n) * tick; troubles > 0 && at < orderDuration/2 && f.chance.IntN(int(orderDuration/2/tick)) < troubles {
				kind := f.chance.IntN(6)
				if !holder {
					kind = 1 + f.chance.IntN(5)
				}
				f.injectFault(kind)
			}
		}
		for f.pending.Len() > 0 {
			heap.Pop(&f.pending).(answer).end()
		}
		time.Sleep(10 * time.Second) // what was begun ends
	})
	return f
}

// An order's states follow each other, and an end stays.
func requireFinalStateLast(t *testing.T, f *fleet, what string) {
	for _, seen := range f.states {
		for i, s := range seen {
			if s == "complete" || s == "reverted" {
				require.Equal(t, len(seen)-1, i, "%s: %v", what, seen)
			}
		}
	}
}

// Whatever boxes, the holder of the duty and the store suffer, a bad version gets no more than a
// tenth of the requests and 50, none later than 5 s after it was sent back, and is sent back in 99
// of 100 courses.
func TestAnyBadVersion(t *testing.T) {
	for _, bad := range versionDefects {
		played, reverted := 0, 0
		for seed := range uint64(seedCount(20)) {
			boxes := []int{3, 12, 40, 100}[seed%4]
			f := simulate(t, seed, boxes, int(seed%3), true, bad)
			what := fmt.Sprintf("%s, seed %d, %d boxes", bad.name, seed, boxes)
			require.LessOrEqual(t, f.sentToNew, f.sent/10+50, what)
			require.Zero(t, f.sentAfterRevert, what)
			requireFinalStateLast(t, f, what)
			played++
			if f.finalState() == "reverted" {
				reverted++
			}
		}
		require.GreaterOrEqual(t, reverted, played-played/100, bad.name)
	}
}

// A good version is complete in time in 98 of 100 courses, with nothing under way at the others.
// Where the holder of the duty dies, its successor may lack the time: the version goes back then,
// rather than cutting off what is under way.
func TestAnyGoodVersion(t *testing.T) {
	for _, holder := range []bool{false, true} {
		played, complete := 0, 0
		for seed := range uint64(seedCount(50)) {
			boxes := []int{3, 12, 40, 100}[seed%4]
			f := simulate(t, seed, boxes, int(seed%3), holder, versionDefect{})
			what := fmt.Sprintf("seed %d, %d boxes, holder dies: %v", seed, boxes, holder)
			requireFinalStateLast(t, f, what)
			played++
			if f.finalState() == "complete" {
				complete++
				require.Zero(t, f.interrupted, what)
			} else {
				t.Log(what, f.states)
			}
		}
		t.Log(complete, "of", played)
		if !holder {
			require.GreaterOrEqual(t, complete, played-played/50)
		}
	}
}

// seedsOf is how many courses a test plays: ROLLOUT_SEEDS of them where that is set, for the long
// runs that are started by hand.
func seedCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_SEEDS")); err == nil {
		return n
	}
	return usual
}
