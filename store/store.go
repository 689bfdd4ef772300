// Package store defines the interface to the key-value service that keeps the state which must
// outlive every process. The service has conditional changes, leases and watches.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of calls. After ErrOutcomeUnknown a change may have taken effect, or may still do so. After the other errors it has not.
var (
	ErrConflict       = errors.New("a condition of the change does not hold")
	ErrOutcomeUnknown = errors.New("no definite answer: the change may have taken effect")
	ErrUnavailable    = errors.New("the store is unavailable")
	ErrNoLease        = errors.New("the lease does not exist")
	ErrCompacted      = errors.New("the history after the requested revision is not available")
	ErrTooLarge       = errors.New("the changes take more bytes than the caller allows")
)

// Item is a key with its value. Revision and Created are the revisions of the store at the last change
// of the key and at its creation. Each change to any key increases the store's revision. Deleted is
// set if the change deleted the key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Deleted  bool
}

// Size returns the size of the item in memory, in bytes.
func (i Item) Size() int {
	const overhead = 128
	return len(i.Key) + len(i.Value) + overhead
}

// Lease is the ID of a lease. The store deletes the keys attached to a lease that is not renewed in
// time. Zero is no lease.
type Lease uint64

// Condition holds if the key is at the given revision, or does not exist if that is zero.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key and attaches it to Lease, if there is one.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Change is applied atomically, and only if all conditions in If hold.
type Change struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// Store is a client of the service.
//
// Get returns an Item with Revision 0 if the key does not exist. Range and Watch return items under a
// prefix and a revision from which to watch next. Watch returns the changes after the revision since
// as soon as there are any, or nothing after wait. Changes that take more than limit bytes, by Item.Size, are not returned:
// Watch fails with ErrTooLarge, and the caller should read the keys instead. A limit of zero means none. Commit returns the revision of the change. Grant
// returns a new lease and its time to live.
type Store interface {
	Get(c context.Context, key string) (Item, error)
	Range(c context.Context, prefix string) ([]Item, uint64, error)
	Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]Item, uint64, error)
	Commit(c context.Context, x Change) (uint64, error)
	Grant(c context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew(c context.Context, l Lease) error
	Revoke(c context.Context, l Lease) error
}
