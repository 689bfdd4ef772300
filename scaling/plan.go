// Package scaling decides how many endpoints of each kind a service should have
// in each data centre. It does no I/O.
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

// Demand is what one data centre's boxes have to carry for a service.
type Demand struct {
	// Tokens is the prompt tokens that have to be read a second, and Running the
	// requests under way.
	Tokens  float64
	Running float64
}

// Policy holds the figures of the decision.
type Policy struct {
	// Surplus is how many reclaimable endpoints there are, with one data centre's
	// taken away, for each that the load needs. They cost a fifth; with 1 in place of
	// 1.5 the mean worth of five days with trouble is 0.024 less.
	Surplus float64

	// Lost is how many data centres' reclaimable endpoints may go at once with the
	// rest still carrying the load; WaryLost is that number for Wary after a reclaim
	// anywhere: reclaims come in waves, one data centre after the other, and none can
	// be had meanwhile. With 1 then as well the same mean is 0.012 less.
	Lost, WaryLost int
	Wary           time.Duration

	// Insured is the part of what the load needs that remains when those data centres
	// lose theirs: an endpoint on demand costs several times a reclaimable one for as
	// long as it waits for a loss, and the rest starts within seconds. With 1 the same
	// mean is 0.008 less.
	Insured float64

	// BasePart is the part of what the load needs that is on demand whatever else
	// there is: a cloud that is away when reclaims come replaces nothing. With none the
	// same mean is 0.008 less.
	BasePart float64

	// Least is how many endpoints the fleet needs, whatever its load.
	Least int
}

// Default is the policy in use; its figures are measured in rounds (docs/DESIGN.md).
var Default = Policy{Surplus: 1.5, Lost: 1, WaryLost: 2, Wary: 15 * time.Second, Insured: 0.6, BasePart: 0.05, Least: 4}

// late is the part of the requests that may miss their objective for having waited at
// an endpoint for the prompts of others, where choices know nothing of those; heardPart
// is the part of such waits that a choice avoids which knows of all prompts.
const (
	late      = 0.08
	heardPart = 0.6
)

// LateOnDemand is the same part for endpoints on demand, whatever choices know. They
// cost several times as much, and carry the load when reclaimable ones cannot be had:
// with 0.25 the whole day's worth falls by 0.02 to 0.08 where all of those are gone.
const LateOnDemand = 0.15

// Late returns the part of the requests that may wait too long by an estimate that
// takes choices to know nothing of others' prompts, where they do not know of a part.
func Late(blind float64) float64 { return late / (1 - heardPart*(1-blind)) }

// Bears is what one endpoint bears, where reclaimable endpoints carry the load and
// where it takes others.
type Bears struct {
	Reclaimable estimate.Capacity
	OnDemand    estimate.Capacity
}

// Site is what is known of a service in one data centre.
type Site struct {
	DataCentre string
	Demand     Demand
	Have       Count // that serve
	Limited    Count // of them, those that take a bounded rate of requests
	Dry        bool  // no reclaimable endpoint can be had now

	// Since is how long ago its reclaimable endpoints began to be taken.
	Since time.Duration
}

// free is how many endpoints there take any rate.
func (d *Site) free() Count {
	return Count{d.Have.OnDemand - d.Limited.OnDemand, d.Have.Reclaimable - d.Limited.Reclaimable}
}

// reclaimable is how many reclaimable endpoints carry load there, or coming if that is more
// and they can be had.
func (d *Site) reclaimable(coming int) int {
	n := d.free().Reclaimable
	if d.Dry {
		return n
	}
	return max(n, coming)
}

// Plan returns the wanted counts by data centre. Bytes between data centres cost
// little against an endpoint, so the fleet is one. The load is carried by
// reclaimable endpoints, as many in each data centre, with enough of them that
// those of one may go. On demand is had what they do not carry, and of what would be
// missing after such a loss the part that is insured. Endpoints that take a bounded rate
// carry none of the load, and are counted besides: a fleet that has few to spare would
// leave theirs to the others.
// Sites are in the order of their price; bears is what one endpoint
// bears.
func (p Policy) Plan(s *catalog.Scaling, sites []Site, bears Bears) map[string]Count {
	if len(sites) == 0 {
		return map[string]Count{}
	}
	var all Demand
	for _, d := range sites {
		all.Tokens += d.Demand.Tokens
		all.Running += d.Demand.Running
	}
	want := max(need(all, bears.Reclaimable), p.Least)
	must := max(need(all, bears.OnDemand), p.Least)
	each := ceil(p.Surplus * float64(want) / float64(max(len(sites)-1, 1)))
	// Where some were taken lately, none is counted that does not serve yet.
	least := func(coming int) int {
		if p.wary(sites) {
			coming = 0
		}
		insured := ceil(p.Insured*float64(must)) - p.survivors(sites, coming)
		return max(must-serving(sites, coming), insured, ceil(p.BasePart*float64(must)))
	}
	keep, add := least(0), least(min(each, s.Max))
	out := p.onDemand(s, sites, keep, add)
	for _, d := range sites {
		c := out[d.DataCentre]
		c.OnDemand = min(c.OnDemand+d.Limited.OnDemand, s.Max)
		c.Reclaimable = min(max(each, s.Min-c.OnDemand)+d.Limited.Reclaimable, s.Max-c.OnDemand)
		out[d.DataCentre] = c
	}
	return out
}

// serving is how many reclaimable endpoints serve. While they can be had, coming is how
// many each data centre has soon, if it does not yet.
func serving(sites []Site, coming int) int {
	n := 0
	for i := range sites {
		n += sites[i].reclaimable(coming)
	}
	return n
}

// survivors is how many of those remain when the data centres that have most of them
// lose theirs.
func (p Policy) survivors(sites []Site, coming int) int {
	lost := p.Lost
	if p.wary(sites) {
		lost = p.WaryLost
	}
	have := make([]int, 0, len(sites))
	for i := range sites {
		have = append(have, sites[i].reclaimable(coming))
	}
	slices.Sort(have)
	n := 0
	for _, h := range have[:max(len(have)-lost, 0)] {
		n += h
	}
	return n
}

// wary reports whether reclaimable endpoints were taken lately anywhere.
func (p Policy) wary(sites []Site) bool {
	return slices.ContainsFunc(sites, func(d Site) bool { return d.Since < p.Wary })
}

// onDemand spreads the endpoints on demand, of which there are as many as keep for
// those that serve and as add with others. Those that serve are kept, the cheapest
// first; others are added where that is cheapest and there is room beside the
// reclaimable ones.
func (p Policy) onDemand(s *catalog.Scaling, sites []Site, keep, add int) map[string]Count {
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
		grow(d, keep, min(d.free().OnDemand, s.Max))
	}
	for _, d := range sites {
		grow(d, add, s.Max-d.Have.Reclaimable)
	}
	return out
}

func ceil(f float64) int { return int(math.Ceil(f)) }

// need is how many endpoints a load takes.
func need(d Demand, b estimate.Capacity) int {
	return ceil(max(d.Tokens/max(b.TokensPerSecond, 1), d.Running/max(b.Running, 1)))
}

// DataCentres returns where a service can be ordered: the priced ones, the
// cheapest first.
func DataCentres(s *catalog.Scaling) []string {
	return slices.SortedFunc(maps.Keys(s.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), cmp.Compare(a, b))
	})
}

// Serving counts the endpoints of one data centre that take work.
func Serving(es []endpoint.Endpoint, dc string) Count {
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
