package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

// fillDataCentres adds n endpoints of a service, distributed evenly over five data centres.
func fillDataCentres(r *endpoint.Roster, n int) {
	for i := range n {
		r.Put(endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "s", DataCentre: fmt.Sprint("dc", i%5)})
	}
}

func ids(es []endpoint.Endpoint) []string {
	out := make([]string, len(es))
	for i := range es {
		out[i] = es[i].ID
	}
	return out
}

func countIn(es []endpoint.Endpoint, dc string) int {
	n := 0
	for i := range es {
		if es[i].DataCentre == dc {
			n++
		}
	}
	return n
}

// In a small fleet a box uses all endpoints; in one of 10,000 it uses 128, half of them in its own
// data centre.
func TestSubset(t *testing.T) {
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	fillDataCentres(&r, 128)
	subset, complete := r.Subset("s")
	require.True(t, complete)
	require.Equal(t, ids(r.Serving("s")), ids(subset))
	require.Nil(t, r.UsedEndpoints())
	fillDataCentres(&r, 10_000)
	subset, complete = r.Subset("s")
	require.False(t, complete)
	require.Len(t, subset, 128)
	require.Equal(t, 64, countIn(subset, "dc1"))
	require.Equal(t, ids(subset), r.UsedEndpoints())
}

// A box whose data centre has few endpoints uses all of them, and more in other data centres.
func TestSubsetWithFewLocalEndpoints(t *testing.T) {
	r := endpoint.Roster{Box: "b", DataCentre: "far"}
	fillDataCentres(&r, 1000)
	r.Put(endpoint.Endpoint{ID: "near", Service: "s", DataCentre: "far"})
	subset, _ := r.Subset("s")
	require.Len(t, subset, 128)
	require.Equal(t, 1, countIn(subset, "far"))
	r.Put(endpoint.Endpoint{ID: "nearer", Service: "s", DataCentre: "far"})
	subset, _ = r.Subset("s")
	require.Equal(t, 2, countIn(subset, "far"))
}

// The subsets of the boxes of a data centre cover its endpoints: of 197 boxes, 10 to 53 use each of
// the 400 endpoints; an even distribution would be 31.5.
func TestSubsetsCoverFleet(t *testing.T) {
	boxes := map[string]int{}
	for i := range 197 {
		r := endpoint.Roster{Box: fmt.Sprint("box", i), DataCentre: "dc0"}
		fillDataCentres(&r, 2000)
		subset, _ := r.Subset("s")
		for _, e := range subset {
			boxes[e.ID]++
		}
	}
	require.Len(t, boxes, 2000)
	for i := range 400 {
		n := boxes[fmt.Sprint("e", 5*i)]
		require.InDelta(t, 31.5, n, 22)
	}
}

// The subset depends only on the current endpoints and not on the order of changes before, so that
// one change replaces few endpoints of the subset.
func TestSubsetIsStable(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 0))
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	fillDataCentres(&r, 300)
	changed := 0
	before, _ := r.Subset("s")
	for step := range 2000 {
		e := endpoint.Endpoint{ID: fmt.Sprint("e", rnd.IntN(400)), Service: "s", StartMillis: int64(step), Slots: step}
		e.DataCentre = fmt.Sprint("dc", rnd.IntN(5))
		switch rnd.IntN(4) {
		case 0:
			r.Remove(e.ID)
		case 1:
			r.MarkDraining(e.ID)
		default:
			r.Put(e)
		}
		subset, _ := r.Subset("s")
		fresh := endpoint.Roster{Box: "b", DataCentre: "dc1"}
		for _, x := range r.Serving("s") {
			fresh.Put(x)
		}
		want, _ := fresh.Subset("s")
		require.Equal(t, want, subset, "step %d", step)
		preferred, ok := r.Preferred("s", "key")
		other, _ := fresh.Preferred("s", "key")
		require.True(t, ok)
		require.Equal(t, other, preferred)
		for _, id := range ids(subset) {
			if !slices.Contains(ids(before), id) {
				changed++
			}
		}
		before = subset
	}
	require.Less(t, changed, 2*2000)
}

// BenchmarkHome measures Preferred with 10,000 endpoints.
func BenchmarkHome(b *testing.B) {
	var r endpoint.Roster
	fillDataCentres(&r, 10_000)
	b.ReportAllocs()
	for b.Loop() {
		r.Preferred("s", "key")
	}
}

// BenchmarkPart measures rebuilding the subset of 10,000 endpoints.
func BenchmarkPart(b *testing.B) {
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	fillDataCentres(&r, 10_000)
	subset, _ := r.Subset("s")
	e := subset[0]
	b.ReportAllocs()
	for b.Loop() {
		e.Slots++
		r.Put(e)
		r.Subset("s")
	}
}
