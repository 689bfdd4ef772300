// Package reclaim plans what happens to the streams of a box during the notice of its reclaim: which
// finish in place, which move with their KV cache, and which are computed again elsewhere.
package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// Stream is one stream on a leaving box. ComputedTokens counts the tokens of its prompt and its
// answer so far, RemainingTokens those of the answer still to come. CacheBytes is the size of its
// KV cache.
type Stream struct {
	ID              string
	Workload        string
	ComputedTokens  int
	RemainingTokens int
	TokensPerSecond float64
	CacheBytes      int64
}

// Destination is an endpoint that can accept FreeSlots streams of the listed workloads.
type Destination struct {
	Box       string
	Workloads []string
	FreeSlots int
}

// Limits bounds the moves. Moves and streams that finish in place must end Margin before the end of
// the notice.
type Limits struct {
	Notice         time.Duration
	Margin         time.Duration
	BytesPerSecond int64
}

// Action is what happens to a stream.
type Action int

// The actions of a plan.
const (
	Finish   Action = iota // the answer ends on the leaving box
	Transfer               // the stream moves with its KV cache
	Replay                 // the stream moves without it, and its tokens are computed again
)

// Move is the decision for one stream. To is the destination, or empty if there is none.
// RecomputeTokens counts the tokens that are computed again.
type Move struct {
	ID              string
	Action          Action
	To              string
	RecomputeTokens int
	Reason          string
}

// Plan returns a move for every stream. Streams that finish in place come first. The others follow
// in the order in which their moves should start: by computed tokens per byte of cache, highest
// first.
func Plan(ss []Stream, ds []Destination, l Limits) []Move {
	free := slices.Clone(ds)
	window := l.Notice - l.Margin
	var ms []Move
	var moving []Stream
	for _, s := range ss {
		if timeToFinish(s) <= window {
			ms = append(ms, Move{ID: s.ID, Action: Finish, Reason: "ends within the notice"})
			continue
		}
		moving = append(moving, s)
	}
	slices.SortStableFunc(moving, compareTransferPriority)
	var spent time.Duration
	for _, s := range moving {
		t := transferTime(s, l)
		i := mostFree(free, s.Workload)
		switch {
		case i < 0:
			ms = append(ms, Move{ID: s.ID, Action: Replay, RecomputeTokens: s.ComputedTokens, Reason: "no destination has room"})
		case spent+t > window:
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

// timeToFinish returns the time that the rest of a stream's answer takes.
func timeToFinish(s Stream) time.Duration {
	return time.Duration(float64(s.RemainingTokens) / max(s.TokensPerSecond, 1) * float64(time.Second))
}

func transferTime(s Stream, l Limits) time.Duration {
	return time.Duration(float64(s.CacheBytes) / float64(max(l.BytesPerSecond, 1)) * float64(time.Second))
}

// compareTransferPriority orders streams by computed tokens per byte, then by computed tokens, both
// descending, and then by ID.
func compareTransferPriority(a, b Stream) int {
	x := float64(a.ComputedTokens) * float64(max(b.CacheBytes, 1))
	y := float64(b.ComputedTokens) * float64(max(a.CacheBytes, 1))
	return cmp.Or(cmp.Compare(y, x), cmp.Compare(b.ComputedTokens, a.ComputedTokens), cmp.Compare(a.ID, b.ID))
}

// mostFree returns the index of the destination with the most free slots for a workload, or -1.
func mostFree(ds []Destination, workload string) int {
	best := -1
	for i, d := range ds {
		if d.FreeSlots > 0 && slices.Contains(d.Workloads, workload) && (best < 0 || d.FreeSlots > ds[best].FreeSlots) {
			best = i
		}
	}
	return best
}
