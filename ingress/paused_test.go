package ingress_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/store"
)

// lateStore is a box's connection to the store. Once it is late, the answer to the next watch of the configuration is given and
// held back until resumed is closed, and further watches do not reach the store.
type lateStore struct {
	store.Store
	late, hasHeld   atomic.Bool
	answered, again chan struct{} // closed when the store has given the answer, and when the box watches again
	resumed, healed chan struct{}
}

func newLateStore(s store.Store) *lateStore {
	return &lateStore{
		Store: s, answered: make(chan struct{}), again: make(chan struct{}), resumed: make(chan struct{}), healed: make(chan struct{}),
	}
}

func (l *lateStore) Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	if prefix != "config" || !l.late.Load() {
		return l.Store.Watch(c, prefix, since, wait, limit)
	}
	if l.hasHeld.CompareAndSwap(false, true) {
		items, at, err := l.Store.Watch(c, prefix, since, wait, limit)
		close(l.answered)
		<-l.resumed
		return items, at, err
	}
	l.late.Store(false)
	close(l.again)
	select {
	case <-l.healed:
		return l.Store.Watch(c, prefix, since, wait, limit)
	case <-c.Done():
		return nil, 0, c.Err()
	}
}

// Guards against 404, 401 and 413 for proper requests by a box that was paused after the store had answered that nothing had
// changed, and reads the answer afterwards: a newer configuration may have the route or the key.
func TestAnswerReadAfterPauseDeniesNothing(t *testing.T) {
	const pause = 10 * time.Second
	var l *lateStore
	b := startBoxWith(t, true, func(b *box) {
		l = newLateStore(b.Store)
		b.Store = l
	})
	b.await(b.isReady)
	require.True(t, b.denies())

	l.late.Store(true)
	<-l.answered
	d := document
	d.Version, d.Accounts = document.Version+1, append(slices.Clone(document.Accounts), catalog.Account{Name: "new", Keys: []string{"new"}})
	text, err := json.Marshal(d)
	require.NoError(t, err)
	b.store.Set("config", string(text))
	boottime.SimulateSuspension(pause)
	close(l.resumed)
	<-l.again
	b.await(func() bool { return b.session.StoreUnresponsiveFor() < time.Second }) // leases are renewed
	require.Equal(t, http.StatusServiceUnavailable, b.post("/a/x", "new", "").status)
	b.requireDeniesNothing()

	close(l.healed)
	b.await(func() bool { return b.post("/a/x", "new", "").status == http.StatusOK })
	require.True(t, b.denies())
}
