package rollout

// Counts holds the number of answers, of answers in which the endpoint itself reported a failure,
// and of answers that were slow for the number of tokens to prefill.
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

// RouteCounts holds the counts of one route for the other versions and for the new one.
type RouteCounts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Old Counts
	New Counts
}

// Evidence holds the answers observed since an order was placed, by route.
type Evidence struct {
	Revision uint64  // of the order
	Busy     float64 // requests in flight at the other versions
	Routes   map[string]RouteCounts
}

// plus returns the sum of the evidence of several boxes. Evidence for the older of two orders is
// ignored.
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

// AddEvidence adds the evidence of other boxes, by service, to sum and returns the result. It
// modifies sum unless that is nil.
func AddEvidence(sum, more map[string]Evidence) map[string]Evidence {
	for s, e := range more {
		if sum == nil {
			sum = map[string]Evidence{}
		}
		sum[s] = sum[s].plus(e)
	}
	return sum
}

// newAnswers returns the number of answers of the new version.
func (e Evidence) newAnswers() float64 {
	n := 0.0
	for _, p := range e.Routes {
		n += p.New.Answers
	}
	return n
}
