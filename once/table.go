// Package once is the memory of one process of what it has run for keys and
// tickets: the arbiter that lets each run at most once.
package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"birchlink.dev/birchlink/errkind"
)

// State is how far a record is.
type State int

// The states of a record. From Open it may begin to run, from Running it never
// goes back unless the run says that it did not happen.
const (
	Open State = iota
	Running
	Done
)

// Record is what is known of one key or ticket. R is the kind of the result.
type Record[R any] struct {
	Nonce  uint64
	Digest uint64

	mu      sync.Mutex
	given   bool
	state   State
	result  R
	made    time.Time
	changed chan struct{}
}

// Table holds the records of one process, by key or ticket.
type Table[R any] struct {
	Most int
	TTL  time.Duration

	mu      sync.Mutex
	closed  bool
	records map[string]*Record[R]
}

// NewTable returns a table of at most so many records, each kept for ttl.
func NewTable[R any](most int, ttl time.Duration) *Table[R] {
	return &Table[R]{Most: most, TTL: ttl, records: map[string]*Record[R]{}}
}

// Enter returns the record of a key, made now if there is none. A digest that
// differs from the record's is an error of kind KeyReused; a full table one of
// kind Overloaded.
func (t *Table[R]) Enter(key string, digest uint64) (r *Record[R], fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false, errkind.New(errkind.Unavailable, "this process gives its records to another").WithRetryAfter(time.Second)
	}
	r, ok := t.records[key]
	if ok {
		return r, false, r.match(digest)
	}
	if len(t.records) >= t.Most && t.expire(time.Now()) == 0 {
		return nil, false, errkind.New(errkind.Overloaded, "too many keys are remembered").WithRetryAfter(time.Second)
	}
	r = &Record[R]{Nonce: rand.Uint64(), Digest: digest, made: time.Now(), changed: make(chan struct{})}
	t.records[key] = r
	return r, true, nil
}

// match binds a record without a digest to one, and refuses another.
func (r *Record[R]) match(digest uint64) error {
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

// Close ends the table and returns its records, which no longer begin to run
// here: another process may answer for them from now on.
func (t *Table[R]) Close() map[string]*Record[R] {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, r := range t.records {
		r.mu.Lock()
		r.given = true
		r.mu.Unlock()
	}
	return t.records
}

// Inherit enters a record that another process gave away, unless its key is
// known here.
func (t *Table[R]) Inherit(key string, r *Record[R]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.records[key]; !known && !t.closed {
		t.records[key] = r
	}
}

// Inherited returns a record as it was at another process: its age, its state,
// and its result.
func Inherited[R any](nonce, digest uint64, age time.Duration, s State, result R) *Record[R] {
	return &Record[R]{Nonce: nonce, Digest: digest, made: time.Now().Add(-age), state: s, result: result, changed: make(chan struct{})}
}

// Age returns how long ago the record was made.
func (r *Record[R]) Age() time.Duration { return time.Since(r.made) }

// Find returns the record of a key, if there is one.
func (t *Table[R]) Find(key string) (*Record[R], bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	return r, ok
}

// Drop forgets a record that this process does not answer for.
func (t *Table[R]) Drop(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// expire drops old records that are not running, and returns how many. The
// caller holds the lock.
func (t *Table[R]) expire(now time.Time) int {
	n := 0
	for k, r := range t.records {
		r.mu.Lock()
		old := r.state != Running && now.Sub(r.made) > t.TTL
		r.mu.Unlock()
		if old {
			delete(t.records, k)
			n++
		}
	}
	return n
}

// Begin reports whether the caller may run the request now. It does so at most
// once, unless a run was taken back. After limit since the record was made it
// does so no more, since the claim behind it may have ended.
func (r *Record[R]) Begin(limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.given || r.state != Open || time.Since(r.made) > limit {
		return false
	}
	var none R
	r.state, r.result = Running, none
	return true
}

// Settle ends a run with its result, or takes it back if it did not happen.
func (r *Record[R]) Settle(result R, ran bool) {
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

// Share makes the result of a run that is under way known, such as a stream
// that others may read too.
func (r *Record[R]) Share(result R) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = result
	close(r.changed)
	r.changed = make(chan struct{})
}

// Look returns the state and the result, and a channel that closes on change.
func (r *Record[R]) Look() (State, R, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.result, r.changed
}

// Wait returns the state and the result once they satisfy ok.
func (r *Record[R]) Wait(c context.Context, ok func(State, R) bool) (State, R, error) {
	for {
		s, v, changed := r.Look()
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
