package sequence

// maxDropped bounds the events of a run that are dropped. A run that sends more of them does not go on.
const maxDropped = recentEvents

// Run is one run of an answer.
type Run[N comparable, P Numbering[N]] struct {
	answer  *Answer[N, P]
	dropped int
	isLast  bool // the last event of the run is the last one of the answer
	failed  bool // an event of the run did not follow
}

// Judge returns the verdict on the next event of the run: Accepted, Dropped, Reversed or Gap. After the last two the run must be
// given up. Judge changes nothing that other runs of the answer read.
func (r *Run[N, P]) Judge(e Event[N]) Verdict {
	v := r.answer.judge(e)
	if v == Dropped {
		r.isLast = r.answer.HasLast && e.Number == r.answer.Last
		if r.dropped++; r.dropped > maxDropped {
			v = Reversed
		}
	}
	r.failed = r.failed || v == Reversed || v == Gap
	return v
}

// Accept adds an event on which the verdict is Accepted to the answer.
func (r *Run[N, P]) Accept(e Event[N]) {
	r.answer.accept(e)
	r.isLast = true
}

// End returns the verdict on the end of the run: Complete, Unproven or Broken. A run states its end if its sender marks it;
// the end of the connection is no mark. Such an end is that of the answer only if the last event of the run is the last one of
// the answer: a run that sends none may know of no more events than it was asked to go on from.
func (r *Run[N, P]) End(stated bool) Verdict {
	switch {
	case !stated || r.failed:
		return Broken
	case !r.isLast:
		return Unproven
	default:
		return Complete
	}
}

// EndAt returns the verdict on the end of a run that names the number its next event would have. That is evidence even if the run
// has sent no event. The verdict is Gap or Dropped if number n does not follow, Unproven if that can't be known, otherwise Complete
// or, if the run does not state that the answer ends there, Broken.
func (r *Run[N, P]) EndAt(n N, stated bool) Verdict {
	v := r.answer.judgeEnd(n)
	r.failed = r.failed || v == Gap
	if (v == Complete || v == Unproven) && (!stated || r.failed) {
		return Broken
	}
	return v
}
