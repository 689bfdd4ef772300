package origin_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/origin"
)

func seconds(t time.Time) uint32 { return uint32(t.Unix()) }

func at(seconds uint32) time.Time { return time.Unix(int64(seconds), 0) }

func ExampleTable() {
	now := time.Now()
	t := origin.NewTable()
	t.Put(origin.Record{
		Stream: origin.Hash("request-1"), Expires: now.Add(time.Minute),
		Origin: origin.Origin{Service: "s", Version: "v1", Account: origin.Hash("a")},
	}, now)
	r, ok := t.Get(origin.Hash("request-1"), now)
	fmt.Println(r.Version, ok)
	_, ok = t.Get(origin.Hash("request-1"), now.Add(time.Hour))
	fmt.Println(ok)
	// Output:
	// v1 true
	// false
}

// Records survive packing, and bytes that are no whole record are ignored.
func TestPack(t *testing.T) {
	const count = 5
	rs, back := make([]origin.Record, 0, count), make([]origin.Record, 0, count)
	for i := range uint64(count) {
		rs = append(rs, origin.Record{
			Stream: i, Expires: at(100 + uint32(i)),
			Origin: origin.Origin{Service: "s", Version: fmt.Sprint("v", i%2), Account: i + 7},
		})
	}
	gs := origin.Pack(rs, seconds)
	require.Len(t, gs, 2)
	for _, g := range gs {
		g.Packed = append(g.Packed, 1, 2, 3)
		back = append(back, g.Unpack(at)...)
	}
	require.ElementsMatch(t, rs, back)
}

// Another account must not take a stream over by beginning one of the same ID.
func TestOtherAccountKeepsRecord(t *testing.T) {
	now := time.Now()
	tab := origin.NewTable()
	mine := origin.Record{Stream: 1, Expires: now.Add(time.Minute), Origin: origin.Origin{Service: "s", Version: "v1", Account: 1}}
	theirs := origin.Record{Stream: 1, Expires: now.Add(time.Hour), Origin: origin.Origin{Service: "s", Version: "v2", Account: 2}}
	tab.Put(mine, now)
	tab.Put(theirs, now)
	r, ok := tab.Get(1, now)
	require.True(t, ok)
	require.Equal(t, mine, r)
	tab.Put(theirs, now.Add(2*time.Minute))
	r, _ = tab.Get(1, now.Add(2*time.Minute))
	require.Equal(t, theirs, r)
}

// A table must not grow beyond its bound, and drops lapsed records first.
func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	tab := origin.NewTable()
	for i := range uint64(100_000) {
		tab.Put(origin.Record{Stream: i, Expires: now.Add(time.Hour)}, now)
	}
	require.LessOrEqual(t, tab.Len(), 1<<15)
	_, ok := tab.Get(99_999, now)
	require.True(t, ok)
	later := now.Add(2 * time.Hour)
	tab.Put(origin.Record{Stream: 1, Expires: later.Add(time.Hour)}, later)
	require.Equal(t, 1, tab.Len())
}

// BenchmarkRecordSize reports the memory of a record in bytes.
func BenchmarkRecordSize(b *testing.B) {
	var before, after runtime.MemStats
	now := time.Now()
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tab := origin.NewTable()
		for i := range uint64(10_000) {
			tab.Put(origin.Record{Stream: i * 7919, Expires: now.Add(time.Hour), Origin: origin.Origin{Service: "s", Version: "v1"}}, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10_000, "B/record")
		runtime.KeepAlive(tab)
	}
}
