// Package member maintains the table of entry boxes that are up. It is a SWIM-style
// membership protocol: within a data centre each box probes the others in turn,
// directly and through other boxes, and exchanges tables when their digests differ.
// Two relays per data centre exchange tables with the other data centres.
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member. Of two rows that differ only in their states, the
// one with the higher state is the newer.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // a probe failed
	Dead          // suspect for suspicionTimeout
	Left          // stopped
)

// Member is one process of an entry box. Incarnation identifies the process, and
// Started, in nanoseconds since the Unix epoch, orders the processes of one box.
// Refutations grows when the member refutes a suspicion. Successor is the
// incarnation that takes over the requests of a process that has left.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`

	Box         string
	DataCentre  string
	Address     string
	Incarnation string
	Started     int64
	Refutations uint32
	State       State
	Successor   string
}

// supersedes reports whether m replaces o in the table.
func (m Member) supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Started, o.Started), cmp.Compare(m.Refutations, o.Refutations), cmp.Compare(m.State, o.State)) > 0
}

// isUp reports whether requests may be sent to m.
func (m Member) isUp() bool { return m.State == Alive || m.State == Suspect }

// Table holds one row per box. It is not safe for concurrent use. The list of
// members that are up is needed for every request, so it is cached until the table
// changes.
type Table struct {
	rows           map[string]Member
	upByDataCentre map[string][]Member
}

// Merge adds the rows that are newer than those in the table and returns them. Rows
// of unknown boxes that are down and have no successor are ignored.
func (t *Table) Merge(ms []Member) []Member {
	if t.rows == nil {
		t.rows = make(map[string]Member)
	}
	var changed []Member
	for _, m := range ms {
		o, known := t.rows[m.Box]
		if known && !m.supersedes(o) || !known && !m.isUp() && m.Successor == "" {
			continue
		}
		t.rows[m.Box] = m
		t.upByDataCentre = nil
		changed = append(changed, m)
	}
	return changed
}

// Get returns the row of a box.
func (t *Table) Get(box string) (Member, bool) {
	m, ok := t.rows[box]
	return m, ok
}

// findIncarnation returns the row of an incarnation.
func (t *Table) findIncarnation(incarnation string) (Member, bool) {
	for _, m := range t.rows {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Rows returns all rows, sorted by box.
func (t *Table) Rows() []Member {
	ms := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return ms
}

// Up returns the members that are up in a data centre, or in all if dc is empty. The
// caller must not modify the slice.
func (t *Table) Up(dc string) []Member {
	if ms, listed := t.upByDataCentre[dc]; listed {
		return ms
	}
	if t.upByDataCentre == nil {
		t.upByDataCentre = make(map[string][]Member)
	}
	ms := slices.DeleteFunc(t.Rows(), func(m Member) bool { return !m.isUp() || dc != "" && m.DataCentre != dc })
	t.upByDataCentre[dc] = slices.Clip(ms)
	return t.upByDataCentre[dc]
}

// Forget removes the row of a box unless the box is up.
func (t *Table) Forget(box string) {
	if m, ok := t.rows[box]; ok && !m.isUp() {
		delete(t.rows, box)
	}
}

// Digest returns a hash of the rows that are up. Two tables with different digests
// are exchanged.
func (t *Table) Digest() uint64 {
	var d uint64
	var b [16]byte
	for _, m := range t.rows {
		if !m.isUp() {
			continue
		}
		h := xxhash.Sum64String(m.Box)
		for i := range 8 {
			b[i] = byte(m.Started >> (8 * i))
			b[8+i] = byte((uint64(m.Refutations)<<8 | uint64(m.State)) >> (8 * i))
		}
		d += xxhash.Sum64(b[:]) ^ h*0x9e3779b97f4a7c15
	}
	return d
}
