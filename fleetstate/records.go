package fleetstate

import (
	"maps"
	"slices"
	"sync"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/store"
)

// Records is a change of the endpoint records between the store revisions From and
// To. If Whole is set, Items holds all records as of To and From has no meaning. If Events is
// set, Items holds every change in between, and not only the last one of each record. Otherwise Known
// has the software versions by service that had endpoints within versionhistory.Window, those that came
// and went included; it is nil if the sender may lack some.
type Records struct {
	Items  []store.Item
	Whole  bool
	Events bool
	Known  map[string][]string `msgpack:",omitempty"`
	From   uint64
	To     uint64
}

// maxTombstones is the maximum number of deleted keys whose revision of deletion is
// kept. Up to that number, a late record older than the deletion is recognized.
const maxTombstones = 4096

// recordSet is a copy of the endpoint records in the store, from which boxes that
// don't watch the store are updated.
type recordSet struct {
	mu            sync.Mutex
	items         map[string]store.Item
	tombstones    map[string]uint64 // revision of deletion, by key
	completeSince uint64            // all deletions after this revision are in tombstones
	revision      uint64
}

// applyResult is the result of applying a change: the items that were new, deletions included, and
// the revision before the change. If advanced is set, the change raised the revision or was a
// whole list.
type applyResult struct {
	items    []store.Item
	from     uint64
	advanced bool
}

// apply applies a change. Items that aren't newer than the known state of their key are skipped,
// so changes may arrive in any order and more than once.
func (r *recordSet) apply(c Records) applyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := applyResult{from: r.revision, advanced: c.To > r.revision || c.Whole}
	listed := map[string]bool{}
	for _, i := range c.Items {
		listed[i.Key] = true
		if r.put(i) {
			t.items = append(t.items, i)
		}
	}
	if c.Whole {
		// Deletions up to c.To that this box missed can't be derived from the list.
		r.completeSince = max(r.completeSince, c.To)
		for _, k := range slices.Sorted(maps.Keys(r.items)) {
			deletion := store.Item{Key: k, Revision: c.To, Deleted: true}
			if !listed[k] && r.put(deletion) {
				t.items = append(t.items, deletion)
			}
		}
	}
	r.revision = max(c.To, r.revision)
	return t
}

// newer returns the items that are newer than the known state of their keys.
func (r *recordSet) newer(items []store.Item) []store.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []store.Item
	for _, i := range items {
		if old, had := r.items[i.Key]; !had || i.Revision > old.Revision {
			out = append(out, i)
		}
	}
	return out
}

// put stores one item and reports whether it was newer than the known state of its key. The
// deletion of an unknown key is stored but not reported.
func (r *recordSet) put(i store.Item) bool {
	if r.items == nil {
		r.items, r.tombstones = map[string]store.Item{}, map[string]uint64{}
	}
	old, had := r.items[i.Key]
	if had && i.Revision <= old.Revision || i.Revision <= r.tombstones[i.Key] {
		return false
	}
	delete(r.tombstones, i.Key)
	if !i.Deleted {
		r.items[i.Key] = i
		return true
	}
	delete(r.items, i.Key)
	if len(r.tombstones) >= maxTombstones {
		for _, at := range r.tombstones {
			r.completeSince = max(r.completeSince, at)
		}
		clear(r.tombstones)
	}
	r.tombstones[i.Key] = i.Revision
	return had
}

// isCurrent reports whether an item is still the latest known one for its key.
func (r *recordSet) isCurrent(i store.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, had := r.items[i.Key]
	if i.Deleted {
		return !had
	}
	return had && last.Revision == i.Revision
}

// changesSince returns the changes after a revision, or all records if some of the deletions since
// then are not known.
func (r *recordSet) changesSince(revision uint64) Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Records{From: revision, To: r.revision}
	if c.Whole = revision < r.completeSince; c.Whole {
		c.Items = slices.Collect(maps.Values(r.items))
		return c
	}
	for _, i := range r.items {
		if i.Revision > revision {
			c.Items = append(c.Items, i)
		}
	}
	for k, at := range r.tombstones {
		if at > revision {
			c.Items = append(c.Items, store.Item{Key: k, Revision: at, Deleted: true})
		}
	}
	return c
}

// Revision returns the store revision up to which the records are known.
func (s *Service) Revision() uint64 {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	return s.records.revision
}

// ChangesSince returns the changes after a revision for a box that missed them. It returns all
// records if revision is zero or too old.
func (s *Service) ChangesSince(revision uint64) Records {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	r := s.records.changesSince(revision)
	if s.Roster.Versions.IsUnbroken() {
		r.Known, _ = s.Roster.Versions.Snapshot(boottime.Now())
	}
	return r
}

// Merge applies records that another box has read from the store. It returns false
// if this box lacks the changes before r.From; the caller must fetch them first.
func (s *Service) Merge(r Records) bool {
	at := s.Revision()
	switch {
	case r.To <= at:
		return true
	case !r.Whole && r.From > at:
		return false
	}
	s.applyRecords(r)
	return true
}

// OnRecords registers a function that is called with each change of the records.
func (s *Service) OnRecords(f func(Records)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCallbacks = append(s.recordCallbacks, f)
}

func (s *Service) notifyRecords(r Records) {
	s.mu.Lock()
	fs := s.recordCallbacks
	s.mu.Unlock()
	for _, f := range fs {
		f(r)
	}
}
