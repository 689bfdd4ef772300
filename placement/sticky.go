package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

	"birchlink.dev/birchlink/fleet"
)

// defaultMaxWorkloads is how many workloads an engine holds unless its box has the
// label "workloads".
const defaultMaxWorkloads = 4

// headroom is how many streams' worth of slots is planned for each that is
// wanted.
const headroom = 1.3

// Sticky moves only what must move: a workload stays where it is loaded while
// that is allowed, and is given up only when its other copies are loaded.
type Sticky struct{}

// Plan decides the assignments, and what boxes to hold.
func (Sticky) Plan(in Input) Plan { return plan(&planner{in: in, sticky: true}) }

// FromScratch places everything from nothing. It is a baseline.
type FromScratch struct{}

// Plan decides without regard to what is loaded.
func (FromScratch) Plan(in Input) Plan { return plan(&planner{in: in}) }

// OnDemandOnly is Sticky, but asks for no reclaimable boxes. It is a baseline.
type OnDemandOnly struct{}

// Plan decides without reclaimable boxes.
func (OnDemandOnly) Plan(in Input) Plan {
	return plan(&planner{in: in, sticky: true, onDemandOnly: true})
}

// engine is a live engine with its room and what is planned for it.
type engine struct {
	fleet.Endpoint
	unitCost     float64
	maxWorkloads int
	planned      []string
	released     bool
}

// planner is the work of one plan.
type planner struct {
	in           Input
	sticky       bool
	onDemandOnly bool
	engines      []*engine
	plan         Plan

	// assigned holds the engines that shall have each workload, may those that its
	// selectors allow: both are asked for again and again.
	assigned  map[string][]*engine
	permitted map[string][]*engine
}

func plan(p *planner) Plan {
	p.assigned, p.permitted = map[string][]*engine{}, map[string][]*engine{}
	p.collectEngines()
	p.releaseExpensive()
	if p.sticky {
		p.keepLoaded()
	}
	for _, w := range p.placementOrder() {
		p.place(w)
	}
	p.addCopies()
	p.buildAssignments()
	p.planBoxes()
	return p.plan
}

// collectEngines takes the live engines of the data centre.
func (p *planner) collectEngines() {
	for _, e := range p.in.Endpoints {
		if e.Role == fleet.EngineRole && e.DataCentre == p.in.DataCentre && e.Usable() {
			p.engines = append(p.engines, &engine{Endpoint: e, unitCost: p.engineUnitCost(e), maxWorkloads: maxWorkloads(e)})
		}
	}
	slices.SortFunc(p.engines, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
}

func maxWorkloads(e fleet.Endpoint) int {
	n, err := strconv.Atoi(e.Label("workloads"))
	if err != nil || n < 1 {
		return defaultMaxWorkloads
	}
	return n
}

// engineUnitCost is what a slot of an endpoint costs an hour for its speed.
func (p *planner) engineUnitCost(e fleet.Endpoint) float64 {
	for _, q := range p.in.Prices {
		if q.DataCentre == e.DataCentre && q.Class == e.Class && q.Reclaimable == e.Reclaimable {
			return q.PerHour / max(float64(e.Slots)*e.TokensPerSecond, 1)
		}
	}
	return 0
}

// placementOrder places the workloads with the fewest allowed engines first, so that
// the others do not take their room.
func (p *planner) placementOrder() []string {
	ws := p.in.Document.Workloads()
	n := make(map[string]int, len(ws))
	for _, w := range ws {
		for _, e := range p.engines {
			if ok, _ := p.in.Document.Allowed(w, e.Box); ok {
				n[w]++
			}
		}
	}
	slices.SortStableFunc(ws, func(a, b string) int {
		return cmp.Or(cmp.Compare(n[a], n[b]), cmp.Compare(p.in.Demand[b], p.in.Demand[a]))
	})
	return ws
}

// minCopies is how many copies a workload shall have whatever its demand.
func (p *planner) minCopies(w string) int { return p.in.Document.Copies(w) }

// wantedCopies is how many engines shall have a workload.
func (p *planner) wantedCopies(w string) int {
	n := p.minCopies(w)
	slots := 0
	for _, e := range p.engines {
		slots += e.Slots
	}
	if len(p.engines) == 0 || slots == 0 {
		return n
	}
	mean := float64(slots) / float64(len(p.engines))
	return max(n, int(math.Ceil(p.in.Demand[w]*headroom/mean)))
}

// place gives a workload the engines that it lacks: at least one that is not
// reclaimable if there is one, the rest by worth.
func (p *planner) place(w string) {
	n := p.wantedCopies(w)
	have := len(p.assignedTo(w))
	for ; have < n && p.placeOne(w, anyEngine); have++ {
	}
	if have < n {
		p.addUnmet(w, have, n)
	}
	if have == 0 || slices.ContainsFunc(p.assignedTo(w), isOnDemand) {
		return
	}
	if !p.placeOne(w, isOnDemand) {
		p.plan.Unmet = append(p.plan.Unmet, Unmet{Workload: w, Reason: "every engine that may run it is reclaimable"})
	}
}

func anyEngine(*engine) bool { return true }

func isOnDemand(e *engine) bool { return !e.Reclaimable }

// placeOne gives a workload one more engine, making room on one if it must.
func (p *planner) placeOne(w string, ok func(*engine) bool) bool {
	c := slices.DeleteFunc(p.candidates(w), func(e *engine) bool { return !ok(e) })
	if len(c) == 0 {
		return p.evictFor(w, ok)
	}
	p.add(w, slices.MinFunc(c, func(a, b *engine) int { return p.compare(w, a, b) }))
	return true
}

// add lets an engine have a workload.
func (p *planner) add(w string, e *engine) {
	e.planned = append(e.planned, w)
	p.assigned[w] = append(p.assigned[w], e)
}

// remove lets an engine no longer have a workload.
func (p *planner) remove(w string, e *engine) {
	e.planned = slices.DeleteFunc(slices.Clone(e.planned), func(v string) bool { return v == w })
	p.assigned[w] = slices.DeleteFunc(p.assigned[w], func(o *engine) bool { return o == e })
}

// allowed returns the engines that may have one more copy of a workload, were
// there room.
func (p *planner) allowed(w string) []*engine {
	all, known := p.permitted[w]
	if !known {
		for _, e := range p.engines {
			if ok, _ := p.in.Document.Allowed(w, e.Box); ok && !e.released {
				all = append(all, e)
			}
		}
		p.permitted[w] = all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *engine) bool { return slices.Contains(e.planned, w) })
}

// candidates returns the engines that may have one more copy of a workload.
func (p *planner) candidates(w string) []*engine {
	return slices.DeleteFunc(p.allowed(w), func(e *engine) bool { return len(e.planned) >= e.maxWorkloads })
}

// assignedTo returns the engines that shall have a workload.
func (p *planner) assignedTo(w string) []*engine { return p.assigned[w] }

// compare orders engines for a workload: those that have it first, then by
// preference, by how full they are, and by price for their speed.
func (p *planner) compare(w string, a, b *engine) int {
	stay := 0
	if p.sticky {
		stay = -compareBool(a.Has(w), b.Has(w))
	}
	return cmp.Or(
		stay,
		cmp.Compare(p.in.Document.Preference(w, b.Box), p.in.Document.Preference(w, a.Box)),
		cmp.Compare(len(a.planned), len(b.planned)),
		cmp.Compare(a.unitCost, b.unitCost),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// addUnmet says why a workload has fewer engines than it shall have.
func (p *planner) addUnmet(w string, have, want int) {
	u := Unmet{Workload: w, Reason: fmt.Sprintf("%d of %d copies have a place", have, want)}
	for _, e := range p.engines {
		if ok, s := p.in.Document.Allowed(w, e.Box); !ok {
			u.Selector = s
		}
	}
	if u.Selector == "" {
		u.Reason += ": the engines have no more room"
	}
	p.plan.Unmet = append(p.plan.Unmet, u)
}

// buildAssignments turns what is wanted into orders in two steps: load first, and give up
// what is no longer wanted only when every engine that wants it has it.
func (p *planner) buildAssignments() {
	now := p.chooseLoads()
	for _, e := range p.engines {
		a := Assignment{Box: e.Name, Reason: "as wanted"}
		for _, w := range e.planned {
			switch {
			case e.Has(w):
				a.Workloads = append(a.Workloads, w)
			case now[load{e, w}]:
				a.Load = append(a.Load, w)
				a.Workloads = append(a.Workloads, w)
			default:
				a.Later = append(a.Later, w)
			}
		}
		for _, w := range e.Loaded {
			if !slices.Contains(e.planned, w) && !p.fullyLoaded(w) {
				a.Keep = append(a.Keep, w)
				a.Workloads = append(a.Workloads, w)
				a.Reason = "keeps what others have yet to load"
			}
		}
		p.plan.Assignments = append(p.plan.Assignments, a)
	}
}

// load is one workload to be fetched by one engine.
type load struct {
	engine   *engine
	workload string
}

// chooseLoads chooses the loads that the weight store bears now: for those first
// that have the fewest copies loaded.
func (p *planner) chooseLoads() map[load]bool {
	var all []load
	loaded := map[string]int{}
	for _, e := range p.engines {
		for _, w := range e.Loaded {
			loaded[w]++
		}
		for _, w := range e.planned {
			if !e.Has(w) {
				all = append(all, load{e, w})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b load) int { return cmp.Compare(loaded[a.workload], loaded[b.workload]) })
	now := map[load]bool{}
	for _, l := range all[:min(len(all), p.in.MaxLoads)] {
		now[l] = true
	}
	return now
}

// fullyLoaded reports whether every engine that wants w has it, or no
// engine wants it and it is no longer configured.
func (p *planner) fullyLoaded(w string) bool {
	for _, e := range p.engines {
		if slices.Contains(e.planned, w) && !e.Has(w) {
			return false
		}
	}
	return true
}
