package known_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// The bound within which a change has to be known, and that of a record that
// lapsed during an outage.
const (
	applied = 2 * time.Second
	lapsed  = 2500 * time.Millisecond
)

var source = known.Source{
	ConfigKey: "config", EndpointsPrefix: "e/",
	Document: func(b []byte) (*catalog.Document, error) {
		var d catalog.Document
		return &d, json.Unmarshal(b, &d)
	},
	Endpoint: func(key string, b []byte) (endpoint.Endpoint, error) {
		if string(b) == "foreign" {
			return endpoint.Endpoint{}, endpoint.NewRecordError(endpoint.UnknownState, "foreign")
		}
		e := endpoint.Endpoint{ID: strings.TrimPrefix(key, "e/"), Service: "s", Draining: string(b) == "draining"}
		_, _ = fmt.Sscanf(string(b), "born %d", &e.StartMillis) // a record of another form says nothing of it
		return e, nil
	},
}

// box is one box's view of a store.
type box struct {
	*known.Known
	session *session.Session
	t       *testing.T
}

func start(t *testing.T, m *memstore.Memory) *box {
	t.Helper()
	s := session.New(m, zerolog.Nop())
	k := known.New(source, m, zerolog.Nop())
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

func run(t *testing.T, f func(t *testing.T, m *memstore.Memory, b *box)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Memory{}
		m.Set("config", `{"Version":3}`)
		m.Set("e/one", "ready")
		b := start(t, m)
		defer b.stop()
		wait.For(t.Context(), time.Second)
		require.True(t, b.Ready())
		f(t, m, b)
	})
}

// A change is in force within the bound, also when the store drops its history
// and tells the calls that wait nothing.
func TestChangeThatWatchesNeverHear(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		m.SetDeaf(true)
		m.Set("config", `{"Version":5}`)
		m.Unset("e/one")
		m.Forget()
		m.SetDeaf(false)
		wait.For(t.Context(), applied)
		require.EqualValues(t, 5, b.version())
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// A version never falls, whatever the store or a neighbour says.
func TestVersionNeverFalls(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		require.NoError(t, b.Install([]byte(`{"Version":9}`), "a neighbour"))
		m.Set("config", `{"Version":4}`)
		wait.For(t.Context(), applied)
		require.EqualValues(t, 9, b.version())
		require.NoError(t, b.Install([]byte(`{"Version":8}`), "a neighbour"))
		require.EqualValues(t, 9, b.version())
	})
}

// A configuration that cannot be read leaves the one in force.
func TestUnreadable(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		m.Set("config", `{"Version":`)
		wait.For(t.Context(), applied)
		require.EqualValues(t, 3, b.version())
		require.Error(t, b.Install([]byte("{"), "a neighbour"))
	})
}

// An endpoint that drains never serves again, even if an older record comes.
func TestDrainingIsFinal(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		m.Set("e/one", "draining")
		wait.For(t.Context(), applied)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applied)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Records that end while the store is away come back for a moment afterwards:
// the endpoint serves on meanwhile, and is gone if it has not come back.
func TestLapsedDuringOutage(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		m.Set("e/two", "ready")
		wait.For(t.Context(), applied)
		m.SetDown(true)
		wait.For(t.Context(), 4*time.Second)
		m.Unset("e/one")
		m.Unset("e/two")
		m.SetDown(false)
		wait.For(t.Context(), time.Second)
		require.Len(t, b.Roster.Serving("s"), 2)
		m.Set("e/two", "ready")
		wait.For(t.Context(), lapsed)
		es := b.Roster.Serving("s")
		require.Len(t, es, 1)
		require.Equal(t, "two", es[0].ID)
	})
}

// An endpoint that leaves without a word soon after an outage is known to be gone
// within the bound: only what is left of the time for records to come back counts.
func TestGoneSoonAfterOutage(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		m.SetDown(true)
		wait.For(t.Context(), 4*time.Second)
		m.SetDown(false)
		wait.For(t.Context(), 1700*time.Millisecond)
		m.Unset("e/one")
		wait.For(t.Context(), time.Second)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Without an outage a record that is gone means an endpoint that is gone.
func TestGoneAtOnce(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		wait.For(t.Context(), 2*lapsed)
		m.Unset("e/one")
		synctest.Wait()
		wait.For(t.Context(), 200*time.Millisecond)
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// Two changes came to a box at once, one of them all that there is up to an older revision: of
// 200 endpoints 182 were in the roster then, for good, though the records were whole:
//
//	relay false follows false revision 212 ids 182 records 200
//
// The list that was older was taken first, and what was missing in it was removed last, after
// the newer change had been entered.
func TestTwoChangesAtOnce(t *testing.T) {
	run(t, func(t *testing.T, _ *memstore.Memory, b *box) {
		b.Follow(false)
		wait.For(t.Context(), lapsed)
		at := b.Revision()
		newer := known.Records{Items: []store.Item{{Key: "e/three", Value: []byte("ready"), Revision: at + 6}}, From: at + 5, To: at + 6}
		b.Endpoint = func(key string, v []byte) (endpoint.Endpoint, error) {
			if key == "e/two" {
				b.Tell(newer)
			}
			return source.Endpoint(key, v)
		}
		b.Tell(known.Records{Items: []store.Item{
			{Key: "e/one", Value: []byte("ready"), Revision: at + 4}, {Key: "e/two", Value: []byte("ready"), Revision: at + 5},
		}, Whole: true, To: at + 5})
		b.Tell(newer)
		require.Equal(t, []string{"one", "three", "two"}, b.Roster.IDs())
	})
}

// A record that comes late is older than what is known of its key, and changes nothing, whoever
// tells it.
func TestLateRecord(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		at := b.Revision()
		item := func(value string, revision uint64) []store.Item {
			return []store.Item{{Key: "e/one", Value: []byte(value), Revision: revision}}
		}
		require.True(t, b.Tell(known.Records{Items: item("ready", at+5), From: at, To: at + 5}))
		require.True(t, b.Tell(known.Records{Items: item("draining", at+4), From: at, To: at + 6}))
		require.Len(t, b.Roster.Serving("s"), 1)
		require.True(t, b.Tell(known.Records{Items: []store.Item{{Key: "e/one", Revision: at + 7, Deleted: true}}, From: at + 6, To: at + 7}))
		require.True(t, b.Tell(known.Records{Items: item("ready", at+6), From: at + 7, To: at + 8}))
		require.Empty(t, b.Roster.Serving("s"))
	})
}

// A record that another wrote takes its endpoint out at once, though the record before was
// sound, and leaves the others. The endpoint is back once it has written its own again.
func TestForeign(t *testing.T) {
	run(t, func(t *testing.T, m *memstore.Memory, b *box) {
		var reasons []endpoint.Reason
		b.OnForeign = func(r endpoint.Reason) { reasons = append(reasons, r) }
		m.Set("e/two", "ready")
		wait.For(t.Context(), applied)
		m.Set("e/one", "foreign")
		wait.For(t.Context(), applied)
		es := b.Roster.Serving("s")
		require.Len(t, es, 1)
		require.Equal(t, "two", es[0].ID)
		require.Equal(t, []endpoint.Reason{endpoint.UnknownState}, reasons)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applied)
		require.Len(t, b.Roster.Serving("s"), 2)
	})
}

// A record lacked when its endpoint's process started, though those before it had said so. It was
// taken for another process under the ID: what was known of the one there, that it leaves among
// it, no longer held. Another has written such a record, and it names none to use, nor does a
// second one. A key that is gone begins anew.
func TestRecordWithoutItsBirth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reasons []endpoint.Reason
		var replaced int
		m := &memstore.Memory{}
		b := start(t, m)
		defer b.stop()
		b.OnForeign = func(r endpoint.Reason) { reasons = append(reasons, r) }
		b.Roster.OnReplaced(func(endpoint.Endpoint) { replaced++ })
		m.Set("e/one", "born 7")
		m.Set("e/other", "ready")
		wait.For(t.Context(), applied)
		require.Len(t, b.Roster.Serving("s"), 2)
		require.True(t, b.Roster.MarkDraining("one/7"))
		for range 2 {
			m.Set("e/one", "ready")
			wait.For(t.Context(), applied)
			require.Len(t, b.Roster.Serving("s"), 1)
		}
		require.Equal(t, []endpoint.Reason{endpoint.Missing, endpoint.Missing}, reasons)
		m.Set("e/one", "born 7")
		wait.For(t.Context(), applied)
		require.Len(t, b.Roster.Serving("s"), 1)
		require.Zero(t, replaced)
		m.Set("e/one", "born 8")
		wait.For(t.Context(), applied)
		require.Len(t, b.Roster.Serving("s"), 2)
		m.Unset("e/one")
		wait.For(t.Context(), applied)
		m.Set("e/one", "ready")
		wait.For(t.Context(), applied)
		require.Len(t, b.Roster.Serving("s"), 2)
	})
}

// BenchmarkReadAll enters the records of 10,000 endpoints into an empty box, with its log.
func BenchmarkReadAll(b *testing.B) {
	items := make([]store.Item, 10_000)
	for i := range items {
		items[i] = store.Item{Key: fmt.Sprint("e/", i), Value: []byte("ready"), Revision: uint64(i) + 1}
	}
	for b.Loop() {
		k := known.New(source, nil, zerolog.New(io.Discard).With().Timestamp().Str("box", "front-1").Logger())
		k.Tell(known.Records{Items: items, Whole: true, To: 10_000})
	}
}

// More endpoints go at once than it is kept of when they went; all of them are gone.
func TestManyGone(t *testing.T) {
	run(t, func(t *testing.T, _ *memstore.Memory, b *box) {
		b.Follow(false)
		wait.For(t.Context(), lapsed)
		at := b.Revision()
		items := make([]store.Item, 5000)
		for i := range items {
			items[i] = store.Item{Key: fmt.Sprint("e/", i), Value: []byte("ready"), Revision: at + 1}
		}
		require.True(t, b.Tell(known.Records{Items: items, Whole: true, To: at + 1}))
		require.Len(t, b.Roster.IDs(), 5000)
		require.True(t, b.Tell(known.Records{Whole: true, To: at + 2}))
		wait.For(t.Context(), lapsed)
		require.Empty(t, b.Roster.IDs())
	})
}
