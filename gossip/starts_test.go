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

// counted is a store that counts the whole reads of each prefix.
type counted struct {
	store.Store

	mu    sync.Mutex
	reads map[string]int
}

func (s *counted) Range(c context.Context, prefix string) ([]store.Item, uint64, error) {
	s.mu.Lock()
	s.reads[prefix]++
	s.mu.Unlock()
	return s.Store.Range(c, prefix)
}

func (s *counted) of(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[prefix]
}

// Each of 985 boxes that started read all records of 10,000 endpoints from the store, 20 pages
// and 3 MB each, before it had looked for a relay that could tell it: what a start cost the store
// grew with boxes times endpoints. A box looks for its relays first, so that the records are read
// by those that watch the store for all, and by no more boxes where there are more.
func TestStartsReadLittle(t *testing.T) {
	m := &memstore.Memory{}
	m.Set("config", `{"Version":3}`)
	for i := range 50 {
		m.Set(fmt.Sprint("e/", i), "ready")
	}
	s := &counted{Store: m, reads: map[string]int{}}
	bs := make([]*box, 0, 30)
	for i := range 30 {
		bs = append(bs, start(t, s, fmt.Sprint("box", i), fmt.Sprint("dc", i%2)))
	}
	await(t, func() bool {
		return count(bs, func(b *box) bool { return b.version() == 3 && len(b.known.Roster.IDs()) == 50 && b.sum().Boxes == 29 }) == 30
	})
	require.LessOrEqual(t, s.of("e/"), 8)
	require.LessOrEqual(t, s.of("config"), 8)
}
