package placement

import (
	"cmp"
	"math"
	"slices"

	"birchlink.dev/birchlink/cloud"
)

// stopMargin is the ratio of slots to wanted slots that must remain when a box is
// stopped. Its distance from 1 keeps the plan from oscillating.
const stopMargin = 2.0

// minOnDemandShare is the share of the wanted slots that must be on boxes that are not
// reclaimable, whatever the weights of the targets.
const minOnDemandShare = 0.3

// maxOnDemandShare is that share when only recomputed tokens count and the cost of boxes
// has no weight.
const maxOnDemandShare = 0.7

// minCostRatio is by what factor the unit cost of a box must exceed that of an available
// kind before the box is replaced.
const minCostRatio = 1.25

// releaseExpensive marks the box with the highest unit cost for release, if much cheaper
// kinds are available and the other boxes carry the demand. If they do not carry it yet,
// it starts cheaper boxes first.
func (p *planner) releaseExpensive() {
	i := p.mostExpensive()
	if i < 0 {
		return
	}
	e := p.engines[i]
	wanted := p.wantedSlots()
	all, onDemand := p.slots()
	if !e.Reclaimable && (onDemand <= float64(e.Slots) || onDemand-float64(e.Slots) < wanted*p.onDemandShare()) {
		return
	}
	if all-float64(e.Slots) >= wanted {
		e.released = true
		return
	}
	p.startBoxes(float64(e.Slots), func(q cloud.Price) bool { return p.offerUnitCost(q)*minCostRatio < e.unitCost })
}

// mostExpensive returns the index in p.engines of the engine with the highest unit cost,
// if that exceeds the unit cost of the cheapest available kind by minCostRatio, and -1
// otherwise.
func (p *planner) mostExpensive() int {
	cheapest := math.Inf(1)
	for _, q := range p.in.Prices {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		if q.DataCentre == p.in.DataCentre && q.Supply > 0 && (!q.Reclaimable || !p.onDemandOnly) && !slices.Contains(p.in.Refused, s) && !p.isTooSlow(q.Class) {
			cheapest = min(cheapest, p.offerUnitCost(q))
		}
	}
	worst := -1
	for i, e := range p.engines {
		replaceable := e.unitCost > cheapest*minCostRatio
		if replaceable && (worst < 0 || e.unitCost > p.engines[worst].unitCost) {
			worst = i
		}
	}
	return worst
}

// isTooSlow reports whether a class misses the target for the time between tokens.
func (p *planner) isTooSlow(class string) bool {
	return p.class(class).TokensPerSecond*p.in.Document.Targets.BetweenTokens.Seconds() < 1
}

// wantedSlots returns how many slots the demand takes, including headroom.
func (p *planner) wantedSlots() float64 {
	var wanted float64
	for _, d := range p.in.Demand {
		wanted += d * headroom
	}
	return wanted
}

// onDemandShare returns the share of the wanted slots to hold on boxes that are not
// reclaimable.
func (p *planner) onDemandShare() float64 {
	t := p.in.Document.Targets
	sum := t.RecomputeWeight + t.CostWeight
	if sum == 0 {
		return minOnDemandShare
	}
	return max(minOnDemandShare, t.RecomputeWeight/sum*maxOnDemandShare)
}

// planBoxes decides which boxes to start and which to stop.
func (p *planner) planBoxes() {
	wanted := p.wantedSlots()
	slots, onDemand := p.slots()
	p.addCost()
	// At least one box that is not reclaimable is held whatever the demand.
	if minimum := max(wanted*p.onDemandShare(), 1); onDemand < minimum {
		started := p.startBoxes(minimum-onDemand, func(q cloud.Price) bool { return !q.Reclaimable })
		slots += started
	}
	if slots < wanted {
		started := p.startBoxes(wanted-slots, func(q cloud.Price) bool { return !q.Reclaimable || !p.onDemandOnly })
		if started < wanted-slots {
			p.plan.Unmet = append(p.plan.Unmet, Unmet{Reason: "the cloud has no more boxes for the demand"})
		}
		return
	}
	p.stopBox(slots, wanted)
}

// slots returns the number of slots of all engines, and of those that are not reclaimable.
func (p *planner) slots() (all, onDemand float64) {
	for _, e := range p.engines {
		all += float64(e.Slots)
		if !e.Reclaimable {
			onDemand += float64(e.Slots)
		}
	}
	return all, onDemand
}

func (p *planner) onDemandSlots() float64 {
	_, onDemand := p.slots()
	return onDemand
}

// class returns the capacity of a class of engines, or a typical one if the class was
// never measured.
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

// startBoxes adds starts of boxes that satisfy ok until they have need slots together. It
// takes the kinds with the lowest unit cost that are fast enough, have supply and were
// not refused recently. It returns the number of slots added.
func (p *planner) startBoxes(need float64, ok func(cloud.Price) bool) float64 {
	ps := slices.Clone(p.in.Prices)
	slices.SortStableFunc(ps, func(a, b cloud.Price) int { return cmp.Compare(p.offerUnitCost(a), p.offerUnitCost(b)) })
	started := 0.0
	for _, q := range ps {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		c := p.class(q.Class)
		if q.DataCentre != p.in.DataCentre || p.isTooSlow(q.Class) || !ok(q) || slices.Contains(p.in.Refused, s) {
			continue
		}
		for n := p.startCount(s); n < q.Supply && started < need; n++ {
			p.plan.Start = append(p.plan.Start, s)
			p.plan.Cost += q.PerHour
			started += float64(c.Slots)
		}
	}
	return started
}

// startCount returns how many boxes of a kind the plan starts already.
func (p *planner) startCount(s cloud.Start) int {
	n := 0
	for _, o := range p.plan.Start {
		if o == s {
			n++
		}
	}
	return n
}

// offerUnitCost returns the price per hour of a kind of box divided by its throughput in
// tokens per second.
func (p *planner) offerUnitCost(q cloud.Price) float64 {
	c := p.class(q.Class)
	return q.PerHour / (float64(c.Slots) * c.TokensPerSecond)
}

// stopBox stops the box with the highest unit cost among those that are idle, hold nothing
// that other engines still have to load, and are either released or not needed by
// stopMargin. It never stops the last box that is not reclaimable.
func (p *planner) stopBox(slots, wanted float64) {
	var stoppable []*engine
	for _, e := range p.engines {
		idle := len(e.planned) == 0 && e.Running == 0 && e.Waiting == 0
		unneeded := !slices.ContainsFunc(e.Loaded, func(w string) bool { return !p.fullyLoaded(w) })
		last := !e.Reclaimable && p.onDemandSlots() <= float64(e.Slots)
		if idle && unneeded && !last && (e.released || slots-float64(e.Slots) >= wanted*stopMargin) {
			stoppable = append(stoppable, e)
		}
	}
	if len(stoppable) == 0 {
		return
	}
	e := slices.MaxFunc(stoppable, func(a, b *engine) int { return cmp.Compare(a.unitCost, b.unitCost) })
	p.plan.Stop = append(p.plan.Stop, e.Name)
}

// addCost adds the prices of the present engines to the cost of the plan.
func (p *planner) addCost() {
	for _, e := range p.engines {
		for _, q := range p.in.Prices {
			if q.DataCentre == e.DataCentre && q.Class == e.Class && q.Reclaimable == e.Reclaimable {
				p.plan.Cost += q.PerHour
			}
		}
	}
}

var (
	_ Planner = Sticky{}
	_ Planner = FromScratch{}
	_ Planner = OnDemandOnly{}
)
