// Package dedup records the runs of a process by idempotency key or ticket, so that each request runs
// at most once.
package dedup

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"birchlink.dev/birchlink/errkind"
)

// State is the progress of a record.
type State int

// The states of a record. An Open record may begin to run. A Running one becomes Open again only if
// Finish reports that the request did not run.
const (
	Open State = iota
	Running
	Done
)

// Record is the state of one key or ticket. R is the type of the result.
type Record[R any] struct {
	Nonce  uint64
	Digest uint64

	mu        sync.Mutex
	handedOff bool
	state     State
	result    R
	createdAt time.Time
	changed   chan struct{}
}

// Table holds the records of one process by key or ticket.
type Table[R any] struct {
	MaxRecords int
	TTL        time.Duration

	mu      sync.Mutex
	closed  bool
	records map[string]*Record[R]
}

// NewTable returns a table of at most maxRecords records, each kept for ttl.
func NewTable[R any](maxRecords int, ttl time.Duration) *Table[R] {
	return &Table[R]{MaxRecords: maxRecords, TTL: ttl, records: map[string]*Record[R]{}}
}

// GetOrCreate returns the record of a key, and reports whether it was created by this call. The
// error is of kind KeyReused if the record has another digest, Overloaded if the table is full, and
// Unavailable if it is closed.
func (t *Table[R]) GetOrCreate(key string, digest uint64) (r *Record[R], fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false, errkind.New(errkind.Unavailable, "this process gives its records to another").WithRetryAfter(time.Second)
	}
	r, ok := t.records[key]
	if ok {
		return r, false, r.bindDigest(digest)
	}
	if len(t.records) >= t.MaxRecords && t.expire(time.Now()) == 0 {
		return nil, false, errkind.New(errkind.Overloaded, "too many keys are remembered").WithRetryAfter(time.Second)
	}
	r = &Record[R]{Nonce: rand.Uint64(), Digest: digest, createdAt: time.Now(), changed: make(chan struct{})}
	t.records[key] = r
	return r, true, nil
}

// bindDigest sets the digest of a record that has none, and returns an error of kind KeyReused if
// the record's digest differs. A digest of zero stands for none.
func (r *Record[R]) bindDigest(digest uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Digest == 0 {
		r.Digest = digest
	}
	if r.Digest != digest && digest != 0 {
		return errkind.New(errkind.KeyReused, "the key or ticket was used for another request")
	}
	return nil
}

// Close closes the table and returns its records. They can no longer begin to run in this process,
// since another process may take them over.
func (t *Table[R]) Close() map[string]*Record[R] {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, r := range t.records {
		r.mu.Lock()
		r.handedOff = true
		r.mu.Unlock()
	}
	return t.records
}

// TakeOver adds a record that another process handed off, unless the table has the key or is
// closed.
func (t *Table[R]) TakeOver(key string, r *Record[R]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.records[key]; !known && !t.closed {
		t.records[key] = r
	}
}

// RestoreRecord returns a record with the state, the result and the age that it had in another
// process.
func RestoreRecord[R any](nonce, digest uint64, age time.Duration, s State, result R) *Record[R] {
	return &Record[R]{Nonce: nonce, Digest: digest, createdAt: time.Now().Add(-age), state: s, result: result, changed: make(chan struct{})}
}

// Age returns the time since the record was created.
func (r *Record[R]) Age() time.Duration { return time.Since(r.createdAt) }

// Find returns the record of a key, if there is one.
func (t *Table[R]) Find(key string) (*Record[R], bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	return r, ok
}

// Drop removes the record of a key.
func (t *Table[R]) Drop(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// expire drops records that are older than the TTL and not running, and returns their number. The
// caller must hold the lock.
func (t *Table[R]) expire(now time.Time) int {
	n := 0
	for k, r := range t.records {
		r.mu.Lock()
		old := r.state != Running && now.Sub(r.createdAt) > t.TTL
		r.mu.Unlock()
		if old {
			delete(t.records, k)
			n++
		}
	}
	return n
}

// TryBegin reports whether the caller may run the request now. It returns true at most once, or
// again after Finish with ran false. It returns false once the record is older than limit, since
// the claim behind the record may have expired.
func (r *Record[R]) TryBegin(limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedOff || r.state != Open || time.Since(r.createdAt) > limit {
		return false
	}
	var none R
	r.state, r.result = Running, none
	return true
}

// Finish ends a run with its result. If ran is false the request did not run, and may begin again.
func (r *Record[R]) Finish(result R, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = result
	r.state = Done
	if !ran {
		r.state = Open
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// PublishResult sets the result of a run in progress, such as a stream that other callers may read.
func (r *Record[R]) PublishResult(result R) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = result
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot returns the state and the result, and a channel that is closed at the next change.
func (r *Record[R]) Snapshot() (State, R, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.result, r.changed
}

// Wait returns the state and the result once ok accepts them.
func (r *Record[R]) Wait(c context.Context, ok func(State, R) bool) (State, R, error) {
	for {
		s, v, changed := r.Snapshot()
		if ok(s, v) {
			return s, v, nil
		}
		select {
		case <-changed:
		case <-c.Done():
			return s, v, c.Err()
		}
	}
}
