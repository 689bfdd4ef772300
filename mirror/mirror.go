// Package mirror keeps a copy of the keys under a prefix of the store.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// gather is how long a mirror waits after changes before it asks for more, so
// that changes that come together cost one call.
const gather = 100 * time.Millisecond

// The pause after a call that got no answer, at random between minPause and maxPause.
// While the store is known to be away it is awayPause, unless the mirror is restarted:
// each call is paid for, also one that is refused. Where a store was away for 4.5 s,
// 70 boxes made 1,550 calls that read everything in that time and the next second.
const (
	minPause  = 50 * time.Millisecond
	maxPause  = 400 * time.Millisecond
	awayPause = 2 * time.Second
)

// Mirror follows one prefix. Apply gets changes in the order of their revisions;
// with whole set, the items are all that there is, and a key that is missing is
// gone. It is called by one goroutine.
type Mirror struct {
	Store  store.Store
	Prefix string

	// Wait is how long one call waits for changes. A store that forgets its history
	// does not end the calls that wait, so a change may go unheard for as long.
	Wait time.Duration

	Apply func(items []store.Item, whole bool, revision uint64)
	Log   zerolog.Logger

	// Since returns a revision up to which all is known when Run begins; zero, or nil,
	// is nothing.
	Since func() uint64

	// Away reports whether the store is known to answer nothing; nil is never. Whoever
	// knows that it answers again restarts the mirror.
	Away func() bool

	mu      sync.Mutex
	restart context.CancelFunc
}

// Restart ends the call or the pause under way, and begins again from the last revision.
func (m *Mirror) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.restart != nil {
		m.restart()
	}
}

// Run follows the prefix until c ends.
func (m *Mirror) Run(c context.Context) {
	var revision uint64
	if m.Since != nil {
		revision = m.Since()
	}
	for c.Err() == nil {
		x, cancel := context.WithCancel(c)
		m.mu.Lock()
		m.restart = cancel
		m.mu.Unlock()
		next, err := m.step(x, revision)
		switch {
		case err == nil:
			revision = next
		case errors.Is(err, store.ErrCompacted):
			m.Log.Info().Str("event", "watch").Str("prefix", m.Prefix).Uint64("revision", revision).Msg("the history is gone; reading everything")
			revision = 0
		default:
			m.Log.Debug().Str("event", "watch").Str("prefix", m.Prefix).Err(err).Msg("no answer")
			wait.For(x, m.pause())
		}
		cancel()
	}
}

// pause returns how long to wait after a call that got no answer.
func (m *Mirror) pause() time.Duration {
	if m.Away != nil && m.Away() {
		return awayPause
	}
	return minPause + rand.N(maxPause-minPause)
}

func (m *Mirror) step(c context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		items, at, err := m.Store.Range(c, m.Prefix)
		if err != nil {
			return 0, err
		}
		m.Apply(items, true, at)
		return at, nil
	}
	items, at, err := m.Store.Watch(c, m.Prefix, revision, m.Wait)
	if err != nil {
		return 0, err
	}
	if len(items) > 0 {
		m.Apply(items, false, at)
		wait.For(c, gather)
	}
	return max(at, revision), nil
}
