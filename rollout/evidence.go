package rollout

// Counts are answers, and how many of them were failures that the endpoint itself answered, and
// how many came late for what they had to read.
type Counts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Answers float64
	Failed  float64
	Slow    float64
}

func (c Counts) plus(o Counts) Counts {
	return Counts{Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed, Slow: c.Slow + o.Slow}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{Answers: max(c.Answers-o.Answers, 0), Failed: max(c.Failed-o.Failed, 0), Slow: max(c.Slow-o.Slow, 0)}
}

// Pair is what became of one route's requests at the other versions and at the new one.
type RouteCounts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Old Counts
	New Counts
}

// Evidence is what boxes have seen since an order came, by route. Busy is the requests under way
// at the other versions.
type Evidence struct {
	Revision uint64 // of the order
	Busy     float64
	Routes   map[string]RouteCounts
}

// plus returns the evidence of more boxes. That for another order than the newer one is left out.
func (e Evidence) plus(o Evidence) Evidence {
	switch {
	case o.Revision > e.Revision:
		e = Evidence{Revision: o.Revision}
	case o.Revision < e.Revision:
		return e
	}
	sum := Evidence{Revision: e.Revision, Busy: e.Busy + o.Busy, Routes: map[string]RouteCounts{}}
	for n, p := range e.Routes {
		sum.Routes[n] = p
	}
	for n, p := range o.Routes {
		q := sum.Routes[n]
		sum.Routes[n] = RouteCounts{Old: q.Old.plus(p.Old), New: q.New.plus(p.New)}
	}
	return sum
}

// AddEvidence adds what another box has seen, by service.
func AddEvidence(sum, more map[string]Evidence) map[string]Evidence {
	for s, e := range more {
		if sum == nil {
			sum = map[string]Evidence{}
		}
		sum[s] = sum[s].plus(e)
	}
	return sum
}

// answers returns how many answers of the new version there are.
func (e Evidence) newAnswers() float64 {
	n := 0.0
	for _, p := range e.Routes {
		n += p.New.Answers
	}
	return n
}
