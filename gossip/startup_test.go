package gossip_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
)

// rangeCounter is a store that counts the reads of each prefix.
type rangeCounter struct {
	store.Store

	mu    sync.Mutex
	reads map[string]int
}

func (r *rangeCounter) Range(c context.Context, prefix string) ([]store.Item, uint64, error) {
	r.mu.Lock()
	r.reads[prefix]++
	r.mu.Unlock()
	return r.Store.Range(c, prefix)
}

func (r *rangeCounter) rangesOf(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads[prefix]
}

// getCounter is a store that counts the reads of each key.
type getCounter struct {
	store.Store

	mu   sync.Mutex
	keys map[string]int
}

func (s *getCounter) Get(c context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	s.keys[key]++
	s.mu.Unlock()
	return s.Store.Get(c, key)
}

// At the first start of the whole system there is no snapshot, and no box reads it.
func TestFirstStartReadsNoSnapshot(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	s := &getCounter{Store: m, keys: map[string]int{}}
	a := startBoxFirstTime(t, s, "a", "dc0")
	b := startBoxFirstTime(t, s, "b", "dc1")
	waitUntil(t, func() bool { return a.othersTotal().Boxes == 1 && b.othersTotal().Boxes == 1 && a.roundCount() > 10 })
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.keys["before"])
}

// The number of boxes that read all records from the store at a start is bounded. When each of 985
// boxes read the records of 10,000 endpoints before it looked for a relay, each read 20 pages and
// 3 MB, and the load of the store grew with boxes times endpoints.
func TestStartupReadsBounded(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	for i := range 50 {
		m.Set(fmt.Sprint("e/", i), "ready")
	}
	s := &rangeCounter{Store: m, reads: map[string]int{}}
	bs := make([]*box, 0, 30)
	for i := range 30 {
		bs = append(bs, startBox(t, s, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	waitUntil(t, func() bool {
		return countBoxes(bs, func(b *box) bool {
			return b.version() == 3 && len(b.state.Roster.IDs()) == 50 && b.othersTotal().Boxes == 29
		}) == 30
	})
	require.LessOrEqual(t, s.rangesOf("e/"), 8)
	require.LessOrEqual(t, s.rangesOf("config"), 8)
}
