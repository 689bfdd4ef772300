package placement

import (
	"cmp"
	"slices"

	"birchlink.dev/birchlink/cloud"
)

// spare is how much more than the demand, in slots, is held before a box is
// given back; it keeps the plan from swinging.
const spare = 2.0

// urgentPart is the part of the demand that must be carried without any
// reclaimable box.
const urgentPart = 0.3

// keptByWeight is how much of the demand more is carried without reclaimable
// boxes for the whole weight on recomputed tokens.
const keptByWeight = 0.7

// hold decides which boxes to ask for and which to give back, cheapest first.
func (p *planner) hold() {
	var want float64
	for _, d := range p.in.Demand {
		want += d * headroom
	}
	slots, kept := p.slots()
	p.cost()
	part := max(urgentPart, p.in.Document.Targets.RecomputeWeight*keptByWeight)
	if kept < want*part {
		got := p.start(want*part-kept, func(q cloud.Price) bool { return !q.Reclaimable })
		slots += got
	}
	if slots < want {
		got := p.start(want-slots, func(q cloud.Price) bool { return !q.Reclaimable || !p.onDemand })
		if got < want-slots {
			p.plan.Unmet = append(p.plan.Unmet, Unmet{Reason: "the cloud has no more boxes for the demand"})
		}
		return
	}
	p.stop(slots, want)
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

// class returns what engines of a class can do. One that was never measured is
// taken for the mean.
func (p *planner) class(name string) Class {
	if c, ok := p.in.Classes[name]; ok && c.Slots > 0 {
		return c
	}
	return Class{Slots: defaultSlots, TokensPerSecond: defaultSpeed}
}

const (
	defaultSlots = 8
	defaultSpeed = 40
)

// start asks for boxes with so many slots together, of the kinds that cost
// least for their work, are fast enough, have supply and were not refused. It
// returns the slots asked for.
func (p *planner) start(need float64, ok func(cloud.Price) bool) float64 {
	ps := slices.Clone(p.in.Prices)
	slices.SortStableFunc(ps, func(a, b cloud.Price) int { return cmp.Compare(p.worth(a), p.worth(b)) })
	got := 0.0
	for _, q := range ps {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		c := p.class(q.Class)
		slow := c.TokensPerSecond*p.in.Document.Targets.BetweenTokens.Seconds() < 1
		if q.DataCentre != p.in.DataCentre || slow || !ok(q) || slices.Contains(p.in.Refused, s) {
			continue
		}
		for n := p.asked(s); n < q.Supply && got < need; n++ {
			p.plan.Start = append(p.plan.Start, s)
			p.plan.Cost += q.PerHour
			got += float64(c.Slots)
		}
	}
	return got
}

// asked counts the boxes of a kind that the plan already asks for.
func (p *planner) asked(s cloud.Start) int {
	n := 0
	for _, o := range p.plan.Start {
		if o == s {
			n++
		}
	}
	return n
}

// worth is what a kind of box costs for the work that it does.
func (p *planner) worth(q cloud.Price) float64 {
	c := p.class(q.Class)
	return q.PerHour / (float64(c.Slots) * c.TokensPerSecond)
}

// stop gives back the dearest box that holds nothing wanted, if the demand is
// carried well without it.
func (p *planner) stop(slots, want float64) {
	var free []*engine
	for _, e := range p.engines {
		if len(e.want) == 0 && e.Running == 0 && slots-float64(e.Slots) >= want*spare {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return
	}
	e := slices.MaxFunc(free, func(a, b *engine) int { return cmp.Compare(a.price, b.price) })
	p.plan.Stop = append(p.plan.Stop, e.Name)
}

func (p *planner) cost() {
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
	_ Planner = Anew{}
	_ Planner = OnDemand{}
)
