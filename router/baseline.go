package router

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// LeastLoaded sends a request to the target with the lowest ratio of busy to total slots. It is a
// baseline, and the fallback of Affinity if no target is within its bound.
type LeastLoaded struct{}

// Pick returns the target with the lowest ratio of busy to total slots.
func (LeastLoaded) Pick(ts []Target, q Query) Choice {
	if len(ts) == 0 {
		return noTarget
	}
	best := 0
	for i := range ts {
		if ts[i].Busy*ts[best].Slots < ts[best].Busy*ts[i].Slots {
			best = i
		}
	}
	return Choice{Index: best, Expected: expectedTime(&ts[best], q, false), Reason: "least loaded"}
}

// RoundRobin sends requests to the targets in turn. It is a baseline.
type RoundRobin struct {
	n atomic.Uint64
}

// Pick returns the next target.
func (r *RoundRobin) Pick(ts []Target, q Query) Choice {
	if len(ts) == 0 {
		return noTarget
	}
	i := int((r.n.Add(1) - 1) % uint64(len(ts)))
	return Choice{Index: i, Expected: expectedTime(&ts[i], q, false), Reason: "next in turn"}
}

// Random sends a request to a random target. It is a baseline. Int returns a random number in [0,
// n); if it is nil, rand.IntN is used.
type Random struct {
	Int func(n int) int
}

// Pick returns a random target.
func (r Random) Pick(ts []Target, q Query) Choice {
	if len(ts) == 0 {
		return noTarget
	}
	f := r.Int
	if f == nil {
		f = rand.IntN
	}
	i := f(len(ts))
	return Choice{Index: i, Expected: expectedTime(&ts[i], q, false), Reason: "at random"}
}

// New returns the policy with the given name in the settings. It returns an error if there is none.
func New(name string, bound, recompute float64) (Policy, error) {
	switch name {
	case "affinity":
		return Affinity{LoadBound: bound, RecomputeWeight: recompute}, nil
	case "least_loaded":
		return LeastLoaded{}, nil
	case "round_robin":
		return &RoundRobin{}, nil
	case "random":
		return Random{}, nil
	default:
		return nil, fmt.Errorf("no routing policy %q", name)
	}
}
