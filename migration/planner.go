// Package migration decides what becomes of the streams that run at an endpoint which announced its
// end: they end there, move to another endpoint with their KV cache, or are computed again elsewhere.
package migration

import (
	"cmp"
	"slices"
	"time"
)

// Action is what is done with a stream.
type Action int

// The actions.
const (
	End    Action = iota // it stays where it is
	Move                 // its KV cache is copied to another endpoint, where it continues
	Resume               // its attempt is cancelled, and another endpoint computes it again
)

// String returns the name of the action in logs.
func (a Action) String() string { return [...]string{"end", "move", "resume"}[a] }

const (
	// MaxMoves bounds the moves of one request. An endpoint that takes a moved stream is serving, so
	// a second move is rare. A third means that endpoints end faster than streams.
	MaxMoves = 3

	// UnknownDrainPeriod is the time that an endpoint is assumed to have left if it names none.
	// Endpoints end 2 s after their notice at the earliest, and the notice takes up to 0.5 s, the
	// time of a gossip round, to reach a box whose store is unavailable.
	UnknownDrainPeriod = 1500 * time.Millisecond

	// moveOverhead is the time that a move takes besides the copies: two calls, the continuation's
	// first event, and the delay of a box that has a small share of a core. It also covers that
	// notices arrive late. Any stream that is left to end may need it, if it slows down.
	moveOverhead = 300 * time.Millisecond

	// moveInterval is the time by which each further move of a box delays the last one, besides its
	// copy: few moves are made at the same time.
	moveInterval = 40 * time.Millisecond

	// copyFactor is the time of a copy relative to that over an idle link within the data centre.
	// A copy to another data centre takes twice as long.
	copyFactor = 2
)

// Stream is a running stream at a draining endpoint.
type Stream struct {
	Begun      bool          // it has sent an event
	FirstEvent time.Duration // expected time until its first event, if it has not begun
	EventsLeft int           // the most events that are still to come; negative if unknown
	Pause      time.Duration // expected time between two events; zero if unknown
	CacheBytes int64         // size of its KV cache
	CanResume  bool          // another endpoint may compute it again
	Moves      int           // of its request, so far
}

// EventsLeft returns the events that a stream is expected to send after the first got, or -1 if that
// is unknown. Of the caller's token counts, which are zero if not given, the expected one counts until
// the stream exceeds it, and then the most that it allows. An event has stride tokens.
func EventsLeft(expectedTokens, maxTokens, stride, got int) int {
	for _, tokens := range []int{expectedTokens, maxTokens} {
		if n := (tokens + stride - 1) / stride; n > got {
			return n - got
		}
	}
	if maxTokens > 0 {
		return 0
	}
	return -1
}

// rest returns the expected time until the stream's end, and false if it is unknown.
func (s *Stream) rest() (time.Duration, bool) {
	if !s.Begun || s.EventsLeft < 0 || s.Pause <= 0 {
		return 0, false
	}
	return time.Duration(s.EventsLeft) * s.Pause, true
}

// Decision is the action for one stream. Index is its position in the input.
type Decision struct {
	Index  int
	Action Action
	Reason string
}

// Planner decides on the streams of one box at one draining endpoint. The decisions hold until the
// next plan, which is made every few ms with the time that is left then.
type Planner struct {
	Left               time.Duration // until the endpoint ends
	LinkBytesPerSecond float64       // between two endpoints; zero if unknown
	Running            int           // streams at the endpoint, of all boxes together
}

// Plan returns a decision for each stream. The moves come in the order in which they should begin:
// first streams that can't be computed again, and of these the ones with the longest rest. Streams
// whose copies no longer fit the link are resumed or, if they can't be, come last.
func (p Planner) Plan(ss []Stream) []Decision {
	var total time.Duration
	for i := range ss {
		total += moveInterval + p.copyTime(&ss[i], len(ss))
	}
	var out, moves []Decision
	for i := range ss {
		d := p.decide(&ss[i], moveOverhead+total)
		d.Index = i
		if d.Action == Move {
			moves = append(moves, d)
			continue
		}
		out = append(out, d)
	}
	slices.SortStableFunc(moves, func(a, b Decision) int { return byLoss(&ss[a.Index], &ss[b.Index]) })
	return append(p.fit(moves, ss), out...)
}

// decide returns the decision for one stream regardless of the link's capacity. The reserve is the
// time that moving all streams takes. A stream stays until no more than that is left: many end
// before their callers' token counts say so, and each move pauses a stream and loads the link.
func (p Planner) decide(s *Stream, reserve time.Duration) Decision {
	rest, known := s.rest()
	late := p.Left <= reserve
	switch {
	case !s.Begun && s.CanResume && (late || s.FirstEvent+reserve > p.Left):
		return Decision{Action: Resume, Reason: "it has not begun"}
	case !s.Begun && !late:
		return Decision{Action: End, Reason: "it has not begun and may begin in time to be moved"}
	case known && rest+reserve <= p.Left:
		return Decision{Action: End, Reason: "its rest fits the time left"}
	case !late:
		return Decision{Action: End, Reason: "it may end before it has to be moved"}
	case s.Moves < MaxMoves:
		return Decision{Action: Move, Reason: "its rest does not fit the time left"}
	case s.CanResume:
		return Decision{Action: Resume, Reason: "its moves are used up"}
	default:
		return Decision{Action: End, Reason: "its moves are used up"}
	}
}

// fit puts the moves that fit the time left first.
func (p Planner) fit(moves []Decision, ss []Stream) []Decision {
	var first, last, resumed []Decision
	var used time.Duration
	for _, d := range moves {
		s := &ss[d.Index]
		t := p.copyTime(s, len(ss))
		switch {
		case used+t+moveOverhead <= p.Left:
			used += t
			first = append(first, d)
		case s.CanResume:
			resumed = append(resumed, Decision{d.Index, Resume, "the copy does not fit the time left"})
		default:
			d.Reason = "the copy may not fit the time left"
			last = append(last, d)
		}
	}
	slices.SortStableFunc(last, func(a, b Decision) int { return cmp.Compare(ss[a.Index].CacheBytes, ss[b.Index].CacheBytes) })
	return slices.Concat(first, last, resumed)
}

// copyTime returns the time to copy one stream's KV cache, if the other boxes move their streams at
// the endpoint at the same time.
func (p Planner) copyTime(s *Stream, own int) time.Duration {
	if p.LinkBytesPerSecond <= 0 {
		return 0
	}
	share := float64(max(p.Running, own)) / float64(own)
	return time.Duration(copyFactor * share * float64(s.CacheBytes) / p.LinkBytesPerSecond * float64(time.Second))
}

// byLoss orders streams by what their end would lose.
func byLoss(a, b *Stream) int {
	if a.CanResume != b.CanResume {
		if b.CanResume {
			return -1
		}
		return 1
	}
	ra, knownA := a.rest()
	rb, knownB := b.rest()
	switch {
	case knownA && !knownB:
		return 1
	case knownB && !knownA:
		return -1
	}
	return cmp.Compare(rb, ra)
}
