package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

// spread enters endpoints of a service, dealt over five data centres.
func spread(r *endpoint.Roster, n int) {
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

func own(es []endpoint.Endpoint, dc string) int {
	n := 0
	for i := range es {
		if es[i].DataCentre == dc {
			n++
		}
	}
	return n
}

// In a small fleet a box works with all endpoints; in one of 10,000 with 128, half of them nearby.
func TestPart(t *testing.T) {
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	spread(&r, 128)
	part, whole := r.Part("s")
	require.True(t, whole)
	require.Equal(t, ids(r.Serving("s")), ids(part))
	require.Nil(t, r.WorksWith())
	spread(&r, 10_000)
	part, whole = r.Part("s")
	require.False(t, whole)
	require.Len(t, part, 128)
	require.Equal(t, 64, own(part, "dc1"))
	require.Equal(t, ids(part), r.WorksWith())
}

// A box whose data centre has few endpoints works with them and with more of the others'.
func TestPartWithFewNearby(t *testing.T) {
	r := endpoint.Roster{Box: "b", DataCentre: "far"}
	spread(&r, 1000)
	r.Put(endpoint.Endpoint{ID: "near", Service: "s", DataCentre: "far"})
	part, _ := r.Part("s")
	require.Len(t, part, 128)
	require.Equal(t, 1, own(part, "far"))
	r.Put(endpoint.Endpoint{ID: "nearer", Service: "s", DataCentre: "far"})
	part, _ = r.Part("s")
	require.Equal(t, 2, own(part, "far"))
}

// What the boxes of a data centre work with covers its endpoints: of 197 boxes 10 to 53 work with
// each of 400, where 31.5 would be even.
func TestPartsCoverTheFleet(t *testing.T) {
	boxes := map[string]int{}
	for i := range 197 {
		r := endpoint.Roster{Box: fmt.Sprint("box", i), DataCentre: "dc0"}
		spread(&r, 2000)
		part, _ := r.Part("s")
		for _, e := range part {
			boxes[e.ID]++
		}
	}
	require.Len(t, boxes, 2000)
	for i := range 400 {
		n := boxes[fmt.Sprint("e", 5*i)]
		require.InDelta(t, 31.5, n, 22)
	}
}

// However endpoints come, drain and go, a box works with those that it would with if it had just
// read them all, so that few change with each.
func TestPartStays(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 0))
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	spread(&r, 300)
	changed := 0
	before, _ := r.Part("s")
	for step := range 2000 {
		e := endpoint.Endpoint{ID: fmt.Sprint("e", chance.IntN(400)), Service: "s", Born: int64(step), Slots: step}
		e.DataCentre = fmt.Sprint("dc", chance.IntN(5))
		switch chance.IntN(4) {
		case 0:
			r.Remove(e.ID)
		case 1:
			r.Leave(e.ID)
		default:
			r.Put(e)
		}
		part, _ := r.Part("s")
		fresh := endpoint.Roster{Box: "b", DataCentre: "dc1"}
		for _, x := range r.Serving("s") {
			fresh.Put(x)
		}
		want, _ := fresh.Part("s")
		require.Equal(t, want, part, "step %d", step)
		home, ok := r.Home("s", "key")
		other, _ := fresh.Home("s", "key")
		require.True(t, ok)
		require.Equal(t, other, home)
		for _, id := range ids(part) {
			if !slices.Contains(ids(before), id) {
				changed++
			}
		}
		before = part
	}
	require.Less(t, changed, 2*2000)
}

// BenchmarkHome finds the home of a key among 10,000 endpoints.
func BenchmarkHome(b *testing.B) {
	var r endpoint.Roster
	spread(&r, 10_000)
	b.ReportAllocs()
	for b.Loop() {
		r.Home("s", "key")
	}
}

// BenchmarkPart makes a part of 10,000 endpoints anew.
func BenchmarkPart(b *testing.B) {
	r := endpoint.Roster{Box: "b", DataCentre: "dc1"}
	spread(&r, 10_000)
	part, _ := r.Part("s")
	e := part[0]
	b.ReportAllocs()
	for b.Loop() {
		e.Slots++
		r.Put(e)
		r.Part("s")
	}
}
