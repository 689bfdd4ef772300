package placement

import (
	"cmp"
	"math"
	"slices"

	"birchlink.dev/birchlink/cloud"
)

// spare is how much more than the demand, in slots, is held before a box is
// given back; it keeps the plan from swinging.
const spare = 2.0

// urgentPart is the part of the demand that must be carried without any
// reclaimable box.
const urgentPart = 0.3

// hold decides which boxes to ask for and which to give back, cheapest first.
func (p *planner) hold() {
	var want float64
	for _, d := range p.in.Demand {
		want += d * headroom
	}
	slots, kept := p.slots()
	mean := p.mean()
	p.cost()
	if kept < want*urgentPart {
		p.start(int(math.Ceil((want*urgentPart-kept)/mean)), false)
	}
	if slots < want {
		p.start(int(math.Ceil((want-slots)/mean)), true)
		return
	}
	p.stop(slots, want, mean)
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

func (p *planner) mean() float64 {
	if len(p.engines) == 0 {
		return 1
	}
	all, _ := p.slots()
	return max(all/float64(len(p.engines)), 1)
}

// start asks for n boxes of the cheapest kinds that have supply and were not
// refused. Where reclaimable boxes do, on-demand ones may be cheaper and do too.
func (p *planner) start(n int, reclaimable bool) {
	ps := slices.Clone(p.in.Prices)
	slices.SortStableFunc(ps, func(a, b cloud.Price) int { return cmp.Compare(a.PerHour, b.PerHour) })
	for _, q := range ps {
		s := cloud.Start{DataCentre: q.DataCentre, Class: q.Class, Reclaimable: q.Reclaimable}
		if q.DataCentre != p.in.DataCentre || q.Reclaimable && !reclaimable || slices.Contains(p.in.Refused, s) {
			continue
		}
		for range min(n, q.Supply) {
			p.plan.Start = append(p.plan.Start, s)
			p.plan.Cost += q.PerHour
			n--
		}
	}
	if n > 0 {
		p.plan.Unmet = append(p.plan.Unmet, Unmet{Reason: "the cloud has no more boxes for the demand"})
	}
}

// stop gives back the dearest box that holds nothing wanted, if the demand is
// carried well without it.
func (p *planner) stop(slots, want, mean float64) {
	if slots-mean < want*spare {
		return
	}
	var free []*engine
	for _, e := range p.engines {
		if len(e.want) == 0 && e.Running == 0 {
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
)
