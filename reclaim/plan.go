// Package reclaim decides, in the time of a notice, which streams finish where
// they are, which move with their KV cache, and which are computed again.
package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// Stream is one stream on a box that leaves. Computed counts the tokens of its
// prompt and answer so far, Left those still to come.
type Stream struct {
	ID              string
	Workload        string
	ComputedTokens  int
	RemainingTokens int
	TokensPerSecond float64
	CacheBytes      int64
}

// Destination is an endpoint with room for some streams.
type Destination struct {
	Box       string
	Workloads []string
	FreeSlots int
}

// Limits bound the moves. Margin is kept free before the box goes.
type Limits struct {
	Notice         time.Duration
	Margin         time.Duration
	BytesPerSecond int64
}

// Action says what becomes of a stream.
type Action int

// The acts.
const (
	Finish Action = iota
	Transfer
	Replay
)

// Move is the decision for one stream. Recompute counts the tokens that are
// computed again.
type Move struct {
	ID              string
	Action          Action
	To              string
	RecomputeTokens int
	Reason          string
}

// Plan decides for every stream, in the order in which the moves are to begin:
// those with the most computed tokens per byte first.
func Plan(ss []Stream, ds []Destination, l Limits) []Move {
	free := slices.Clone(ds)
	rest := l.Notice - l.Margin
	var ms []Move
	var move []Stream
	for _, s := range ss {
		if timeToFinish(s) <= rest {
			ms = append(ms, Move{ID: s.ID, Action: Finish, Reason: "ends within the notice"})
			continue
		}
		move = append(move, s)
	}
	slices.SortStableFunc(move, compareTransferPriority)
	var spent time.Duration
	for _, s := range move {
		t := transferTime(s, l)
		i := mostFree(free, s.Workload)
		switch {
		case i < 0:
			ms = append(ms, Move{ID: s.ID, Action: Replay, RecomputeTokens: s.ComputedTokens, Reason: "no destination has room"})
		case spent+t > rest:
			free[i].FreeSlots--
			ms = append(ms, Move{ID: s.ID, Action: Replay, To: free[i].Box, RecomputeTokens: s.ComputedTokens, Reason: "no time left for a transfer"})
		default:
			spent += t
			free[i].FreeSlots--
			ms = append(ms, Move{ID: s.ID, Action: Transfer, To: free[i].Box, Reason: "moves with its cache"})
		}
	}
	return ms
}

// timeToFinish is how long a stream still takes.
func timeToFinish(s Stream) time.Duration {
	return time.Duration(float64(s.RemainingTokens) / max(s.TokensPerSecond, 1) * float64(time.Second))
}

func transferTime(s Stream, l Limits) time.Duration {
	return time.Duration(float64(s.CacheBytes) / float64(max(l.BytesPerSecond, 1)) * float64(time.Second))
}

// compareTransferPriority orders streams by computed tokens per byte, then by computed tokens.
func compareTransferPriority(a, b Stream) int {
	x := float64(a.ComputedTokens) * float64(max(b.CacheBytes, 1))
	y := float64(b.ComputedTokens) * float64(max(a.CacheBytes, 1))
	return cmp.Or(cmp.Compare(y, x), cmp.Compare(b.ComputedTokens, a.ComputedTokens), cmp.Compare(a.ID, b.ID))
}

// mostFree returns the destination with the most room for a workload, or -1.
func mostFree(ds []Destination, workload string) int {
	best := -1
	for i, d := range ds {
		if d.FreeSlots > 0 && slices.Contains(d.Workloads, workload) && (best < 0 || d.FreeSlots > ds[best].FreeSlots) {
			best = i
		}
	}
	return best
}
