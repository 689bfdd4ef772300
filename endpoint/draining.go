package endpoint

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxDrainMarks bounds the endpoints remembered as draining by their own responses. A mark is
// needed until the endpoint's record says so too. The bound is exceeded only if more endpoints
// than those of two data centres of the largest fleet drain while the store is unreachable.
const maxDrainMarks = 4096

// DrainingSet is the set of endpoints that announced in a response that they drain while their
// records do not say so, as exchanged between boxes. Sum identifies the set; Incarnations is sent
// only to a box whose set has a different sum.
type DrainingSet struct {
	Sum          uint64
	Incarnations []string
}

// IDOf returns the endpoint ID in the name of an incarnation.
func IDOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "/")
	return id
}

// MarkDraining records that an endpoint announced in a response that it drains, and reports whether
// this was not known before. The announcement precedes the endpoint's record, which does not change
// while the store is unreachable: without marks, 18 of 155 requests went to endpoints that had
// announced draining two seconds or more before.
func (r *Roster) MarkDraining(incarnation string) bool {
	r.mu.Lock()
	e, listed := r.all[IDOf(incarnation)]
	listed = listed && e.Incarnation() == incarnation
	if listed && e.Draining || r.isMarked(incarnation) {
		r.mu.Unlock()
		return false
	}
	if r.drainMarks == nil {
		r.drainMarks, _ = simplelru.NewLRU[string, struct{}](maxDrainMarks, nil) // the size is above zero
	}
	r.drainMarks.Add(incarnation, struct{}{})
	if !listed {
		r.mu.Unlock()
		return true
	}
	old := e
	e.Draining = true
	r.all[e.ID] = e
	r.updatePools(old, e)
	r.recordDeparture(e)
	f := r.onUnavailable
	r.mu.Unlock()
	if f != nil {
		f(e)
	}
	return true
}

// isMarked reports whether an endpoint is marked as draining. The caller holds r.mu.
func (r *Roster) isMarked(incarnation string) bool {
	return r.drainMarks != nil && r.drainMarks.Contains(incarnation)
}

// isDraining reports whether an endpoint drains according to its record or a mark. It removes the
// mark if the record says so, since the other boxes read the record as well. The caller holds r.mu.
func (r *Roster) isDraining(e Endpoint) bool {
	if r.drainMarks == nil || r.drainMarks.Len() == 0 {
		return e.Draining
	}
	if e.Draining {
		r.drainMarks.Remove(e.Incarnation())
		return true
	}
	return r.isMarked(e.Incarnation())
}

// DrainingSet returns the endpoints of the roster that drain although their records do not say so.
// Incarnations is omitted if the sum of the set equals known.
func (r *Roster) DrainingSet(known uint64) DrainingSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l DrainingSet
	if r.drainMarks == nil {
		return l
	}
	for _, m := range r.drainMarks.Keys() {
		if e, ok := r.all[IDOf(m)]; ok && e.Incarnation() == m {
			l.Incarnations = append(l.Incarnations, m)
		}
	}
	if l.Sum = hashSet(l.Incarnations); l.Sum == known {
		l.Incarnations = nil
	}
	return l
}

// Merge marks the endpoints of another box's set as draining, and returns the incarnations that
// were unknown.
func (r *Roster) Merge(l DrainingSet) []string {
	var added []string
	for _, m := range l.Incarnations {
		if r.MarkDraining(m) {
			added = append(added, m)
		}
	}
	return added
}

// CountDraining returns the number of draining endpoints.
func (r *Roster) CountDraining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.all {
		if e.Draining {
			n++
		}
	}
	return n
}

// hashSet returns a hash of the names that does not depend on their order; zero for no names.
func hashSet(names []string) uint64 {
	var s uint64
	for _, n := range names {
		s += xxhash.Sum64String(n)
	}
	return s
}
