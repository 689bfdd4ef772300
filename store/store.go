// Package store says what birchlink needs of a key-value service that keeps
// what must outlive every process: conditional changes, leases and watches.
package store

import (
	"context"
	"errors"
	"time"
)

// The ways a call can fail besides an answer of the service. After ErrUnknown a
// change may have taken effect, or may still take effect.
var (
	ErrConflict       = errors.New("a condition of the change does not hold")
	ErrOutcomeUnknown = errors.New("no answer: a change may have taken effect")
	ErrUnavailable    = errors.New("the store is away")
	ErrNoLease        = errors.New("no such lease")
	ErrCompacted      = errors.New("the history asked for is gone")
)

// Item is one key's value. Revision is that of its last change, and the
// store's is raised by each change of any key. Deleted marks a key that went.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Deleted  bool
}

// Lease keeps keys alive while it is renewed; zero is none.
type Lease uint64

// Condition holds when a key's revision is still Revision; zero means absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Change is done whole or not at all, and only if each condition holds.
type Change struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// Store is the client of the service. Get of an absent key returns an Item with
// Revision 0. Range and Watch also return the store's revision; Watch returns
// once something after since changed, or with nothing after wait.
type Store interface {
	Get(c context.Context, key string) (Item, error)
	Range(c context.Context, prefix string) ([]Item, uint64, error)
	Watch(c context.Context, prefix string, since uint64, wait time.Duration) ([]Item, uint64, error)
	Commit(c context.Context, x Change) (uint64, error)
	Grant(c context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew(c context.Context, l Lease) error
	Revoke(c context.Context, l Lease) error
}
