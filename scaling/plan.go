// Package scaling decides how many endpoints of each kind a service should have
// in each data centre. It does no I/O.
package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
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
	// Base is how many endpoints on demand each data centre keeps when there is
	// more than nothing to do: what is left when the reclaimable ones go.
	Base int

	// Spare is how many endpoints a data centre has beyond what its load needs.
	Spare int

	// TokensPerEndpoint is the prompt tokens a second that an endpoint reads with
	// room for bursts; RunningPerEndpoint the requests that it runs well.
	TokensPerEndpoint  float64
	RunningPerEndpoint float64

	// Wary is how long after a reclaim a data centre's reclaimable endpoints are
	// not counted on.
	Wary time.Duration
}

// Default is the policy in use. An engine of the users' sheets reads 32,000
// tokens a second with nothing else to do; at 12,000 the wait for a first event
// stays well inside the objective (measured rounds in docs/DESIGN.md).
var Default = Policy{Base: 1, Spare: 1, TokensPerEndpoint: 12_000, RunningPerEndpoint: 40, Wary: 1500 * time.Millisecond}

// Site is what is known of a service in one data centre.
type Site struct {
	DataCentre string
	Demand     Demand
	Have       Count // that serve
	Dry        bool  // no reclaimable endpoint can be had now
	Reclaimed  bool  // its reclaimable endpoints are being taken
}

// Plan returns the wanted counts by data centre.
func (p Policy) Plan(s *catalog.Scaling, sites []Site) map[string]Count {
	out := map[string]Count{}
	for _, d := range sites {
		need := p.need(d.Demand)
		total := min(max(need+p.Spare, s.Min, p.Base), s.Max)
		c := Count{OnDemand: min(max(p.Base, s.Min), total)}
		c.Reclaimable = total - c.OnDemand
		if d.Reclaimed || d.Dry {
			// What is needed now cannot wait for reclaimable endpoints to come back.
			c.OnDemand = min(max(need, c.OnDemand), s.Max)
			c.Reclaimable = max(total-c.OnDemand, 0)
		}
		out[d.DataCentre] = c
	}
	return out
}

// need is how many endpoints a load takes.
func (p Policy) need(d Demand) int {
	a := d.Tokens / p.TokensPerEndpoint
	b := d.Running / p.RunningPerEndpoint
	return int(max(a, b) + 0.999)
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
