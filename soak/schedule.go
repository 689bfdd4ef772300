// Package soak runs real boxes as separate processes against a stand-in of the
// platform, injects faults from outside them by a schedule drawn from a seed, and
// checks the promises from what callers and servers see.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Of a box's link to the store and of an endpoint's link to
// the boxes, the proxy delays, resets, silences, or passes one way only.
const (
	Kill       Kind = "kill"       // SIGKILL, started again
	Term       Kind = "term"       // SIGTERM, started again: planned
	Hup        Kind = "hup"        // SIGHUP: planned
	Pause      Kind = "pause"      // SIGSTOP, then SIGCONT
	StoreLink  Kind = "store link" // of one box
	ServerLink Kind = "server link"
	StoreDown  Kind = "store down"
	StoreLost  Kind = "store answers lost"
	Compact    Kind = "store history lost"
	Drain      Kind = "drain" // an endpoint leaves as announced, another comes
	Config     Kind = "configuration"
	Leave      Kind = "leave"     // an endpoint says in its answers that it leaves, its record does not; another comes
	TurnAway   Kind = "turn away" // an endpoint refuses each call, and asks for rest
	SayLimit   Kind = "limit"     // an endpoint names the rate of calls that it takes from all boxes together
)

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int
	Mode   Mode
}

// String describes a fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s %d %s for %v", f.At.Seconds(), f.Kind, f.Target, f.Mode, f.For)
}

// The pace of a schedule: a fault each meanGap, so that they overlap, in a span
// that leaves settle at the end for everything to recover.
const (
	meanGap = 700 * time.Millisecond
	minFor  = 200 * time.Millisecond
	maxFor  = 3 * time.Second
	lead    = 2 * time.Second
)

// wordGap is the mean time between two endpoints that say something of themselves.
const wordGap = 2 * time.Second

// Schedule draws the faults of a run, and what endpoints say of themselves meanwhile. The same
// seed gives the same.
func Schedule(seed uint64, span time.Duration, boxes, servers int) []Fault {
	out := append(faults(seed, span, boxes, servers), words(seed, span, servers)...)
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// words draws what endpoints say of themselves.
func words(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	kinds := []Kind{Leave, TurnAway, SayLimit}
	var out []Fault
	for at := lead; at < span; at += time.Duration(r.Int64N(int64(2 * wordGap))) {
		out = append(out, Fault{At: at, For: minFor + time.Duration(r.Int64N(int64(maxFor-minFor))), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(servers)})
	}
	return out
}

// faults draws the faults.
func faults(seed uint64, span time.Duration, boxes, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := []Kind{Kill, Term, Term, Hup, Pause, StoreLink, StoreLink, ServerLink, ServerLink, StoreDown, StoreLost, Compact, Drain, Config, Config}
	modes := []Mode{Delay, Reset, Silence, OneWay}
	var out []Fault
	for at := lead; at < span; at += time.Duration(r.Int64N(int64(2 * meanGap))) {
		f := Fault{At: at, For: minFor + time.Duration(r.Int64N(int64(maxFor-minFor))), Kind: kinds[r.IntN(len(kinds))], Mode: modes[r.IntN(len(modes))]}
		f.Target = r.IntN(boxes)
		if f.Kind == ServerLink || f.Kind == Drain {
			f.Target = r.IntN(servers)
		}
		out = append(out, f)
	}
	return out
}
