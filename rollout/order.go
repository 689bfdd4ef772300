// Package rollout moves the traffic of a service to a new version of its endpoints, and back if the
// version is bad. A small share of the requests goes to the new version first. Its failures and
// slow answers are compared with those of the other versions over the same period.
package rollout

import (
	"fmt"
	"time"
)

// Order is an operator's request to move the traffic of a service to the endpoints of a version
// within a duration.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
	Revision uint64 // store revision, which distinguishes successive orders for a service
}

// Orders holds all current orders, as of a revision of the store.
type Orders struct {
	Revision uint64
	List     []Order
}

// Stage is the stage of an order's roll-out.
type Stage int

// The stages. An order is in progress from Canary to Whole. Complete and Reverted are final.
const (
	Closed   Stage = iota // no requests go to the version
	Canary                // a share of the requests that a bad version may receive goes to the version
	Ramp                  // a larger share goes to the version, to test it under load
	Whole                 // all new requests go to the version, while the other versions drain
	Complete              // the other versions are not needed
	Reverted              // the version is bad
)

// stageNames holds the names of the stages in logs and in the store.
var stageNames = []string{"closed", "canary", "ramp", "whole", "complete", "reverted"}

// String returns the name of the stage.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return fmt.Sprintf("stage(%d)", int(s))
	}
	return stageNames[s]
}

// Final reports whether the stage is final.
func (s Stage) Final() bool { return s == Complete || s == Reverted }

// Progress is a controller's report on an order. Of two reports, the one with the newer order takes
// precedence, then the one with the higher fence, then the one with the higher count.
type Progress struct {
	Order
	Stage Stage
	Share float64 // fraction of the service's requests that may go to the version
	Fence uint64  // fencing token of the controller
	Count uint64  // sequence number of the controller's reports
	Age   time.Duration
}

// supersedes reports whether p takes precedence over o.
func (p Progress) supersedes(o Progress) bool {
	switch {
	case p.Revision != o.Revision:
		return p.Revision > o.Revision
	case p.Fence != o.Fence:
		return p.Fence > o.Fence
	default:
		return p.Count > o.Count
	}
}

// MergeProgress merges reports into the known ones, both by service, and returns the result. Of two
// reports on a service it keeps the one that takes precedence. It adds age to the age of the new
// reports. It modifies known unless that is nil.
func MergeProgress(known map[string]Progress, more map[string]Progress, age time.Duration) map[string]Progress {
	for s, p := range more {
		p.Age += age
		if old, ok := known[s]; ok && !p.supersedes(old) {
			continue
		}
		if known == nil {
			known = map[string]Progress{}
		}
		known[s] = p
	}
	return known
}
