// Package memstore implements the key-value service in memory, with the faults of the real one. It
// blocks on channels and timers only, so that it also works with a fake clock.
package memstore

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"birchlink.dev/birchlink/store"
)

// Store is the key-value service. Its zero value is empty and ready to use.
type Store struct {
	mu             sync.Mutex
	items          map[string]store.Item
	keyLeases      map[string]store.Lease // by key
	leases         map[store.Lease]*lease
	events         []store.Item
	revision       uint64
	compactedTo    uint64 // events up to this revision are compacted
	changed        chan struct{}
	down           bool
	watchesStalled bool
	lostAnswers    int
	calls          int
}

// lease expires when its timer fires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// SetDown makes all later calls fail with store.ErrUnavailable, or succeed again.
func (m *Store) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.notifyWatchers()
}

// SetWatchesStalled makes pending watches miss all changes, as while the history is being compacted.
func (m *Store) SetWatchesStalled(stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchesStalled = stalled
}

// LoseAnswers makes the next n commits take effect but return store.ErrOutcomeUnknown.
func (m *Store) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostAnswers = n
}

// Compact drops the history, so that a watch from an earlier revision fails with
// store.ErrCompacted.
func (m *Store) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedTo, m.events = m.revision, nil
}

// Calls returns the number of calls so far.
func (m *Store) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// ExpireLease ends a lease as if its TTL had passed.
func (m *Store) ExpireLease(l store.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(l)
}

// Set writes a key unconditionally and returns its revision.
func (m *Store) Set(key, value string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.put(key, []byte(value), 0)
	m.notifyWatchers()
	return m.revision
}

// Delete removes a key.
func (m *Store) Delete(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.remove(key)
	m.notifyWatchers()
}

func (m *Store) notifyWatchers() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

func (m *Store) put(key string, value []byte, l store.Lease) {
	if m.items == nil {
		m.items, m.keyLeases = map[string]store.Item{}, map[string]store.Lease{}
	}
	i := store.Item{Key: key, Value: value, Revision: m.revision, Created: m.revision}
	if old, ok := m.items[key]; ok {
		i.Created = old.Created
	}
	m.items[key], m.keyLeases[key] = i, l
	m.events = append(m.events, i)
}

func (m *Store) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	delete(m.keyLeases, key)
	m.events = append(m.events, store.Item{Key: key, Revision: m.revision, Deleted: true})
}

func (m *Store) endLease(l store.Lease) {
	if m.leases[l] == nil {
		return
	}
	m.leases[l].timer.Stop()
	delete(m.leases, l)
	m.revision++
	for _, k := range slices.Sorted(maps.Keys(m.keyLeases)) {
		if m.keyLeases[k] == l {
			m.remove(k)
		}
	}
	m.notifyWatchers()
}

// beginCall counts a call, and returns store.ErrUnavailable if the service is down. The caller holds
// m.mu.
func (m *Store) beginCall() error {
	m.calls++
	if m.down {
		return store.ErrUnavailable
	}
	return nil
}

// Get returns the item of a key. The item of a missing key has revision 0.
func (m *Store) Get(_ context.Context, key string) (store.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return store.Item{}, err
	}
	i := m.items[key]
	i.Key = key
	return i, nil
}

// Range returns the items under a prefix, sorted by key, and the current revision.
func (m *Store) Range(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return nil, 0, err
	}
	var out []store.Item
	for _, i := range m.items {
		if strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	// A watch cannot start from revision 0.
	return out, max(m.revision, 1), nil
}

// Watch returns the changes under a prefix after a revision. If there are none, it waits up to the
// given time for one.
func (m *Store) Watch(c context.Context, prefix string, since uint64, wait time.Duration) ([]store.Item, uint64, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	m.mu.Lock()
	if err := m.beginCall(); err != nil {
		m.mu.Unlock()
		return nil, 0, err
	}
	if since < m.compactedTo {
		m.mu.Unlock()
		return nil, 0, store.ErrCompacted
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		out, revision, changed := m.eventsAfter(prefix, since), m.revision, m.changeSignal()
		if m.watchesStalled {
			out = nil
		}
		m.mu.Unlock()
		if len(out) > 0 {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return nil, since, nil
		case <-c.Done():
			return nil, 0, c.Err()
		}
	}
}

func (m *Store) changeSignal() chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func (m *Store) eventsAfter(prefix string, since uint64) []store.Item {
	var out []store.Item
	for _, i := range m.events {
		if i.Revision > since && strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out
}

// Commit applies a change if all its conditions hold, and returns the new revision.
func (m *Store) Commit(_ context.Context, x store.Change) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, err
	}
	for _, i := range x.If {
		if m.items[i.Key].Revision != i.Revision {
			return 0, store.ErrConflict
		}
	}
	for _, p := range x.Put {
		if p.Lease != 0 && m.leases[p.Lease] == nil {
			return 0, store.ErrNoLease
		}
	}
	m.revision++
	for _, p := range x.Put {
		m.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range x.Delete {
		m.remove(k)
	}
	m.notifyWatchers()
	if m.lostAnswers > 0 {
		m.lostAnswers--
		return 0, store.ErrOutcomeUnknown
	}
	return m.revision, nil
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (m *Store) Grant(_ context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, 0, err
	}
	if m.leases == nil {
		m.leases = map[store.Lease]*lease{}
	}
	m.revision++
	l := store.Lease(m.revision)
	m.leases[l] = &lease{ttl, time.AfterFunc(ttl, func() { m.ExpireLease(l) })}
	return l, ttl, nil
}

// Renew restarts the TTL of a lease.
func (m *Store) Renew(_ context.Context, l store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return err
	}
	x := m.leases[l]
	if x == nil {
		return store.ErrNoLease
	}
	x.timer.Reset(x.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (m *Store) Revoke(_ context.Context, l store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return err
	}
	if m.leases[l] == nil {
		return store.ErrNoLease
	}
	m.endLease(l)
	return nil
}
