package fleetstate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// The time within which a change must be applied, and the time within which a
// record that expired during an outage must be removed.
const (
	applyBound   = 2 * time.Second
	removalBound = 2500 * time.Millisecond
)

var source = fleetstate.Source{
	ConfigKey: "config", EndpointsPrefix: "e/",
	DecodeConfig: func(b []byte) (*catalog.Document, error) {
		var d catalog.Document
		return &d, json.Unmarshal(b, &d)
	},
	DecodeEndpoint: func(key string, b []byte) (endpoint.Endpoint, error) {
		if string(b) == "foreign" {
			return endpoint.Endpoint{}, endpoint.NewRecordError(endpoint.UnknownState, "foreign")
		}
		e := endpoint.Endpoint{ID: strings.TrimPrefix(key, "e/"), Service: "s", Draining: string(b) == "draining"}
		_, _ = fmt.Sscanf(string(b), "born %d", &e.StartMillis) // other values have no start time
		return e, nil
	},
}

// box is one box with its session and its copy of the store.
type box struct {
	*fleetstate.Service
	session *storesession.Session
	t       *testing.T
}

func startBox(t *testing.T, m *memstore.Store) *box {
	t.Helper()
	return startBoxOf(t, m, source)
}

// startBoxOf starts a box with another source.
func startBoxOf(t *testing.T, m *memstore.Store, src fleetstate.Source) *box {
	t.Helper()
	s := storesession.New(m, zerolog.Nop())
	k := fleetstate.New(src, m, zerolog.Nop())
	n := &kernel.Kernel{}
	require.NoError(t, n.Add(s))
	require.NoError(t, s.Start(t.Context(), n))
	require.NoError(t, k.Start(t.Context(), n))
	return &box{k, s, t}
}

func (b *box) stop() {
	require.NoError(b.t, b.Stop(context.Background()))
	_ = b.session.Stop(context.Background())
}

func (b *box) version() uint64 {
	if b.Table() == nil {
		return 0
	}
	return b.Table().Document.Version
}

func runWithBox(t *testing.T, f func(t *testing.T, m *memstore.Store, b *box)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.Set("config", `{"Version":3}`)
		m.Set("e/one", "ready")
		b := startBox(t, m)
		defer b.stop()
		wait.For(t.Context(), time.Second)
		require.True(t, b.Ready())
		f(t, m, b)
	})
}

// A change is applied in time even if the store compacts its history and the
// pending watch calls miss the change.
func TestChangeMissedByWatch(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		m.SetWatchesStalled(true)
		m.Set("config", `{"Version":5}`)
		m.Delete("e/one")
		m.Compact()
		m.SetWatchesStalled(false)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 5, b.version())
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Guards against a box that installs each version of a configuration that has changed several times since it last read it.
func TestNewestConfigOfSeveral(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		var installed atomic.Int64
		b.OnRawConfig(func([]byte) { installed.Add(1) })
		m.SetWatchesStalled(true)
		for v := range 9 {
			m.Set("config", fmt.Sprintf(`{"Version":%d}`, v+4))
		}
		m.SetWatchesStalled(false)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 12, b.version())
		require.EqualValues(t, 1, installed.Load())
	})
}

// Guards against requests of new accounts that are refused since their limits are not known yet.
func TestConfigIsPreparedBeforeItIsInForce(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		var prepared []uint64
		b.OnConfig(func(d *catalog.Document) {
			require.Less(t, b.version(), d.Version)
			prepared = append(prepared, d.Version)
		})
		require.NoError(t, b.Install([]byte(`{"Version":9}`), "another box"))
		require.NoError(t, b.Install([]byte(`{"Version":8}`), "another box"))
		require.NoError(t, b.Install([]byte(`{"Version":9}`), "another box"))
		m.Set("config", `{"Version":10}`)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 10, b.version())
		require.Equal(t, []uint64{9, 10}, prepared)
	})
}

// A configuration with a lower version is ignored, from the store and from other boxes.
func TestVersionNeverDecreases(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		require.NoError(t, b.Install([]byte(`{"Version":9}`), "another box"))
		m.Set("config", `{"Version":4}`)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 9, b.version())
		require.NoError(t, b.Install([]byte(`{"Version":8}`), "another box"))
		require.EqualValues(t, 9, b.version())
	})
}

// A configuration that can't be decoded leaves the current one in force.
func TestUnreadableConfig(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		m.Set("config", `{"Version":`)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 3, b.version())
		require.Error(t, b.Install([]byte("{"), "another box"))
	})
}

// A draining endpoint never serves again, even if a later record lacks the mark.
func TestDrainingIsFinal(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		m.Set("e/one", "draining")
		wait.For(t.Context(), applyBound)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applyBound)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Records that expire during an outage of the store may be written again shortly
// after it. Until then their endpoints keep serving; those whose records stay
// deleted are removed.
func TestRecordsDeletedDuringOutage(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		m.Set("e/two", "ready")
		wait.For(t.Context(), applyBound)
		m.SetDown(true)
		wait.For(t.Context(), 4*time.Second)
		m.Delete("e/one")
		m.Delete("e/two")
		m.SetDown(false)
		wait.For(t.Context(), time.Second)
		require.Len(t, b.Roster.Serving("s"), 2)
		m.Set("e/two", "ready")
		wait.For(t.Context(), removalBound)
		es := b.Roster.Serving("s")
		require.Len(t, es, 1)
		require.Equal(t, "two", es[0].ID)
	})
}

// An endpoint that crashes soon after an outage is removed in time: the removal
// waits only for the rest of the window in which records may reappear.
func TestRemovalSoonAfterOutage(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		m.SetDown(true)
		wait.For(t.Context(), 4*time.Second)
		m.SetDown(false)
		wait.For(t.Context(), 1700*time.Millisecond)
		m.Delete("e/one")
		wait.For(t.Context(), time.Second)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Without an outage, an endpoint is removed as soon as its record is deleted.
func TestRemovalWithoutOutage(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		wait.For(t.Context(), 2*removalBound)
		m.Delete("e/one")
		synctest.Wait()
		wait.For(t.Context(), 200*time.Millisecond)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Guards against a roster that misses endpoints after concurrent changes. A whole list of an older
// revision and a newer change arrive at the same time. If the removals of the list are applied to
// the roster after the additions of the newer change, the added endpoints are missing from the
// roster for good, though the records are complete.
func TestConcurrentChanges(t *testing.T) {
	runWithBox(t, func(t *testing.T, _ *memstore.Store, b *box) {
		b.SetWatching(false)
		wait.For(t.Context(), removalBound)
		at := b.Revision()
		newer := fleetstate.Records{Items: []store.Item{{Key: "e/three", Value: []byte("ready"), Revision: at + 6}}, From: at + 5, To: at + 6}
		b.DecodeEndpoint = func(key string, v []byte) (endpoint.Endpoint, error) {
			if key == "e/two" {
				b.Merge(newer)
			}
			return source.DecodeEndpoint(key, v)
		}
		b.Merge(fleetstate.Records{Items: []store.Item{
			{Key: "e/one", Value: []byte("ready"), Revision: at + 4}, {Key: "e/two", Value: []byte("ready"), Revision: at + 5},
		}, Whole: true, To: at + 5})
		b.Merge(newer)
		require.Equal(t, []string{"one", "three", "two"}, b.Roster.IDs())
	})
}

// A record older than the known state of its key changes nothing, whichever box sends it.
func TestStaleRecord(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		at := b.Revision()
		item := func(value string, revision uint64) []store.Item {
			return []store.Item{{Key: "e/one", Value: []byte(value), Revision: revision}}
		}
		require.True(t, b.Merge(fleetstate.Records{Items: item("ready", at+5), From: at, To: at + 5}))
		require.True(t, b.Merge(fleetstate.Records{Items: item("draining", at+4), From: at, To: at + 6}))
		require.Len(t, b.Roster.Serving("s"), 1)
		require.True(t, b.Merge(fleetstate.Records{Items: []store.Item{{Key: "e/one", Revision: at + 7, Deleted: true}}, From: at + 6, To: at + 7}))
		require.True(t, b.Merge(fleetstate.Records{Items: item("ready", at+6), From: at + 7, To: at + 8}))
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// A record overwritten by another program removes its endpoint at once and leaves the others. The
// endpoint is added again when it rewrites its record.
func TestInvalidRecord(t *testing.T) {
	runWithBox(t, func(t *testing.T, m *memstore.Store, b *box) {
		var reasons []endpoint.Reason
		b.OnInvalidRecord = func(r endpoint.Reason) { reasons = append(reasons, r) }
		m.Set("e/two", "ready")
		wait.For(t.Context(), applyBound)
		m.Set("e/one", "foreign")
		wait.For(t.Context(), applyBound)
		es := b.Roster.Serving("s")
		require.Len(t, es, 1)
		require.Equal(t, "two", es[0].ID)
		require.Equal(t, []endpoint.Reason{endpoint.UnknownState}, reasons)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applyBound)
		require.Len(t, b.Roster.Serving("s"), 2)
	})
}

// Guards against a record without a start time that replaces one with a start time. Accepted, it
// looks like another process under the same ID, and the state of the running process is lost, for
// example that it is draining. Such records, also repeated ones, are invalid until the key has been
// deleted.
func TestRecordWithoutStartTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reasons []endpoint.Reason
		var replaced int
		m := &memstore.Store{}
		b := startBox(t, m)
		defer b.stop()
		b.OnInvalidRecord = func(r endpoint.Reason) { reasons = append(reasons, r) }
		b.Roster.OnReplaced(func(endpoint.Endpoint) { replaced++ })
		m.Set("e/one", "born 7")
		m.Set("e/other", "ready")
		wait.For(t.Context(), applyBound)
		require.Len(t, b.Roster.Serving("s"), 2)
		require.True(t, b.Roster.MarkDraining("one/7"))
		for range 2 {
			m.Set("e/one", "ready")
			wait.For(t.Context(), applyBound)
			require.Len(t, b.Roster.Serving("s"), 1)
		}
		require.Equal(t, []endpoint.Reason{endpoint.Missing, endpoint.Missing}, reasons)
		m.Set("e/one", "born 7")
		wait.For(t.Context(), applyBound)
		require.Len(t, b.Roster.Serving("s"), 1)
		require.Zero(t, replaced)
		m.Set("e/one", "born 8")
		wait.For(t.Context(), applyBound)
		require.Len(t, b.Roster.Serving("s"), 2)
		m.Delete("e/one")
		wait.For(t.Context(), applyBound)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applyBound)
		require.Len(t, b.Roster.Serving("s"), 2)
	})
}

// BenchmarkReadAll applies the records of 10,000 endpoints to an empty box, including logging.
func BenchmarkReadAll(b *testing.B) {
	items := make([]store.Item, 10_000)
	for i := range items {
		items[i] = store.Item{Key: fmt.Sprint("e/", i), Value: []byte("ready"), Revision: uint64(i) + 1}
	}
	for b.Loop() {
		k := fleetstate.New(source, nil, zerolog.New(io.Discard).With().Timestamp().Str("box", "front-1").Logger())
		k.Merge(fleetstate.Records{Items: items, Whole: true, To: 10_000})
	}
}

// All endpoints are removed when one change deletes more of them than tombstones are kept.
func TestMoreDeletionsThanTombstones(t *testing.T) {
	runWithBox(t, func(t *testing.T, _ *memstore.Store, b *box) {
		b.SetWatching(false)
		wait.For(t.Context(), removalBound)
		at := b.Revision()
		items := make([]store.Item, 5000)
		for i := range items {
			items[i] = store.Item{Key: fmt.Sprint("e/", i), Value: []byte("ready"), Revision: at + 1}
		}
		require.True(t, b.Merge(fleetstate.Records{Items: items, Whole: true, To: at + 1}))
		require.Len(t, b.Roster.IDs(), 5000)
		require.True(t, b.Merge(fleetstate.Records{Whole: true, To: at + 2}))
		wait.For(t.Context(), removalBound)
		require.Empty(t, b.Roster.IDs())
	})
}
