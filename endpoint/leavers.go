package endpoint

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxMarks is how many endpoints are remembered that said in an answer that they leave. A
// mark is of use until the endpoint's record says so too, so that more are needed only where
// more than two data centres' worth of the largest fleet leave while the store is away.
const maxMarks = 4096

// Leavers is what one box tells another of the endpoints that said in an answer that they
// leave, while their records do not say so. Sum tells one set of them from another, so that
// the set goes only to a box that has another.
type Leavers struct {
	Sum          uint64
	Incarnations []string
}

// IDOf returns the ID of an endpoint from the name of its incarnation.
func IDOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "/")
	return id
}

// Leave notes that an endpoint says that it leaves, ahead of its record: while the store is
// away no record tells it, and 18 requests of 155 went to an endpoint that had said so for
// two seconds or more (counted in the log of five seconds). It reports whether that is news.
func (r *Roster) Leave(incarnation string) bool {
	r.mu.Lock()
	e, listed := r.all[IDOf(incarnation)]
	listed = listed && e.Incarnation() == incarnation
	if listed && e.Draining || r.marked(incarnation) {
		r.mu.Unlock()
		return false
	}
	if r.marks == nil {
		r.marks, _ = simplelru.NewLRU[string, struct{}](maxMarks, nil) // the size is above zero
	}
	r.marks.Add(incarnation, struct{}{})
	if !listed {
		r.mu.Unlock()
		return true
	}
	old := e
	e.Draining = true
	r.all[e.ID] = e
	r.enter(old, e)
	f := r.removed
	r.mu.Unlock()
	if f != nil {
		f(e)
	}
	return true
}

// marked reports whether an endpoint said that it leaves. The lock is held.
func (r *Roster) marked(incarnation string) bool {
	return r.marks != nil && r.marks.Contains(incarnation)
}

// drains reports whether a record's endpoint drains, by what it says or what the endpoint
// said before. A record that says so makes the mark needless: the other boxes get it, too. The
// lock is held.
func (r *Roster) drains(e Endpoint) bool {
	if r.marks == nil || r.marks.Len() == 0 {
		return e.Draining
	}
	if e.Draining {
		r.marks.Remove(e.Incarnation())
		return true
	}
	return r.marked(e.Incarnation())
}

// Leavers returns the endpoints of the roster that leave though their records do not say so;
// to a box that has the sum known, without their names.
func (r *Roster) Leavers(known uint64) Leavers {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l Leavers
	if r.marks == nil {
		return l
	}
	for _, m := range r.marks.Keys() {
		if e, ok := r.all[IDOf(m)]; ok && e.Incarnation() == m {
			l.Incarnations = append(l.Incarnations, m)
		}
	}
	if l.Sum = sum(l.Incarnations); l.Sum == known {
		l.Incarnations = nil
	}
	return l
}

// Hear takes in what another box tells, and returns what of it is news.
func (r *Roster) Hear(l Leavers) []string {
	var news []string
	for _, m := range l.Incarnations {
		if r.Leave(m) {
			news = append(news, m)
		}
	}
	return news
}

// Draining returns how many endpoints leave.
func (r *Roster) Draining() int {
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

// sum returns a number that is the same for the same names in any order, and zero for none.
func sum(names []string) uint64 {
	var s uint64
	for _, n := range names {
		s += xxhash.Sum64String(n)
	}
	return s
}
