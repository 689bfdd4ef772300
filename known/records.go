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

// recordSet keeps the endpoints' records as the store has them, so that a box
// that does not watch the store can be given them.
type recordSet struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision uint64
}

// step says from which revision a change led.
type step struct{ from uint64 }

// take applies a change. It returns nil if the change is no news.
func (r *recordSet) take(items []store.Item, whole bool, revision uint64) *step {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &step{r.revision}
	if whole || r.items == nil {
		r.items = map[string]store.Item{}
	}
	for _, i := range items {
		if i.Deleted {
			delete(r.items, i.Key)
			continue
		}
		r.items[i.Key] = i
	}
	if revision <= r.revision && !whole {
		return nil
	}
	r.revision = max(revision, r.revision)
	return s
}

// Revision returns the store's revision up to which the records are known.
func (k *Known) Revision() uint64 {
	k.records.mu.Lock()
	defer k.records.mu.Unlock()
	return k.records.revision
}

// Records returns all records.
func (k *Known) Records() Records {
	k.records.mu.Lock()
	defer k.records.mu.Unlock()
	return Records{Items: slices.Collect(maps.Values(k.records.items)), Whole: true, To: k.records.revision}
}

// Tell applies records that another box has read from the store. It returns
// false if this box lacks what came before.
func (k *Known) Tell(r Records) bool {
	at := k.Revision()
	switch {
	case r.To <= at:
		return true
	case !r.Whole && r.From > at:
		return false
	}
	k.applyEndpoints(r.Items, r.Whole, r.To)
	return true
}

// OnRecords sets what is called with each change of the records.
func (k *Known) OnRecords(f func(Records)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = append(k.heard, f)
}

func (k *Known) announce(r Records) {
	k.mu.Lock()
	fs := k.heard
	k.mu.Unlock()
	for _, f := range fs {
		f(r)
	}
}
