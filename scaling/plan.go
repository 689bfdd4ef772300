// Package scaling decides how many on-demand and reclaimable endpoints a service
// should have in each data centre. It does no I/O.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
)

// Count is a number of endpoints of each kind.
type Count struct {
	OnDemand    int
	Reclaimable int
}

// Demand is the load that the boxes of one data centre have to carry for a service.
type Demand struct {
	// Tokens is the number of prompt tokens to prefill per second, and Running the number
	// of requests under way.
	Tokens  float64
	Running float64
}

// Policy holds the parameters of the decision. The scores in the comments of its fields
// are means over five simulated days with failures.
type Policy struct {
	// Surplus is the ratio of reclaimable endpoints to those that the load needs, after
	// the loss of those of one data centre. They cost a fifth of the price on demand. A
	// surplus of 1 instead of 1.5 lowers the score by 0.024.
	Surplus float64

	// ToleratedLosses is how many data centres may lose their reclaimable endpoints at once
	// while the remaining endpoints still carry the load. LossesAfterReclaim replaces it for
	// ReclaimWindow after a reclaim in any data centre, since reclaims come in waves, one
	// data centre after the other, and no replacements are available meanwhile. With 1
	// instead of 2 in that window the score is 0.012 lower.
	ToleratedLosses, LossesAfterReclaim int
	ReclaimWindow                       time.Duration

	// InsuredShare is the share of the endpoints needed for the load that must remain after
	// such losses. A share below 1 suffices, since an on-demand endpoint costs several times
	// a reclaimable one while it is not needed, and the missing ones start within seconds.
	// With 1 instead of 0.6 the score is 0.008 lower.
	InsuredShare float64

	// BaseShare is the share of the endpoints needed for the load that is always on demand,
	// since a cloud that is unreachable during a reclaim replaces nothing. With 0 instead of
	// 0.05 the score is 0.008 lower.
	BaseShare float64

	// MinEndpoints is how many endpoints the fleet needs whatever its load.
	MinEndpoints int
}

// Default is the policy in use. See docs/DESIGN.md for its values.
var Default = Policy{
	Surplus: 1.5, ToleratedLosses: 1, LossesAfterReclaim: 2, ReclaimWindow: 15 * time.Second,
	InsuredShare: 0.6, BaseShare: 0.05, MinEndpoints: 4,
}

// lateShare is the share of requests that may miss their objective because they wait at an
// endpoint for the prompts of other boxes, if routing sees none of those prompts.
// avoidableShare is the share of such waits that routing avoids if it sees all of them.
const (
	lateShare      = 0.08
	avoidableShare = 0.6
)

// LateShareOnDemand is the share of requests that may be late at on-demand endpoints,
// whatever routing sees. On-demand endpoints cost several times as much as reclaimable ones,
// but carry the load while those are not available: with 0.25 the score of a simulated day
// falls by 0.02 to 0.08 if all reclaimable endpoints are reclaimed.
const LateShareOnDemand = 0.15

// LateShareFor returns the share of late requests to allow in an estimate that assumes that
// routing sees no prompts of other boxes. Unobserved is the fraction of those prompts that
// routing does not see. The share grows as unobserved falls, since routing then avoids a part of
// the estimated waits.
func LateShareFor(unobserved float64) float64 { return lateShare / (1 - avoidableShare*(1-unobserved)) }

// Capacity is the sustainable load of one endpoint: Reclaimable where reclaimable endpoints
// carry the load, OnDemand where on-demand ones have to.
type Capacity struct {
	Reclaimable estimate.Capacity
	OnDemand    estimate.Capacity
}

// Site is the state of a service in one data centre.
type Site struct {
	DataCentre  string
	Demand      Demand
	Have        Count // serving endpoints
	Limited     Count // serving endpoints that accept a bounded rate of requests
	OutOfSupply bool  // no reclaimable endpoints are available now

	// SinceReclaim is the time since the start of the last reclaim of its reclaimable
	// endpoints.
	SinceReclaim time.Duration
}

// unlimited returns how many serving endpoints accept any rate of requests.
func (s *Site) unlimited() Count {
	return Count{s.Have.OnDemand - s.Limited.OnDemand, s.Have.Reclaimable - s.Limited.Reclaimable}
}

// usableReclaimable returns how many reclaimable endpoints carry load. Starting is how many
// there will be soon; it counts instead if it is larger and they are available.
func (s *Site) usableReclaimable(starting int) int {
	n := s.unlimited().Reclaimable
	if s.OutOfSupply {
		return n
	}
	return max(n, starting)
}

// Plan returns the wanted counts by data centre. It sizes all data centres as one fleet,
// since traffic between them is cheap compared with an endpoint. Sites must be sorted by
// price, the cheapest first.
//
// The load is carried by reclaimable endpoints, the same number in each data centre, and
// enough of them to lose those of one data centre. On-demand endpoints carry the rest of
// the load and the insured share of what further losses would leave uncovered. Endpoints
// that accept a bounded rate are counted in addition and carry none of the load: in a
// fleet with little to spare, the others would have to carry their share.
func (p Policy) Plan(s *catalog.Scaling, sites []Site, capacity Capacity) map[string]Count {
	if len(sites) == 0 {
		return map[string]Count{}
	}
	var all Demand
	for _, d := range sites {
		all.Tokens += d.Demand.Tokens
		all.Running += d.Demand.Running
	}
	reclaimableNeeded := max(endpointsFor(all, capacity.Reclaimable), p.MinEndpoints)
	onDemandNeeded := max(endpointsFor(all, capacity.OnDemand), p.MinEndpoints)
	perSite := ceil(p.Surplus * float64(reclaimableNeeded) / float64(max(len(sites)-1, 1)))
	// After a recent reclaim, only endpoints that serve are counted.
	minOnDemand := func(starting int) int {
		if p.reclaimedRecently(sites) {
			starting = 0
		}
		insured := ceil(p.InsuredShare*float64(onDemandNeeded)) - p.survivors(sites, starting)
		return max(onDemandNeeded-totalReclaimable(sites, starting), insured, ceil(p.BaseShare*float64(onDemandNeeded)))
	}
	keep, add := minOnDemand(0), minOnDemand(min(perSite, s.Max))
	out := p.spreadOnDemand(s, sites, keep, add)
	for _, d := range sites {
		c := out[d.DataCentre]
		c.OnDemand = min(c.OnDemand+d.Limited.OnDemand, s.Max)
		c.Reclaimable = min(max(perSite, s.Min-c.OnDemand)+d.Limited.Reclaimable, s.Max-c.OnDemand)
		out[d.DataCentre] = c
	}
	return out
}

// totalReclaimable returns how many reclaimable endpoints carry load in all data centres.
// Starting is how many each data centre will have soon.
func totalReclaimable(sites []Site, starting int) int {
	n := 0
	for i := range sites {
		n += sites[i].usableReclaimable(starting)
	}
	return n
}

// survivors returns how many reclaimable endpoints remain after the tolerated losses, in the
// worst case: the data centres with most of them lose theirs.
func (p Policy) survivors(sites []Site, starting int) int {
	losses := p.ToleratedLosses
	if p.reclaimedRecently(sites) {
		losses = p.LossesAfterReclaim
	}
	usable := make([]int, 0, len(sites))
	for i := range sites {
		usable = append(usable, sites[i].usableReclaimable(starting))
	}
	slices.Sort(usable)
	n := 0
	for _, h := range usable[:max(len(usable)-losses, 0)] {
		n += h
	}
	return n
}

// reclaimedRecently reports whether a reclaim in any data centre began within ReclaimWindow.
func (p Policy) reclaimedRecently(sites []Site) bool {
	return slices.ContainsFunc(sites, func(d Site) bool { return d.SinceReclaim < p.ReclaimWindow })
}

// spreadOnDemand distributes the on-demand endpoints over the data centres. It keeps up to
// keep endpoints that serve already, the cheapest first, and raises the total to add with
// new ones in the cheapest data centres that have room beside their reclaimable endpoints.
func (p Policy) spreadOnDemand(s *catalog.Scaling, sites []Site, keep, add int) map[string]Count {
	out := map[string]Count{}
	total := 0
	grow := func(d Site, to, most int) {
		c := out[d.DataCentre]
		n := max(min(to-total, most-c.OnDemand), 0)
		c.OnDemand += n
		total += n
		out[d.DataCentre] = c
	}
	for _, d := range sites {
		out[d.DataCentre] = Count{}
	}
	for _, d := range sites {
		grow(d, keep, min(d.unlimited().OnDemand, s.Max))
	}
	for _, d := range sites {
		grow(d, add, s.Max-d.Have.Reclaimable)
	}
	return out
}

func ceil(f float64) int { return int(math.Ceil(f)) }

// endpointsFor returns how many endpoints a load needs if each sustains c.
func endpointsFor(d Demand, c estimate.Capacity) int {
	return ceil(max(d.Tokens/max(c.TokensPerSecond, 1), d.Running/max(c.Running, 1)))
}

// DataCentres returns the data centres in which a service can be ordered, which are those
// that have a price, the cheapest first.
func DataCentres(s *catalog.Scaling) []string {
	return slices.SortedFunc(maps.Keys(s.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), cmp.Compare(a, b))
	})
}

// CountEndpoints returns how many of the endpoints es are in the data centre dc, by kind.
func CountEndpoints(es []endpoint.Endpoint, dc string) Count {
	var c Count
	for i := range es {
		switch {
		case es[i].DataCentre != dc:
		case es[i].Reclaimable:
			c.Reclaimable++
		default:
			c.OnDemand++
		}
	}
	return c
}
