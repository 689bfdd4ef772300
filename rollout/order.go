// Package rollout moves the traffic of a service to a new version of its endpoints, and back if
// the version is bad: a small part of the requests goes there first, and what becomes of them is
// compared with what becomes of the others in the same seconds.
package rollout

import (
	"fmt"
	"time"
)

// Order asks to move a service's traffic to the endpoints of a version within a time.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
	Revision uint64 // of the store, by which an order differs from one before it
}

// Orders are all that stand, as the store had them at a revision.
type Orders struct {
	Revision uint64
	List     []Order
}

// Stage is how far an order has been carried out.
type Stage int

// The stages. From Canary to Whole an order is under way; Complete and Reverted are its ends.
const (
	Closed   Stage = iota // no request goes to the version
	Canary                // a part of the requests does, small enough for a bad version
	Ramp                  // a larger part, to see the version under load
	Whole                 // all new requests do, until the other versions have nothing left to do
	Complete              // the other versions are no longer needed
	Reverted              // the version is bad
)

// The names of the stages, as logs and the store's record have them.
var stageNames = []string{"closed", "canary", "ramp", "whole", "complete", "reverted"}

// String returns the name of a stage.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return fmt.Sprintf("stage(%d)", int(s))
	}
	return stageNames[s]
}

// Final reports whether a stage is an end.
func (s Stage) Final() bool { return s == Complete || s == Reverted }

// Word is what the holder of the duty says of an order. Of two words that with the newer order
// holds, then that with the higher fence, then the later one.
type Progress struct {
	Order
	Stage Stage
	Share float64 // of the service's requests that may go to the version
	Fence uint64  // of the holder
	Count uint64  // of the holder's words
	Age   time.Duration
}

// newer reports whether a word holds in place of another.
func (w Progress) supersedes(o Progress) bool {
	switch {
	case w.Revision != o.Revision:
		return w.Revision > o.Revision
	case w.Fence != o.Fence:
		return w.Fence > o.Fence
	default:
		return w.Count > o.Count
	}
}

// AddWords takes words into those known, and keeps of each service the one that holds.
func MergeProgress(known map[string]Progress, more map[string]Progress, aged time.Duration) map[string]Progress {
	for s, w := range more {
		w.Age += aged
		if old, had := known[s]; had && !w.supersedes(old) {
			continue
		}
		if known == nil {
			known = map[string]Progress{}
		}
		known[s] = w
	}
	return known
}
