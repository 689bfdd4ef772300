package scaling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/scaling"
)

var service = &catalog.Scaling{Min: 1, Max: 6, ReclaimablePriceRatio: 0.2, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}

// capacity is such that five endpoints carry 30,000 tokens per second in each of three data
// centres.
var capacity = equalCapacity(20_000)

// equalCapacity returns the same capacity for both kinds of endpoints.
func equalCapacity(tokens float64) scaling.Capacity {
	c := estimate.Capacity{TokensPerSecond: tokens, Running: 40}
	return scaling.Capacity{Reclaimable: c, OnDemand: c}
}

// sites returns three data centres that each have the same demand, one on-demand endpoint
// and the given number of reclaimable ones.
func sites(tokens float64, reclaimable int) []scaling.Site {
	dcs := scaling.DataCentres(service)
	out := make([]scaling.Site, 0, len(dcs))
	for _, dc := range dcs {
		out = append(out, scaling.Site{
			DataCentre: dc, Demand: scaling.Demand{Tokens: tokens}, Have: scaling.Count{OnDemand: 1, Reclaimable: reclaimable}, SinceReclaim: time.Hour,
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

func TestDataCentresByPrice(t *testing.T) {
	require.Equal(t, []string{"a", "c", "b"}, scaling.DataCentres(service))
}

// While reclaimable endpoints serve and there was no recent reclaim, only the base share is
// on demand, in the cheapest data centre, and there are enough reclaimable endpoints to lose
// those of any one data centre.
func TestReclaimableEndpointsCarryLoad(t *testing.T) {
	p := scaling.Default.Plan(service, sites(30000, 4), capacity)
	d, r := total(p)
	require.Equal(t, 1, d)
	require.Equal(t, 1, p["a"].OnDemand)
	require.Equal(t, 12, r)
}

// Starting endpoints count as capacity unless the cloud has no reclaimable ones left, so
// that fewer on-demand endpoints are added while they start.
func TestStartingEndpointsCount(t *testing.T) {
	d, _ := total(scaling.Default.Plan(service, sites(30000, 0), capacity))
	require.Equal(t, 3, d)
	s := sites(30000, 0)
	for i := range s {
		s[i].OutOfSupply = true
	}
	d, _ = total(scaling.Default.Plan(service, s, capacity))
	require.Equal(t, 5, d)
}

// On-demand endpoints that serve are kept until reclaimable ones serve in their place. The
// cheapest are given up last.
func TestOnDemandKeptUntilReplaced(t *testing.T) {
	s := sites(30000, 0)
	for i := range s {
		s[i].Have.OnDemand = 3
	}
	p := scaling.Default.Plan(service, s, capacity)
	d, _ := total(p)
	require.Equal(t, 5, d)
	require.Equal(t, scaling.Count{OnDemand: 3, Reclaimable: 3}, p["a"])
	for i := range s {
		s[i].Have.Reclaimable = 3
	}
	d, _ = total(scaling.Default.Plan(service, s, capacity))
	require.Equal(t, 1, d)
}

// After a reclaim, the endpoints that the load needs are ordered on demand, in the cheapest
// data centres that have room.
func TestReclaimedReplacedOnDemand(t *testing.T) {
	s := sites(40000, 0)
	for i := range s {
		s[i].SinceReclaim = time.Second
	}
	p := scaling.Default.Plan(service, s, capacity)
	d, r := total(p)
	require.Equal(t, 6, d)
	require.Positive(t, r)
	require.Equal(t, 4, p["a"].OnDemand)
}

// The fleet has more endpoints if each has a smaller capacity.
func TestSlowerEndpoints(t *testing.T) {
	_, fast := total(scaling.Default.Plan(service, sites(30000, 4), equalCapacity(20_000)))
	_, slow := total(scaling.Default.Plan(service, sites(30000, 4), equalCapacity(14_000)))
	require.Greater(t, slow, fast)
}

// A larger capacity of on-demand endpoints leads to fewer of them.
func TestOnDemandCapacity(t *testing.T) {
	s := sites(40000, 0)
	for i := range s {
		s[i].SinceReclaim = time.Second
	}
	equal, _ := total(scaling.Default.Plan(service, s, capacity))
	c := capacity
	c.OnDemand.TokensPerSecond *= 1.4
	fewer, _ := total(scaling.Default.Plan(service, s, c))
	require.Less(t, fewer, equal)
}

// Running requests count as load even if there are no prompt tokens to prefill.
func TestRunningRequestsCount(t *testing.T) {
	s := sites(0, 3)
	for i := range s {
		s[i].Demand.Running = 100
	}
	_, r := total(scaling.Default.Plan(service, s, capacity))
	require.GreaterOrEqual(t, r, 12)
}

// After a reclaim in one data centre, the fleet is sized for another one elsewhere.
func TestRecentReclaim(t *testing.T) {
	s := sites(50000, 3)
	before, _ := total(scaling.Default.Plan(service, s, capacity))
	s[0].SinceReclaim = time.Second
	after, _ := total(scaling.Default.Plan(service, s, capacity))
	require.Greater(t, after, before)
}

// While enough reclaimable endpoints serve, on-demand ones cover the insured share of the
// load after the tolerated losses. If too few serve, on-demand ones cover all of the rest.
func TestInsuredShare(t *testing.T) {
	s := sites(60000, 3) // nine endpoints carry the load, six of them insured
	s[0].SinceReclaim = time.Second
	d, _ := total(scaling.Default.Plan(service, s, capacity))
	require.Equal(t, 3, d)
	for i := range s[:2] {
		s[i].Have.Reclaimable = 0
	}
	s[2].Have.Reclaimable = 1
	d, _ = total(scaling.Default.Plan(service, s, capacity))
	require.Equal(t, 8, d)
}

// The share of late requests allowed to an estimate falls with the fraction of prompts that
// routing does not see.
func TestLateShare(t *testing.T) {
	require.InDelta(t, 0.2, scaling.LateShareFor(0), 1e-9)
	require.InDelta(t, 0.08, scaling.LateShareFor(1), 1e-9)
	require.Less(t, scaling.LateShareFor(0.7), scaling.LateShareFor(0.3))
}

// The counts of each data centre stay within its bounds whatever the load.
func TestBounds(t *testing.T) {
	for _, tokens := range []float64{0, 1e4, 1e5, 1e6, 1e9} {
		for have := range 6 {
			for _, c := range scaling.Default.Plan(service, sites(tokens, have), capacity) {
				require.GreaterOrEqual(t, c.OnDemand+c.Reclaimable, service.Min)
				require.LessOrEqual(t, c.OnDemand+c.Reclaimable, service.Max)
				require.GreaterOrEqual(t, c.Reclaimable, 0)
			}
		}
	}
}

// A burst of demand raises the number of reclaimable endpoints.
func TestBurst(t *testing.T) {
	_, usual := total(scaling.Default.Plan(service, sites(10000, 3), capacity))
	_, burst := total(scaling.Default.Plan(service, sites(80000, 3), capacity))
	require.Greater(t, burst, usual)
}
