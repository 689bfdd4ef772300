package reporter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/reporter"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/usage"
	"birchlink.dev/birchlink/wait"
)

// lateStore applies the first change of counts late, without an answer.
type lateStore struct {
	*memstore.Store
	late time.Duration
	lost func() // called with the first change
}

func (s *lateStore) Commit(c context.Context, x store.Change) (uint64, error) {
	if f := s.lost; f != nil && strings.HasPrefix(x.Put[0].Key, "usage/part/") {
		s.lost = nil
		f()
		time.AfterFunc(s.late, func() { _, _ = s.Store.Commit(context.WithoutCancel(c), x) })
		return 0, store.ErrOutcomeUnknown
	}
	return s.Store.Commit(c, x)
}

// Guards against counts that are replaced by older ones: a write without an answer is carried out after the next one, in which another
// process has reported more.
func TestOlderCountsWrittenLate(t *testing.T) {
	for _, late := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &lateStore{Store: &memstore.Store{}, late: late}
				tally, other := &usage.Tally{Window: window}, &usage.Tally{Window: window}
				e := &election.Election{Store: m, Key: "duty", Box: "a", Term: term, Log: zerolog.Nop()}
				o := reporter.Options{Prefix: "usage/", WritersPrefix: "boxes/", Box: "a", Incarnation: "1", Due: due}
				r := reporter.New(o, tally, m, &fakeCloud{}, e, zerolog.Nop())
				w := tally.WindowAt(time.Now())
				report := func() {
					other.Add("x", tally.WindowEnd(w).Add(-time.Second))
					r.Merge(other.Recent("b.1", w))
				}
				report()
				m.lost = report
				require.NoError(t, r.Start(t.Context(), nil))
				defer func() { require.NoError(t, r.Stop(context.Background())) }()
				wait.For(t.Context(), time.Until(tally.WindowEnd(w).Add(2*late+3*time.Second)))
				entries, _, err := m.Range(t.Context(), fmt.Sprintf("usage/part/%d/", w))
				require.NoError(t, err)
				require.Len(t, entries, 1)
				var counts map[string]map[string]int
				require.NoError(t, json.Unmarshal(entries[0].Value, &counts))
				require.Equal(t, 2, counts["b.1"]["x"])
			})
		})
	}
}
