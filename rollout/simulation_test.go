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

// simulate runs one order with about the given number of faults in its first half, and returns the
// fleet. The faults include a crash of the duty's holder only if holderCrashes is set.
func simulate(t *testing.T, seed uint64, boxes, faults int, holderCrashes bool, defect versionDefect) (f *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f = newFleet(t, boxes, seed, defect)
		for range 100 {
			f.step(100)
		}
		f.placeOrder("v2")
		for n := range int((orderDuration + 6*time.Second) / tick) {
			f.step(100)
			if at := time.Duration(n) * tick; faults > 0 && at < orderDuration/2 && f.rng.IntN(int(orderDuration/2/tick)) < faults {
				kind := f.rng.IntN(6)
				if !holderCrashes {
					kind = 1 + f.rng.IntN(5)
				}
				f.injectFault(kind)
			}
		}
		for f.pending.Len() > 0 {
			heap.Pop(&f.pending).(answer).end()
		}
		time.Sleep(10 * time.Second) // lets pending operations finish
	})
	return f
}

// requireFinalStateLast checks that no state of an order follows a final one.
func requireFinalStateLast(t *testing.T, f *fleet, run string) {
	for _, states := range f.states {
		for i, s := range states {
			if s == "complete" || s == "reverted" {
				require.Equal(t, len(states)-1, i, "%s: %v", run, states)
			}
		}
	}
}

// Under faults of boxes, the duty's holder and the store, a bad version receives at most a tenth of
// the requests plus 50, and none later than 5 s after it is reverted. It is reverted in 99% of the
// simulated runs.
func TestAnyBadVersion(t *testing.T) {
	for _, defect := range versionDefects {
		runs, reverted := 0, 0
		for seed := range uint64(seedCount(20)) {
			boxes := []int{3, 12, 40, 100}[seed%4]
			f := simulate(t, seed, boxes, int(seed%3), true, defect)
			run := fmt.Sprintf("%s, seed %d, %d boxes", defect.name, seed, boxes)
			require.LessOrEqual(t, f.sentToNew, f.sent/10+50, run)
			require.Zero(t, f.sentAfterRevert, run)
			requireFinalStateLast(t, f, run)
			runs++
			if f.finalState() == "reverted" {
				reverted++
			}
		}
		require.GreaterOrEqual(t, reverted, runs-runs/100, defect.name)
	}
}

// A good version is complete in time in 98% of the simulated runs, with no requests in flight at
// the other versions. If the duty's holder crashes, its successor may lack the time: it then
// reverts the version rather than interrupt the requests in flight.
func TestAnyGoodVersion(t *testing.T) {
	for _, holderCrashes := range []bool{false, true} {
		runs, complete := 0, 0
		for seed := range uint64(seedCount(50)) {
			boxes := []int{3, 12, 40, 100}[seed%4]
			f := simulate(t, seed, boxes, int(seed%3), holderCrashes, versionDefect{})
			run := fmt.Sprintf("seed %d, %d boxes, holder dies: %v", seed, boxes, holderCrashes)
			requireFinalStateLast(t, f, run)
			runs++
			if f.finalState() == "complete" {
				complete++
				require.Zero(t, f.interrupted, run)
			} else {
				t.Log(run, f.states)
			}
		}
		t.Log(complete, "of", runs)
		if !holderCrashes {
			require.GreaterOrEqual(t, complete, runs-runs/50)
		}
	}
}

// seedCount returns the number of runs that a test simulates: the environment variable
// ROLLOUT_SEEDS, which is meant for long runs by hand, or defaultCount if it is not set.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}
