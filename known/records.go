package known

import (
	"maps"
	"slices"
	"sync"

	"birchlink.dev/birchlink/store"
)

// Records is a change of the endpoints' records, from one revision of the store
// to another; with Whole set, Items are all that there are.
type Records struct {
	Items []store.Item
	Whole bool
	From  uint64
	To    uint64
}

// keptGone bounds for how many keys that went it is known when they did: so many may
// come back by a record that is older and late.
const maxTombstones = 4096

// recordSet keeps the endpoints' records as the store has them, so that a box
// that does not watch the store can be given them.
type recordSet struct {
	mu            sync.Mutex
	items         map[string]store.Item
	tombstones    map[string]uint64 // the revisions at which keys went
	completeSince uint64            // the first revision since which all that went is known
	revision      uint64
}

// taken is what a change brought: the items that are news, those that went among them, and
// the revision from which it led. Fresh says that the records are of a later revision now.
type applied struct {
	items    []store.Item
	from     uint64
	advanced bool
}

// apply applies a change. What is older than what is known of its key is left out, so that
// changes may come in any order, and twice.
func (r *recordSet) apply(c Records) applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := applied{from: r.revision, advanced: c.To > r.revision || c.Whole}
	listed := map[string]bool{}
	for _, i := range c.Items {
		listed[i.Key] = true
		if r.put(i) {
			t.items = append(t.items, i)
		}
	}
	if c.Whole {
		// What went before without this box having known it is not in the list.
		r.completeSince = max(r.completeSince, c.To)
		for _, k := range slices.Sorted(maps.Keys(r.items)) {
			went := store.Item{Key: k, Revision: c.To, Deleted: true}
			if !listed[k] && r.put(went) {
				t.items = append(t.items, went)
			}
		}
	}
	r.revision = max(c.To, r.revision)
	return t
}

// put takes one item, and reports whether it is news.
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

// isCurrent reports whether an item is still the last that is known of its key.
func (r *recordSet) isCurrent(i store.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, had := r.items[i.Key]
	if i.Deleted {
		return !had
	}
	return had && last.Revision == i.Revision
}

// changesSince returns what has changed after a revision; all records where not all that went since
// is known.
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

// Revision returns the store's revision up to which the records are known.
func (k *Service) Revision() uint64 {
	k.records.mu.Lock()
	defer k.records.mu.Unlock()
	return k.records.revision
}

// ChangesSince returns the records that have changed after a revision, as a box lacks them that has
// missed a change; to one that knows none, or has been away for long, all of them.
func (k *Service) ChangesSince(revision uint64) Records { return k.records.changesSince(revision) }

// Merge applies records that another box has read from the store. It returns
// false if this box lacks what came before.
func (k *Service) Merge(r Records) bool {
	at := k.Revision()
	switch {
	case r.To <= at:
		return true
	case !r.Whole && r.From > at:
		return false
	}
	k.applyRecords(r)
	return true
}

// OnRecords sets what is called with each change of the records.
func (k *Service) OnRecords(f func(Records)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordCallbacks = append(k.recordCallbacks, f)
}

func (k *Service) notifyRecords(r Records) {
	k.mu.Lock()
	fs := k.recordCallbacks
	k.mu.Unlock()
	for _, f := range fs {
		f(r)
	}
}
