package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

	"birchlink.dev/birchlink/fleet"
)

// defaultRoom is how many workloads an engine holds unless its box has the
// label "workloads".
const defaultRoom = 4

// headroom is how many streams' worth of slots is planned for each that is
// wanted.
const headroom = 1.3

// Sticky moves only what must move: a workload stays where it is loaded while
// that is allowed, and is given up only when its other copies are loaded.
type Sticky struct{}

// Plan decides the assignments, and what boxes to hold.
func (Sticky) Plan(in Input) Plan { return plan(&planner{in: in, sticky: true}) }

// Anew places everything from nothing. It is a baseline.
type Anew struct{}

// Plan decides without regard to what is loaded.
func (Anew) Plan(in Input) Plan { return plan(&planner{in: in}) }

// OnDemand is Sticky, but asks for no reclaimable boxes. It is a baseline.
type OnDemand struct{}

// Plan decides without reclaimable boxes.
func (OnDemand) Plan(in Input) Plan { return plan(&planner{in: in, sticky: true, onDemand: true}) }

// engine is a live engine with its room and what is planned for it.
type engine struct {
	fleet.Endpoint
	price float64
	room  int
	want  []string
	shed  bool
}

// planner is the work of one plan.
type planner struct {
	in       Input
	sticky   bool
	onDemand bool
	engines  []*engine
	plan     Plan

	// by holds the engines that shall have each workload, may those that its
	// selectors allow: both are asked for again and again.
	by  map[string][]*engine
	may map[string][]*engine
}

func plan(p *planner) Plan {
	p.by, p.may = map[string][]*engine{}, map[string][]*engine{}
	p.gather()
	p.shedDear()
	if p.sticky {
		p.keep()
	}
	for _, w := range p.order() {
		p.place(w)
	}
	p.widen()
	p.assign()
	p.hold()
	return p.plan
}

// gather takes the live engines of the data centre.
func (p *planner) gather() {
	for _, e := range p.in.Endpoints {
		if e.Role == fleet.EngineRole && e.DataCentre == p.in.DataCentre && e.Usable() {
			p.engines = append(p.engines, &engine{Endpoint: e, price: p.price(e), room: room(e)})
		}
	}
	slices.SortFunc(p.engines, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
}

func room(e fleet.Endpoint) int {
	n, err := strconv.Atoi(e.Label("workloads"))
	if err != nil || n < 1 {
		return defaultRoom
	}
	return n
}

// price is what a slot of an endpoint costs an hour for its speed.
func (p *planner) price(e fleet.Endpoint) float64 {
	for _, q := range p.in.Prices {
		if q.DataCentre == e.DataCentre && q.Class == e.Class && q.Reclaimable == e.Reclaimable {
			return q.PerHour / max(float64(e.Slots)*e.TokensPerSecond, 1)
		}
	}
	return 0
}

// order places the workloads with the fewest allowed engines first, so that
// the others do not take their room.
func (p *planner) order() []string {
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

// least is how many copies a workload shall have whatever its demand.
func (p *planner) least(w string) int { return p.in.Document.Copies(w) }

// copies is how many engines shall have a workload.
func (p *planner) copies(w string) int {
	n := p.least(w)
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
	n := p.copies(w)
	have := len(p.with(w))
	for ; have < n && p.placeOne(w, anyEngine); have++ {
	}
	if have < n {
		p.unmet(w, have, n)
	}
	if have == 0 || slices.ContainsFunc(p.with(w), stays) {
		return
	}
	if !p.placeOne(w, stays) {
		p.plan.Unmet = append(p.plan.Unmet, Unmet{Workload: w, Reason: "every engine that may run it is reclaimable"})
	}
}

func anyEngine(*engine) bool { return true }

func stays(e *engine) bool { return !e.Reclaimable }

// placeOne gives a workload one more engine, making room on one if it must.
func (p *planner) placeOne(w string, ok func(*engine) bool) bool {
	c := slices.DeleteFunc(p.candidates(w), func(e *engine) bool { return !ok(e) })
	if len(c) == 0 {
		return p.evictFor(w, ok)
	}
	p.give(w, slices.MinFunc(c, func(a, b *engine) int { return p.compare(w, a, b) }))
	return true
}

// give lets an engine have a workload.
func (p *planner) give(w string, e *engine) {
	e.want = append(e.want, w)
	p.by[w] = append(p.by[w], e)
}

// take lets an engine no longer have a workload.
func (p *planner) take(w string, e *engine) {
	e.want = slices.DeleteFunc(slices.Clone(e.want), func(v string) bool { return v == w })
	p.by[w] = slices.DeleteFunc(p.by[w], func(o *engine) bool { return o == e })
}

// allowed returns the engines that may have one more copy of a workload, were
// there room.
func (p *planner) allowed(w string) []*engine {
	all, known := p.may[w]
	if !known {
		for _, e := range p.engines {
			if ok, _ := p.in.Document.Allowed(w, e.Box); ok && !e.shed {
				all = append(all, e)
			}
		}
		p.may[w] = all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e *engine) bool { return slices.Contains(e.want, w) })
}

// candidates returns the engines that may have one more copy of a workload.
func (p *planner) candidates(w string) []*engine {
	return slices.DeleteFunc(p.allowed(w), func(e *engine) bool { return len(e.want) >= e.room })
}

// with returns the engines that shall have a workload.
func (p *planner) with(w string) []*engine { return p.by[w] }

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
		cmp.Compare(len(a.want), len(b.want)),
		cmp.Compare(a.price, b.price),
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

// unmet says why a workload has fewer engines than it shall have.
func (p *planner) unmet(w string, have, want int) {
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

// assign turns what is wanted into orders in two steps: load first, and give up
// what is no longer wanted only when every engine that wants it has it.
func (p *planner) assign() {
	now := p.loadsNow()
	for _, e := range p.engines {
		a := Assignment{Box: e.Name, Reason: "as wanted"}
		for _, w := range e.want {
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
			if !slices.Contains(e.want, w) && !p.loadedWhereWanted(w) {
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

// loadsNow chooses the loads that the weight store bears now: for those first
// that have the fewest copies loaded.
func (p *planner) loadsNow() map[load]bool {
	var all []load
	loaded := map[string]int{}
	for _, e := range p.engines {
		for _, w := range e.Loaded {
			loaded[w]++
		}
		for _, w := range e.want {
			if !e.Has(w) {
				all = append(all, load{e, w})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b load) int { return cmp.Compare(loaded[a.workload], loaded[b.workload]) })
	now := map[load]bool{}
	for _, l := range all[:min(len(all), p.in.Loads)] {
		now[l] = true
	}
	return now
}

// loadedWhereWanted reports whether every engine that wants w has it, or no
// engine wants it and it is no longer configured.
func (p *planner) loadedWhereWanted(w string) bool {
	for _, e := range p.engines {
		if slices.Contains(e.want, w) && !e.Has(w) {
			return false
		}
	}
	return true
}
