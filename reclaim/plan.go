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
	Computed        int
	Left            int
	TokensPerSecond float64
	Bytes           int64
}

// Destination is an endpoint with room for some streams.
type Destination struct {
	Box      string
	Workload []string
	Free     int
}

// Limits bound the moves. Margin is kept free before the box goes.
type Limits struct {
	Notice         time.Duration
	Margin         time.Duration
	BytesPerSecond int64
}

// Act says what becomes of a stream.
type Act int

// The acts.
const (
	Finish Act = iota
	Transfer
	Replay
)

// Move is the decision for one stream. Recompute counts the tokens that are
// computed again.
type Move struct {
	ID        string
	Act       Act
	To        string
	Recompute int
	Reason    string
}

// Plan decides for every stream, in the order in which the moves are to begin:
// those with the most computed tokens per byte first.
func Plan(ss []Stream, ds []Destination, l Limits) []Move {
	free := slices.Clone(ds)
	rest := l.Notice - l.Margin
	var ms []Move
	var move []Stream
	for _, s := range ss {
		if need(s) <= rest {
			ms = append(ms, Move{ID: s.ID, Act: Finish, Reason: "ends within the notice"})
			continue
		}
		move = append(move, s)
	}
	slices.SortStableFunc(move, byWorth)
	var spent time.Duration
	for _, s := range move {
		t := transferTime(s, l)
		i := roomFor(free, s.Workload)
		switch {
		case i < 0:
			ms = append(ms, Move{ID: s.ID, Act: Replay, Recompute: s.Computed, Reason: "no destination has room"})
		case spent+t > rest:
			free[i].Free--
			ms = append(ms, Move{ID: s.ID, Act: Replay, To: free[i].Box, Recompute: s.Computed, Reason: "no time left for a transfer"})
		default:
			spent += t
			free[i].Free--
			ms = append(ms, Move{ID: s.ID, Act: Transfer, To: free[i].Box, Reason: "moves with its cache"})
		}
	}
	return ms
}

// need is how long a stream still takes.
func need(s Stream) time.Duration {
	return time.Duration(float64(s.Left) / max(s.TokensPerSecond, 1) * float64(time.Second))
}

func transferTime(s Stream, l Limits) time.Duration {
	return time.Duration(float64(s.Bytes) / float64(max(l.BytesPerSecond, 1)) * float64(time.Second))
}

// byWorth orders streams by computed tokens per byte, then by computed tokens.
func byWorth(a, b Stream) int {
	x := float64(a.Computed) * float64(max(b.Bytes, 1))
	y := float64(b.Computed) * float64(max(a.Bytes, 1))
	return cmp.Or(cmp.Compare(y, x), cmp.Compare(b.Computed, a.Computed), cmp.Compare(a.ID, b.ID))
}

// roomFor returns the destination with the most room for a workload, or -1.
func roomFor(ds []Destination, workload string) int {
	best := -1
	for i, d := range ds {
		if d.Free > 0 && slices.Contains(d.Workload, workload) && (best < 0 || d.Free > ds[best].Free) {
			best = i
		}
	}
	return best
}
