package placement

import "slices"

// evictionMargin is by how much the copies that are left must carry the demand before
// one is given up for another workload.
const evictionMargin = 1.1

// keepLoaded leaves every workload where it is loaded and may be: what is there costs
// nothing. Where an engine has more than it has room for, those with the fewest
// copies stay.
func (p *planner) keepLoaded() {
	copies := map[string]int{}
	for _, e := range p.engines {
		for _, w := range e.Loaded {
			copies[w]++
		}
	}
	known := p.in.Document.Workloads()
	for _, e := range p.engines {
		ws := slices.DeleteFunc(slices.Clone(e.Loaded), func(w string) bool {
			ok, _ := p.in.Document.Allowed(w, e.Box)
			return !ok || e.released || !slices.Contains(known, w)
		})
		slices.SortStableFunc(ws, func(a, b string) int { return copies[a] - copies[b] })
		for _, w := range ws[:min(len(ws), e.maxWorkloads)] {
			p.add(w, e)
		}
	}
}

// evictFor gives a workload the place of another that has copies to spare.
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

// canSpare reports whether a workload does without its copy on an engine: always
// for one that lacks its least copies, otherwise only when the rest carry its
// demand.
func (p *planner) canSpare(v, w string, e *engine) bool {
	with := p.assignedTo(v)
	if len(with) <= p.minCopies(v) {
		return false
	}
	if isOnDemand(e) && !slices.ContainsFunc(with, func(o *engine) bool { return o != e && isOnDemand(o) }) {
		return false
	}
	if len(p.assignedTo(w)) < p.minCopies(w) || !slices.ContainsFunc(p.assignedTo(w), isOnDemand) {
		return true
	}
	all := p.sustainableStreams(v)
	return all*float64(len(with)-1)/float64(len(with)) >= p.in.Demand[v]*headroom*evictionMargin
}

// addCopies gives more copies to workloads whose engines, shared as they are with
// other workloads, cannot carry their demand, while engines have room.
func (p *planner) addCopies() {
	for range len(p.engines) * defaultMaxWorkloads {
		if !p.addCopy() {
			return
		}
	}
}

// addCopy gives one more copy to the workload that lacks the most.
func (p *planner) addCopy() bool {
	worst, lack := "", 0.0
	for _, w := range p.in.Document.Workloads() {
		if l := p.in.Demand[w]*headroom - p.sustainableStreams(w); l > lack && len(p.candidates(w)) > 0 {
			worst, lack = w, l
		}
	}
	return worst != "" && p.placeOne(worst, anyEngine)
}

// sustainableStreams is how many streams of a workload its engines carry when each divides
// its slots by the demand of what it holds.
func (p *planner) sustainableStreams(w string) float64 {
	var sum float64
	for _, e := range p.assignedTo(w) {
		var all float64
		for _, o := range e.planned {
			all += p.in.Demand[o] / float64(p.copyCount(o))
		}
		if all > 0 {
			sum += float64(e.Slots) * p.in.Demand[w] / float64(p.copyCount(w)) / all
		}
	}
	return sum
}

func (p *planner) copyCount(w string) int { return max(len(p.assignedTo(w)), 1) }
