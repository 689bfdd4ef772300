package scaling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/scaling"
)

var service = &catalog.Scaling{Min: 1, Max: 6, ReclaimablePrice: 0.2, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}

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

// While reclaimable endpoints serve, each data centre keeps its least on demand.
func TestReclaimableCarryTheLoad(t *testing.T) {
	d, r := total(scaling.Default.Plan(service, sites(20000, 3), 6))
	require.Equal(t, 3, d)
	require.Equal(t, 9, r)
}

// When they are gone, what the load needs is ordered on demand, where that is
// cheapest, and the reclaimable ones stay ordered.
func TestGoneAreReplaced(t *testing.T) {
	p := scaling.Default.Plan(service, sites(40000, 0), 6)
	d, r := total(p)
	require.Equal(t, 6, d)
	require.Positive(t, r)
	require.Equal(t, 4, p["a"].OnDemand)
}

// Those that are being taken are not counted on, though they still serve.
func TestReclaimedDoNotCount(t *testing.T) {
	s := sites(50000, 3)
	before, _ := total(scaling.Default.Plan(service, s, 6))
	for i := range s {
		s[i].Reclaimed = true
	}
	after, _ := total(scaling.Default.Plan(service, s, 6))
	require.Greater(t, after, before)
}

// Many boxes know less of each other, so endpoints get less to read.
func TestManyBoxes(t *testing.T) {
	few, _ := total(scaling.Default.Plan(service, sites(60000, 0), 6))
	many, _ := total(scaling.Default.Plan(service, sites(60000, 0), 80))
	require.Greater(t, many, few)
}

// After a reclaim anywhere the others are counted on less for a while.
func TestWary(t *testing.T) {
	s := sites(50000, 3)
	before, _ := total(scaling.Default.Plan(service, s, 6))
	s[0].Since = time.Second
	after, _ := total(scaling.Default.Plan(service, s, 6))
	require.Greater(t, after, before)
}

// Whatever the load, the bounds of each data centre hold.
func TestBounds(t *testing.T) {
	for _, tokens := range []float64{0, 1e4, 1e5, 1e6, 1e9} {
		for have := range 6 {
			for _, c := range scaling.Default.Plan(service, sites(tokens, have), 6) {
				require.GreaterOrEqual(t, c.OnDemand+c.Reclaimable, service.Min)
				require.LessOrEqual(t, c.OnDemand+c.Reclaimable, service.Max)
				require.GreaterOrEqual(t, c.Reclaimable, 0)
			}
		}
	}
}

// A burst orders reclaimable endpoints beyond the usual number.
func TestBurst(t *testing.T) {
	_, usual := total(scaling.Default.Plan(service, sites(10000, 3), 6))
	_, burst := total(scaling.Default.Plan(service, sites(80000, 3), 6))
	require.Greater(t, burst, usual)
}
