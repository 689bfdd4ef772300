package endpoint_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

func fill(r *endpoint.Roster, n int) {
	for i := range n {
		r.Put(endpoint.Endpoint{ID: "e-" + strconv.Itoa(i), Service: "s", Address: "10.0.0.1:80", Slots: 96})
	}
}

// Put does no work per endpoint already known, so that reading all records takes linear time.
func TestPutCostIsConstant(t *testing.T) {
	var r endpoint.Roster
	fill(&r, 1000)
	require.Len(t, r.Serving("s"), 1000)
	e, _ := r.Get("e-500")
	require.LessOrEqual(t, testing.AllocsPerRun(100, func() {
		e.Slots++
		r.Put(e)
	}), 1.0)
}

// The list is rebuilt only after a change of its own service, and the old slice is not modified.
func TestServingIsCached(t *testing.T) {
	var r endpoint.Roster
	fill(&r, 3)
	first := r.Serving("s")
	e, _ := r.Get("e-1")
	r.Put(e)
	r.Put(endpoint.Endpoint{ID: "other", Service: "t"})
	require.Same(t, &first[0], &r.Serving("s")[0])
	r.Remove("e-1")
	require.Len(t, r.Serving("s"), 2)
	require.Len(t, first, 3)
	r.Put(endpoint.Endpoint{ID: "e-0", Service: "t"})
	require.Len(t, r.Serving("s"), 1)
	require.Len(t, r.Serving("t"), 2)
}

// A draining endpoint never serves again, whatever later records say.
func TestDrainingIsPermanent(t *testing.T) {
	var r endpoint.Roster
	left := 0
	r.OnUnavailable(func(endpoint.Endpoint) { left++ })
	fill(&r, 2)
	require.Len(t, r.Serving("s"), 2)
	r.Put(endpoint.Endpoint{ID: "e-0", Service: "s", Draining: true})
	fill(&r, 2)
	require.Len(t, r.Serving("s"), 1)
	r.Remove("e-0")
	r.Remove("e-1")
	require.Equal(t, 2, left)
	require.Empty(t, r.Serving("s"))
}

// A process that starts under the ID of a draining or terminated one is a different endpoint: it
// serves, and the old incarnation is reported as replaced.
func TestRestartUnderSameID(t *testing.T) {
	var r endpoint.Roster
	var replaced []string
	r.OnReplaced(func(e endpoint.Endpoint) { replaced = append(replaced, e.Incarnation()) })
	first := endpoint.Endpoint{ID: "e", StartMillis: 1, Service: "s", Draining: true}
	second := endpoint.Endpoint{ID: "e", StartMillis: 2, Service: "s"}
	r.Put(first)
	require.Empty(t, r.Serving("s"))
	r.Put(second)
	require.Len(t, r.Serving("s"), 1)
	require.Equal(t, []string{first.Incarnation()}, replaced)
	r.Put(second)
	require.Len(t, replaced, 1)
}

// BenchmarkFill measures reading all records followed by one request.
func BenchmarkFill(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var r endpoint.Roster
				fill(&r, n)
				r.Serving("s")
			}
		})
	}
}
