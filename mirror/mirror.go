// Package mirror follows the keys under a prefix of the store. It reads all of them
// once, then watches for changes, and reads all again when the store has compacted
// the history that it needs. It also does when the changes take more bytes than the
// keys: a value that changes faster than it is read is read in its newest state only.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// coalesceDelay is the pause after changes before the next watch call, so that
// changes in quick succession cost one call.
const coalesceDelay = 100 * time.Millisecond

// urgentWait is how long one watch call waits while IsUrgent holds.
const urgentWait = 200 * time.Millisecond

// The delay after a failed call is random between minRetryDelay and maxRetryDelay.
// While the store is known to be unreachable it is unreachableRetryDelay, because
// failed calls are billed too: without the longer delay, 70 boxes made 1,550 calls
// that read everything during an outage of 4.5 s and the second after it. Restart
// ends the delay.
const (
	minRetryDelay         = 50 * time.Millisecond
	maxRetryDelay         = 400 * time.Millisecond
	unreachableRetryDelay = 2 * time.Second
)

// Mirror follows one prefix. Apply is called by one goroutine with changes in the
// order of their revisions. If whole is set, items holds all keys under the prefix,
// and keys that are missing from it have been deleted.
type Mirror struct {
	Store  store.Store
	Prefix string

	// Wait is how long one watch call waits for changes. A store that compacts its
	// history doesn't end pending calls, so a change may be missed for that long.
	Wait time.Duration

	// IsUrgent, if set, reports whether OnCurrent is needed soon: calls wait for urgentWait at most then.
	IsUrgent func() bool

	Apply func(items []store.Item, whole bool, revision uint64)
	Log   zerolog.Logger

	// OnCurrent, if set, is called with times up to which all changes have been applied. These are the times of the calls:
	// their answers may be late, or be read late by this process, and a watch that was pending may have missed changes.
	OnCurrent func(at time.Time)

	// StartRevision, if set, is called by Run and returns the revision up to which the
	// keys are already known. If it is nil or returns zero, Run reads all keys first.
	StartRevision func() uint64

	// StoreUnreachable, if set, reports whether the store is known to be unreachable. Its
	// owner must call Restart when the store answers again.
	StoreUnreachable func() bool

	mu        sync.Mutex
	interrupt context.CancelFunc
	ended     chan struct{} // closed when the last call of Run has ended; nil before the first
	failures  failures
	rereads   rereads
	sizes     sizes
}

// Restart interrupts the current call or delay and continues from the last revision.
func (m *Mirror) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interrupt != nil {
		m.interrupt()
	}
}

// Run follows the prefix until c is done. It begins when earlier calls of Run have ended, so that what they read is not applied after
// what it reads.
func (m *Mirror) Run(c context.Context) {
	m.mu.Lock()
	previous, ended := m.ended, make(chan struct{})
	m.ended = ended
	m.mu.Unlock()
	defer close(ended)
	if previous != nil {
		<-previous
	}
	var revision uint64
	if m.StartRevision != nil {
		revision = m.StartRevision()
	}
	for c.Err() == nil {
		call, cancel := context.WithCancel(c)
		m.mu.Lock()
		m.interrupt = cancel
		m.mu.Unlock()
		next, err := m.poll(call, revision)
		switch {
		case err == nil:
			revision = next
			m.logRecovery(next)
		case errors.Is(err, store.ErrCompacted):
			m.Log.Info().Str("event", "watch").Str("prefix", m.Prefix).Uint64("revision", revision).Msg("history compacted; reading all keys")
			revision = 0
		case errors.Is(err, store.ErrTooLarge):
			m.logReread(revision, err)
			revision = 0
		default:
			m.logFailure(call, revision, err)
			wait.For(call, m.retryDelay())
		}
		cancel()
	}
}

// retryDelay returns how long to wait after a failed call.
func (m *Mirror) retryDelay() time.Duration {
	if m.StoreUnreachable != nil && m.StoreUnreachable() {
		return unreachableRetryDelay
	}
	return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
}

// poll reads all keys if revision is zero, or else waits for changes after it. It returns the new
// revision.
func (m *Mirror) poll(c context.Context, revision uint64) (uint64, error) {
	began := boottime.Now()
	if revision == 0 {
		items, at, err := m.Store.Range(c, m.Prefix)
		if err != nil {
			return 0, err
		}
		m.Apply(items, true, at)
		m.sizes.set(items, true)
		m.confirm(began)
		return at, nil
	}
	limit := m.Wait
	if m.IsUrgent != nil && m.IsUrgent() {
		limit = min(limit, urgentWait)
	}
	items, at, err := m.Store.Watch(c, m.Prefix, revision, limit, m.sizes.watchLimit())
	if err != nil {
		return 0, err
	}
	if len(items) > 0 {
		m.Apply(items, false, at)
		m.sizes.set(items, false)
	}
	m.confirm(began)
	if len(items) > 0 {
		wait.For(c, coalesceDelay)
	}
	return max(at, revision), nil
}
