package placement

import (
	"cmp"
	"math"
	"slices"

	"birchlink.dev/birchlink/cloud"
)

// stopMargin is how much more than the demand, in slots, is held before a box is
// given back; it keeps the plan from swinging.
const stopMargin = 2.0

// minOnDemandShare is the part of the demand that must be carried without any
// reclaimable box.
const minOnDemandShare = 0.3

// maxOnDemandShare is how much of the demand is carried without reclaimable boxes when
// only recomputed tokens count, and nothing that boxes cost.
const maxOnDemandShare = 0.7

// minCostRatio is by how much the work of a box must cost more than that of one that
// can be had before the one is given up for the other.
const minCostRatio = 1.25

// releaseExpensive marks one box to be given back: the dearest for its work, if boxes
// that cost much less stand ready or can be had, and the demand is carried
// without it. While it is not, such a box is asked for first.
func (p *planner) releaseExpensive() {
	i := p.mostExpensive()
	if i < 0 {
		return
	}
	e := p.engines[i]
	want := p.wantedSlots()
	all, kept := p.slots()
	if !e.Reclaimable && (kept <= float64(e.Slots) || kept-float64(e.Slots) < want*p.onDemandShare()) {
		return
	}
	if all-float64(e.Slots) >= want {
		e.released = true
		return
	}
	p.startBoxes(float64(e.Slots), func(q cloud.Price) bool { return p.offerUnitCost(q)*minCostRatio < e.unitCost })
}

// mostExpensive returns the box whose work costs most, if that is much more than that
// of the cheapest kind that can be had; it is -1 otherwise.
func (p *planner) mostExpensive() int {
	cheapest := math.Inf(1)
	for _, q := range p.in.Prices {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		if q.DataCentre == p.in.DataCentre && q.Supply > 0 && (!q.Reclaimable || !p.onDemandOnly) && !slices.Contains(p.in.Refused, s) && !p.isTooSlow(q.Class) {
			cheapest = min(cheapest, p.offerUnitCost(q))
		}
	}
	best := -1
	for i, e := range p.engines {
		swap := e.unitCost > cheapest*minCostRatio
		if swap && (best < 0 || e.unitCost > p.engines[best].unitCost) {
			best = i
		}
	}
	return best
}

// isTooSlow reports whether a class misses the target between tokens.
func (p *planner) isTooSlow(class string) bool {
	return p.class(class).TokensPerSecond*p.in.Document.Targets.BetweenTokens.Seconds() < 1
}

// wantedSlots is how many slots the demand takes.
func (p *planner) wantedSlots() float64 {
	var want float64
	for _, d := range p.in.Demand {
		want += d * headroom
	}
	return want
}

// onDemandShare is the part of the demand that is carried without reclaimable boxes.
func (p *planner) onDemandShare() float64 {
	t := p.in.Document.Targets
	both := t.RecomputeWeight + t.CostWeight
	if both == 0 {
		return minOnDemandShare
	}
	return max(minOnDemandShare, t.RecomputeWeight/both*maxOnDemandShare)
}

// planBoxes decides which boxes to ask for and which to give back, cheapest first.
func (p *planner) planBoxes() {
	want := p.wantedSlots()
	slots, kept := p.slots()
	p.addCost()
	// One box that no reclaim takes is kept whatever the demand.
	if least := max(want*p.onDemandShare(), 1); kept < least {
		got := p.startBoxes(least-kept, func(q cloud.Price) bool { return !q.Reclaimable })
		slots += got
	}
	if slots < want {
		got := p.startBoxes(want-slots, func(q cloud.Price) bool { return !q.Reclaimable || !p.onDemandOnly })
		if got < want-slots {
			p.plan.Unmet = append(p.plan.Unmet, Unmet{Reason: "the cloud has no more boxes for the demand"})
		}
		return
	}
	p.stopBox(slots, want)
}

func (p *planner) slots() (all, kept float64) {
	for _, e := range p.engines {
		all += float64(e.Slots)
		if !e.Reclaimable {
			kept += float64(e.Slots)
		}
	}
	return all, kept
}

func (p *planner) onDemandSlots() float64 {
	_, kept := p.slots()
	return kept
}

// class returns what engines of a class can do. One that was never measured is
// taken for the mean.
func (p *planner) class(name string) Class {
	if c, ok := p.in.Classes[name]; ok && c.Slots > 0 {
		return c
	}
	return Class{Slots: defaultSlots, TokensPerSecond: defaultTokensPerSecond}
}

const (
	defaultSlots           = 8
	defaultTokensPerSecond = 40
)

// startBoxes asks for boxes with so many slots together, of the kinds that cost
// least for their work, are fast enough, have supply and were not refused. It
// returns the slots asked for.
func (p *planner) startBoxes(need float64, ok func(cloud.Price) bool) float64 {
	ps := slices.Clone(p.in.Prices)
	slices.SortStableFunc(ps, func(a, b cloud.Price) int { return cmp.Compare(p.offerUnitCost(a), p.offerUnitCost(b)) })
	got := 0.0
	for _, q := range ps {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		c := p.class(q.Class)
		if q.DataCentre != p.in.DataCentre || p.isTooSlow(q.Class) || !ok(q) || slices.Contains(p.in.Refused, s) {
			continue
		}
		for n := p.startCount(s); n < q.Supply && got < need; n++ {
			p.plan.Start = append(p.plan.Start, s)
			p.plan.Cost += q.PerHour
			got += float64(c.Slots)
		}
	}
	return got
}

// startCount counts the boxes of a kind that the plan already asks for.
func (p *planner) startCount(s cloud.Start) int {
	n := 0
	for _, o := range p.plan.Start {
		if o == s {
			n++
		}
	}
	return n
}

// offerUnitCost is what a kind of box costs for the work that it does.
func (p *planner) offerUnitCost(q cloud.Price) float64 {
	c := p.class(q.Class)
	return q.PerHour / (float64(c.Slots) * c.TokensPerSecond)
}

// stopBox gives back the dearest box that holds nothing wanted: one that is shed,
// or one without which the demand is still carried well.
func (p *planner) stopBox(slots, want float64) {
	var free []*engine
	for _, e := range p.engines {
		idle := len(e.planned) == 0 && e.Running == 0 && e.Waiting == 0
		empty := !slices.ContainsFunc(e.Loaded, func(w string) bool { return !p.fullyLoaded(w) })
		last := !e.Reclaimable && p.onDemandSlots() <= float64(e.Slots)
		if idle && empty && !last && (e.released || slots-float64(e.Slots) >= want*stopMargin) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return
	}
	e := slices.MaxFunc(free, func(a, b *engine) int { return cmp.Compare(a.unitCost, b.unitCost) })
	p.plan.Stop = append(p.plan.Stop, e.Name)
}

func (p *planner) addCost() {
	for _, e := range p.engines {
		for _, q := range p.in.Prices {
			if q.DataCentre == e.DataCentre && q.Class == e.Class && q.Reclaimable == e.Reclaimable {
				p.plan.Cost += q.PerHour
			}
		}
	}
}

// compile-time checks that the planners plan.
var (
	_ Planner = Sticky{}
	_ Planner = FromScratch{}
	_ Planner = OnDemandOnly{}
)
