// Package memstore is a stand-in of the key-value service in memory, with the
// faults that the real one has. It waits on channels and timers only, so it runs
// on a fake clock as well.
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

// Memory is the service. Its zero value is empty and ready.
type Memory struct {
	mu       sync.Mutex
	items    map[string]store.Item
	lease    map[string]store.Lease // of keys
	leases   map[store.Lease]*lease
	events   []store.Item
	revision uint64
	floor    uint64 // the history before is gone
	changed  chan struct{}
	down     bool
	deaf     bool
	lose     int
	calls    int
}

// lease ends when its timer fires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// SetDown makes calls fail, or serve again.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.wake()
}

// SetDeaf makes watches that wait hear nothing of changes, as when the history
// is being dropped.
func (m *Memory) SetDeaf(deaf bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf = deaf
}

// LoseAnswers lets the next n changes take effect without an answer.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// Forget drops the history.
func (m *Memory) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floor, m.events = m.revision, nil
}

// Calls returns how many calls were made.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// EndLease ends a lease as its time would.
func (m *Memory) EndLease(l store.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(l)
}

// Set writes a key as the operator or a server does.
func (m *Memory) Set(key, value string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.put(key, []byte(value), 0)
	m.wake()
	return m.revision
}

// Unset removes a key.
func (m *Memory) Unset(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.remove(key)
	m.wake()
}

func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

func (m *Memory) put(key string, value []byte, l store.Lease) {
	if m.items == nil {
		m.items, m.lease = map[string]store.Item{}, map[string]store.Lease{}
	}
	i := store.Item{Key: key, Value: value, Revision: m.revision, Created: m.revision}
	if old, ok := m.items[key]; ok {
		i.Created = old.Created
	}
	m.items[key], m.lease[key] = i, l
	m.events = append(m.events, i)
}

func (m *Memory) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	delete(m.lease, key)
	m.events = append(m.events, store.Item{Key: key, Revision: m.revision, Deleted: true})
}

func (m *Memory) end(l store.Lease) {
	if m.leases[l] == nil {
		return
	}
	m.leases[l].timer.Stop()
	delete(m.leases, l)
	m.revision++
	for _, k := range slices.Sorted(maps.Keys(m.lease)) {
		if m.lease[k] == l {
			m.remove(k)
		}
	}
	m.wake()
}

// enter counts a call and reports whether the service answers it.
func (m *Memory) enter() error {
	m.calls++
	if m.down {
		return store.ErrUnavailable
	}
	return nil
}

// Get returns a key's item.
func (m *Memory) Get(_ context.Context, key string) (store.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return store.Item{}, err
	}
	i := m.items[key]
	i.Key = key
	return i, nil
}

// Range returns the items under a prefix.
func (m *Memory) Range(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return nil, 0, err
	}
	var out []store.Item
	for _, i := range m.items {
		if strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	// A revision of 0 would be no place to watch from.
	return out, max(m.revision, 1), nil
}

// Watch waits for changes.
func (m *Memory) Watch(c context.Context, prefix string, since uint64, wait time.Duration) ([]store.Item, uint64, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	m.mu.Lock()
	if err := m.enter(); err != nil {
		m.mu.Unlock()
		return nil, 0, err
	}
	if since < m.floor {
		m.mu.Unlock()
		return nil, 0, store.ErrCompacted
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		out, at, changed := m.after(prefix, since), m.revision, m.waiting()
		if m.deaf {
			out = nil
		}
		m.mu.Unlock()
		if len(out) > 0 {
			return out, at, nil
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

func (m *Memory) waiting() chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func (m *Memory) after(prefix string, since uint64) []store.Item {
	var out []store.Item
	for _, i := range m.events {
		if i.Revision > since && strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out
}

// Commit does a change.
func (m *Memory) Commit(_ context.Context, x store.Change) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
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
	m.wake()
	if m.lose > 0 {
		m.lose--
		return 0, store.ErrOutcomeUnknown
	}
	return m.revision, nil
}

// Grant makes a lease.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return 0, 0, err
	}
	if m.leases == nil {
		m.leases = map[store.Lease]*lease{}
	}
	m.revision++
	l := store.Lease(m.revision)
	m.leases[l] = &lease{ttl, time.AfterFunc(ttl, func() { m.EndLease(l) })}
	return l, ttl, nil
}

// Renew lets a lease run its whole time again.
func (m *Memory) Renew(_ context.Context, l store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return err
	}
	x := m.leases[l]
	if x == nil {
		return store.ErrNoLease
	}
	x.timer.Reset(x.ttl)
	return nil
}

// Revoke ends a lease.
func (m *Memory) Revoke(_ context.Context, l store.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return err
	}
	if m.leases[l] == nil {
		return store.ErrNoLease
	}
	m.end(l)
	return nil
}
