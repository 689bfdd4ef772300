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
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetWatchesStalled makes pending watches miss all changes, as while the history is being compacted.
func (s *Store) SetWatchesStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled = stalled
}

// LoseAnswers makes the next n commits take effect but return store.ErrOutcomeUnknown.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers = n
}

// Compact drops the history, so that a watch from an earlier revision fails with
// store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.events = s.revision, nil
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ExpireLease ends a lease as if its TTL had passed.
func (s *Store) ExpireLease(l store.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(l)
}

// Set writes a key unconditionally and returns its revision.
func (s *Store) Set(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, []byte(value), 0)
	s.notifyWatchers()
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, l store.Lease) {
	if s.items == nil {
		s.items, s.keyLeases = map[string]store.Item{}, map[string]store.Lease{}
	}
	i := store.Item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key], s.keyLeases[key] = i, l
	s.events = append(s.events, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.keyLeases, key)
	s.events = append(s.events, store.Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) endLease(l store.Lease) {
	if s.leases[l] == nil {
		return
	}
	s.leases[l].timer.Stop()
	delete(s.leases, l)
	s.revision++
	for _, k := range slices.Sorted(maps.Keys(s.keyLeases)) {
		if s.keyLeases[k] == l {
			s.remove(k)
		}
	}
	s.notifyWatchers()
}

// beginCall counts a call, and returns store.ErrUnavailable if the service is down. The caller holds
// m.mu.
func (s *Store) beginCall() error {
	s.calls++
	if s.down {
		return store.ErrUnavailable
	}
	return nil
}

// Get returns the item of a key. The item of a missing key has revision 0.
func (s *Store) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return store.Item{}, err
	}
	i := s.items[key]
	i.Key = key
	return i, nil
}

// Range returns the items under a prefix, sorted by key, and the current revision.
func (s *Store) Range(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return nil, 0, err
	}
	var out []store.Item
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	// A watch cannot start from revision 0.
	return out, max(s.revision, 1), nil
}

// Watch returns the changes under a prefix after a revision. If there are none, it waits up to the
// given time for one. It fails with store.ErrTooLarge if they are over a limit other than zero, in bytes.
func (s *Store) Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	s.mu.Lock()
	if err := s.beginCall(); err != nil {
		s.mu.Unlock()
		return nil, 0, err
	}
	if since < s.compactedTo {
		s.mu.Unlock()
		return nil, 0, store.ErrCompacted
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out, revision, changed := s.eventsAfter(prefix, since), s.revision, s.changeSignal()
		if s.watchesStalled {
			out = nil
		}
		s.mu.Unlock()
		if len(out) > 0 {
			size := 0
			for _, i := range out {
				size += i.Size()
			}
			if limit > 0 && size > limit {
				return nil, 0, store.ErrTooLarge
			}
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

func (s *Store) changeSignal() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) eventsAfter(prefix string, since uint64) []store.Item {
	var out []store.Item
	for _, i := range s.events {
		if i.Revision > since && strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out
}

// Commit applies a change if all its conditions hold, and returns the new revision.
func (s *Store) Commit(_ context.Context, x store.Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	for _, i := range x.If {
		if s.items[i.Key].Revision != i.Revision {
			return 0, store.ErrConflict
		}
	}
	for _, p := range x.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, p := range x.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range x.Delete {
		s.remove(k)
	}
	s.notifyWatchers()
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, 0, err
	}
	if s.leases == nil {
		s.leases = map[store.Lease]*lease{}
	}
	s.revision++
	l := store.Lease(s.revision)
	s.leases[l] = &lease{ttl, time.AfterFunc(ttl, func() { s.ExpireLease(l) })}
	return l, ttl, nil
}

// Renew restarts the TTL of a lease.
func (s *Store) Renew(_ context.Context, l store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return err
	}
	x := s.leases[l]
	if x == nil {
		return store.ErrNoLease
	}
	x.timer.Reset(x.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(_ context.Context, l store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return err
	}
	if s.leases[l] == nil {
		return store.ErrNoLease
	}
	s.endLease(l)
	return nil
}
