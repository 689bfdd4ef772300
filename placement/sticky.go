package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

	"birchlink.dev/birchlink/fleet"
)

// defaultMaxWorkloads is how many workloads an engine holds if its box has no valid
// label "workloads".
const defaultMaxWorkloads = 4

// headroom is the number of slots planned for each wanted stream.
const headroom = 1.3

// Sticky is the [Planner] in use. It moves as few workloads as possible: a workload
// stays where it is loaded while its selectors allow that, and is unloaded only when
// its other copies are loaded.
type Sticky struct{}

// Plan implements [Planner].
func (Sticky) Plan(in Input) Plan { return plan(&planner{in: in, sticky: true}) }

// FromScratch is a [Planner] that ignores where workloads are loaded. It serves as a
// baseline in comparisons.
type FromScratch struct{}

// Plan implements [Planner].
func (FromScratch) Plan(in Input) Plan { return plan(&planner{in: in}) }

// OnDemandOnly is [Sticky] without starts of reclaimable boxes. It serves as a baseline
// in comparisons.
type OnDemandOnly struct{}

// Plan implements [Planner].
func (OnDemandOnly) Plan(in Input) Plan {
	return plan(&planner{in: in, sticky: true, onDemandOnly: true})
}

// engine is a live engine and the plan for it.
type engine struct {
	fleet.Endpoint
	unitCost     float64 // price per hour for a token per second, 0 if unknown
	maxWorkloads int
	planned      []string // workloads that it should have
	released     bool     // gets no workloads, so that its box can be stopped
}

// planner holds the state of the computation of one plan.
type planner struct {
	in           Input
	sticky       bool
	onDemandOnly bool
	engines      []*engine
	plan         Plan

	// assigned holds the engines for which each workload is planned, permitted those
	// that its selectors allow. They are caches, since both are looked up often.
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

// collectEngines sets p.engines to the usable engines of the data centre, sorted by
// name.
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

// engineUnitCost returns the price per hour of an engine divided by its throughput in
// tokens per second, or 0 if there is no price for its kind.
func (p *planner) engineUnitCost(e fleet.Endpoint) float64 {
	for _, q := range p.in.Prices {
		if q.DataCentre == e.DataCentre && q.Class == e.Class && q.Reclaimable == e.Reclaimable {
			return q.PerHour / max(float64(e.Slots)*e.TokensPerSecond, 1)
		}
	}
	return 0
}

// placementOrder returns the workloads in the order in which they are placed. Those with
// the fewest permitted engines come first, so that others do not fill these engines.
func (p *planner) placementOrder() []string {
	ws := p.in.Document.Workloads()
	permitted := make(map[string]int, len(ws))
	for _, w := range ws {
		for _, e := range p.engines {
			if ok, _ := p.in.Document.Allowed(w, e.Box); ok {
				permitted[w]++
			}
		}
	}
	slices.SortStableFunc(ws, func(a, b string) int {
		return cmp.Or(cmp.Compare(permitted[a], permitted[b]), cmp.Compare(p.in.Demand[b], p.in.Demand[a]))
	})
	return ws
}

// minCopies returns how many copies a workload should have whatever its demand.
func (p *planner) minCopies(w string) int { return p.in.Document.Copies(w) }

// wantedCopies returns on how many engines a workload should be loaded.
func (p *planner) wantedCopies(w string) int {
	n := p.minCopies(w)
	slots := 0
	for _, e := range p.engines {
		slots += e.Slots
	}
	if len(p.engines) == 0 || slots == 0 {
		return n
	}
	meanSlots := float64(slots) / float64(len(p.engines))
	return max(n, int(math.Ceil(p.in.Demand[w]*headroom/meanSlots)))
}

// place assigns a workload to as many more engines as it lacks, including at least one
// that is not reclaimable if there is one.
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

// placeOne assigns a workload to one more engine that satisfies ok, and evicts another
// workload if no engine has room. It reports whether it succeeded.
func (p *planner) placeOne(w string, ok func(*engine) bool) bool {
	c := slices.DeleteFunc(p.candidates(w), func(e *engine) bool { return !ok(e) })
	if len(c) == 0 {
		return p.evictFor(w, ok)
	}
	p.add(w, slices.MinFunc(c, func(a, b *engine) int { return p.compare(w, a, b) }))
	return true
}

// add plans a workload for an engine.
func (p *planner) add(w string, e *engine) {
	e.planned = append(e.planned, w)
	p.assigned[w] = append(p.assigned[w], e)
}

// remove removes a workload from the plan of an engine.
func (p *planner) remove(w string, e *engine) {
	e.planned = slices.DeleteFunc(slices.Clone(e.planned), func(v string) bool { return v == w })
	p.assigned[w] = slices.DeleteFunc(p.assigned[w], func(o *engine) bool { return o == e })
}

// allowed returns the engines that may get a copy of a workload, whether or not they
// have room for it.
func (p *planner) allowed(w string) []*engine {
	all, cached := p.permitted[w]
	if !cached {
		for _, e := range p.engines {
			if ok, _ := p.in.Document.Allowed(w, e.Box); ok && !e.released {
				all = append(all, e)
			}
		}
		p.permitted[w] = all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *engine) bool { return slices.Contains(e.planned, w) })
}

// candidates returns the engines that may get a copy of a workload and have room for it.
func (p *planner) candidates(w string) []*engine {
	return slices.DeleteFunc(p.allowed(w), func(e *engine) bool { return len(e.planned) >= e.maxWorkloads })
}

// assignedTo returns the engines for which a workload is planned.
func (p *planner) assignedTo(w string) []*engine { return p.assigned[w] }

// compare orders engines by how well they suit a workload, the best first. Engines that
// have it loaded come first if the planner is sticky. Ties are broken by preference, by
// the number of planned workloads and by cost.
func (p *planner) compare(w string, a, b *engine) int {
	byLoaded := 0
	if p.sticky {
		byLoaded = -compareBool(a.Serves(w), b.Serves(w))
	}
	return cmp.Or(
		byLoaded,
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

// addUnmet records that a workload has fewer engines than it should have, and why.
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

// buildAssignments turns the planned workloads into assignments. A workload that is not
// planned for an engine stays there until every engine for which it is planned has it.
func (p *planner) buildAssignments() {
	now := p.chooseLoads()
	for _, e := range p.engines {
		a := Assignment{Box: e.Name, Reason: "as wanted"}
		for _, w := range e.planned {
			switch {
			case e.Serves(w):
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

// load is the fetch of one workload by one engine.
type load struct {
	engine   *engine
	workload string
}

// chooseLoads returns the loads to do now, at most as many as the weight store can serve.
// Workloads with the fewest loaded copies come first.
func (p *planner) chooseLoads() map[load]bool {
	var all []load
	loaded := map[string]int{}
	for _, e := range p.engines {
		for _, w := range e.Loaded {
			loaded[w]++
		}
		for _, w := range e.planned {
			if !e.Serves(w) {
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

// fullyLoaded reports whether every engine for which w is planned has it. A workload
// that is planned for no engine counts as fully loaded.
func (p *planner) fullyLoaded(w string) bool {
	for _, e := range p.engines {
		if slices.Contains(e.planned, w) && !e.Serves(w) {
			return false
		}
	}
	return true
}
