// Package member keeps the table of entry boxes that are up: by probes inside
// a data centre, and by two relays between data centres.
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is what the table says of a member. A higher one wins at the same
// Number.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Member is one process of an entry box. Successor is the incarnation that
// answers for a process that has left. Started orders the processes of one
// box; Number grows when a member refutes a suspicion.
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

// newer reports whether m replaces o in the table.
func (m Member) supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Started, o.Started), cmp.Compare(m.Refutations, o.Refutations), cmp.Compare(m.State, o.State)) > 0
}

// up reports whether work may be sent to m.
func (m Member) isUp() bool { return m.State == Alive || m.State == Suspect }

// Table holds one row a box. It is plain data and not safe for many at once. The
// members that are up are asked for with every request, so they are listed once
// for each change.
type Table struct {
	rows           map[string]Member
	upByDataCentre map[string][]Member
}

// Merge takes rows from elsewhere and returns those that changed the table.
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

// find returns the row of an incarnation.
func (t *Table) findIncarnation(incarnation string) (Member, bool) {
	for _, m := range t.rows {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Rows returns every row, by box.
func (t *Table) Rows() []Member {
	ms := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return ms
}

// Up returns the members that are up in a data centre, or in all for "". The
// slice is not to be changed.
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

// Forget drops the row of a box that is down.
func (t *Table) Forget(box string) {
	if m, ok := t.rows[box]; ok && !m.isUp() {
		delete(t.rows, box)
	}
}

// Digest returns a hash of what two tables must agree on: the rows that are up.
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
