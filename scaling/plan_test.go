package scaling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/scaling"
)

var service = &catalog.Scaling{Min: 1, Max: 6, ReclaimablePrice: 0.2, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}

// bears is what an endpoint bears of a load of 30,000 tokens a second in each data
// centre: five carry it.
var bears = both(20_000)

func both(tokens float64) scaling.Bears {
	b := estimate.Capacity{TokensPerSecond: tokens, Running: 40}
	return scaling.Bears{Reclaimable: b, OnDemand: b}
}

// sites returns three data centres with the same demand each.
func sites(tokens float64, reclaimable int) []scaling.Site {
	dcs := scaling.DataCentres(service)
	out := make([]scaling.Site, 0, len(dcs))
	for _, dc := range dcs {
		out = append(out, scaling.Site{
			DataCentre: dc, Demand: scaling.Demand{Tokens: tokens}, Have: scaling.Count{OnDemand: 1, Reclaimable: reclaimable}, Since: time.Hour,
		})
	}
	return out
}

func total(m map[string]scaling.Count) (onDemand, reclaimable int) {
	for _, c := range m {
		onDemand += c.OnDemand
		reclaimable += c.Reclaimable
	}
	return onDemand, reclaimable
}

func TestCheapestFirst(t *testing.T) {
	require.Equal(t, []string{"a", "c", "b"}, scaling.DataCentres(service))
}

// While reclaimable endpoints serve and none was taken lately, the fleet keeps its
// base on demand, where that is cheapest, and there are enough reclaimable ones
// without those of any one data centre.
func TestReclaimableCarryTheLoad(t *testing.T) {
	p := scaling.Default.Plan(service, sites(30000, 4), bears)
	d, r := total(p)
	require.Equal(t, 1, d)
	require.Equal(t, 1, p["a"].OnDemand)
	require.Equal(t, 12, r)
}

// Those that are ordered and on their way are counted on while they can be had, so
// that nothing is added to what serves on demand.
func TestComingCount(t *testing.T) {
	d, _ := total(scaling.Default.Plan(service, sites(30000, 0), bears))
	require.Equal(t, 3, d)
	s := sites(30000, 0)
	for i := range s {
		s[i].Dry = true
	}
	d, _ = total(scaling.Default.Plan(service, s, bears))
	require.Equal(t, 5, d)
}

// Endpoints on demand that serve are kept until reclaimable ones serve in their
// place, the cheapest last.
func TestKeptUntilReplaced(t *testing.T) {
	s := sites(30000, 0)
	for i := range s {
		s[i].Have.OnDemand = 3
	}
	p := scaling.Default.Plan(service, s, bears)
	d, _ := total(p)
	require.Equal(t, 5, d)
	require.Equal(t, scaling.Count{OnDemand: 3, Reclaimable: 3}, p["a"])
	for i := range s {
		s[i].Have.Reclaimable = 3
	}
	d, _ = total(scaling.Default.Plan(service, s, bears))
	require.Equal(t, 1, d)
}

// When reclaimable endpoints are gone, what the load needs is ordered on demand,
// where that is cheapest and there is room.
func TestGoneAreReplaced(t *testing.T) {
	s := sites(40000, 0)
	for i := range s {
		s[i].Since = time.Second
	}
	p := scaling.Default.Plan(service, s, bears)
	d, r := total(p)
	require.Equal(t, 6, d)
	require.Positive(t, r)
	require.Equal(t, 4, p["a"].OnDemand)
}

// Slower endpoints bear less, so there are more of them.
func TestSlowerEndpoints(t *testing.T) {
	_, fast := total(scaling.Default.Plan(service, sites(30000, 4), both(20_000)))
	_, slow := total(scaling.Default.Plan(service, sites(30000, 4), both(14_000)))
	require.Greater(t, slow, fast)
}

// Endpoints on demand cost several times as much, and are given more to do.
func TestOnDemandBearsMore(t *testing.T) {
	s := sites(40000, 0)
	for i := range s {
		s[i].Since = time.Second
	}
	even, _ := total(scaling.Default.Plan(service, s, bears))
	b := bears
	b.OnDemand.TokensPerSecond *= 1.4
	fewer, _ := total(scaling.Default.Plan(service, s, b))
	require.Less(t, fewer, even)
}

// What runs counts as well as what is read.
func TestRunningCounts(t *testing.T) {
	s := sites(0, 3)
	for i := range s {
		s[i].Demand.Running = 100
	}
	_, r := total(scaling.Default.Plan(service, s, bears))
	require.GreaterOrEqual(t, r, 12)
}

// After a reclaim anywhere, that of another data centre is provided for.
func TestWary(t *testing.T) {
	s := sites(50000, 3)
	before, _ := total(scaling.Default.Plan(service, s, bears))
	s[0].Since = time.Second
	after, _ := total(scaling.Default.Plan(service, s, bears))
	require.Greater(t, after, before)
}

// While enough reclaimable endpoints serve, on demand is had the part that is insured of
// what the next losses would leave missing; when they do not, all that is missing is.
func TestInsured(t *testing.T) {
	s := sites(60000, 3) // nine endpoints carry the load, of which six are insured
	s[0].Since = time.Second
	d, _ := total(scaling.Default.Plan(service, s, bears))
	require.Equal(t, 3, d)
	for i := range s[:2] {
		s[i].Have.Reclaimable = 0
	}
	s[2].Have.Reclaimable = 1
	d, _ = total(scaling.Default.Plan(service, s, bears))
	require.Equal(t, 8, d)
}

// The less choices know of others' prompts, the less an endpoint is given.
func TestLate(t *testing.T) {
	require.InDelta(t, 0.2, scaling.Late(0), 1e-9)
	require.InDelta(t, 0.08, scaling.Late(1), 1e-9)
	require.Less(t, scaling.Late(0.7), scaling.Late(0.3))
}

// Whatever the load, the bounds of each data centre hold.
func TestBounds(t *testing.T) {
	for _, tokens := range []float64{0, 1e4, 1e5, 1e6, 1e9} {
		for have := range 6 {
			for _, c := range scaling.Default.Plan(service, sites(tokens, have), bears) {
				require.GreaterOrEqual(t, c.OnDemand+c.Reclaimable, service.Min)
				require.LessOrEqual(t, c.OnDemand+c.Reclaimable, service.Max)
				require.GreaterOrEqual(t, c.Reclaimable, 0)
			}
		}
	}
}

// A burst orders reclaimable endpoints beyond the usual number.
func TestBurst(t *testing.T) {
	_, usual := total(scaling.Default.Plan(service, sites(10000, 3), bears))
	_, burst := total(scaling.Default.Plan(service, sites(80000, 3), bears))
	require.Greater(t, burst, usual)
}
