package placement

import "slices"

// evictionMargin is the ratio of capacity to wanted slots that the remaining copies of a
// workload must have before one copy is evicted in favour of another workload.
const evictionMargin = 1.1

// keepLoaded plans every workload where it is loaded and permitted, since that needs no
// load. If an engine has more workloads than it has room for, those with the fewest
// copies stay.
func (p *planner) keepLoaded() {
	copies := map[string]int{}
	for _, e := range p.engines {
		for _, w := range e.Loaded {
			copies[w]++
		}
	}
	configured := p.in.Document.Workloads()
	for _, e := range p.engines {
		ws := slices.DeleteFunc(slices.Clone(e.Loaded), func(w string) bool {
			ok, _ := p.in.Document.Allowed(w, e.Box)
			return !ok || e.released || !slices.Contains(configured, w)
		})
		slices.SortStableFunc(ws, func(a, b string) int { return copies[a] - copies[b] })
		for _, w := range ws[:min(len(ws), e.maxWorkloads)] {
			p.add(w, e)
		}
	}
}

// evictFor replaces a planned copy of another workload, which can spare it, by one of w on
// an engine that satisfies ok. It reports whether there was such an engine.
func (p *planner) evictFor(w string, ok func(*engine) bool) bool {
	for _, e := range p.allowed(w) {
		if !ok(e) {
			continue
		}
		for _, v := range e.planned {
			if p.canSpare(v, w, e) {
				p.remove(v, e)
				p.add(w, e)
				return true
			}
		}
	}
	return false
}

// canSpare reports whether workload v can give up its copy on e to w. It never goes below
// its minimum number of copies, nor gives up its last copy that is not reclaimable. If w
// lacks either of these, v gives way; otherwise only if its other copies carry its
// demand.
func (p *planner) canSpare(v, w string, e *engine) bool {
	engines := p.assignedTo(v)
	if len(engines) <= p.minCopies(v) {
		return false
	}
	if isOnDemand(e) && !slices.ContainsFunc(engines, func(o *engine) bool { return o != e && isOnDemand(o) }) {
		return false
	}
	if len(p.assignedTo(w)) < p.minCopies(w) || !slices.ContainsFunc(p.assignedTo(w), isOnDemand) {
		return true
	}
	streams := p.sustainableStreams(v)
	return streams*float64(len(engines)-1)/float64(len(engines)) >= p.in.Demand[v]*headroom*evictionMargin
}

// addCopies adds copies of workloads whose engines cannot carry their demand beside the
// other workloads planned for them, while engines have room.
func (p *planner) addCopies() {
	for range len(p.engines) * defaultMaxWorkloads {
		if !p.addCopy() {
			return
		}
	}
}

// addCopy adds a copy of the workload that lacks the most capacity and reports whether
// there was one.
func (p *planner) addCopy() bool {
	neediest, deficit := "", 0.0
	for _, w := range p.in.Document.Workloads() {
		if d := p.in.Demand[w]*headroom - p.sustainableStreams(w); d > deficit && len(p.candidates(w)) > 0 {
			neediest, deficit = w, d
		}
	}
	return neediest != "" && p.placeOne(neediest, anyEngine)
}

// sustainableStreams returns how many streams of a workload its engines can run at once,
// if each divides its slots among its workloads in proportion to their demand.
func (p *planner) sustainableStreams(w string) float64 {
	var sum float64
	for _, e := range p.assignedTo(w) {
		var demand float64
		for _, o := range e.planned {
			demand += p.in.Demand[o] / float64(p.copyCount(o))
		}
		if demand > 0 {
			sum += float64(e.Slots) * p.in.Demand[w] / float64(p.copyCount(w)) / demand
		}
	}
	return sum
}

// copyCount returns the number of planned copies of a workload, at least 1 so that it can
// be a divisor.
func (p *planner) copyCount(w string) int { return max(len(p.assignedTo(w)), 1) }
