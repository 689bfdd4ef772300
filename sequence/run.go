package sequence

// maxDropped bounds the events in a row that are dropped. A run that sends more of them does not go on.
const maxDropped = recentEvents

// Run is one run of an answer.
type Run[N comparable, P Numbering[N]] struct {
	answer    *Answer[N, P]
	id        int
	dropped   int  // events in a row
	repeats   int  // events dropped in all
	isResumed bool // the run continues the answer of another one
	continues bool // so does the next event that is accepted
	atLast    bool // the last event of the run is the last one of the answer

	repeatsLast bool    // the last event of the answer with a number may come again, with other bytes
	leading     int     // events without a number that may come before it
	trailing    int     // events without a number that must come after it
	failed      Verdict // on the event that did not follow; zero if there is none
	held        int     // events after a gap
	lastHeld    N       // number of the last of them
}

// Judge returns the verdict on the next event of the run: Accepted, Dropped, Reversed, Gap, Joined, Unplaced, Held or Uncounted. After
// Reversed, Gap, Joined and Unplaced the run must be given up. Events that are Held must be kept. After Uncounted either the run is
// given up as well, or AllowGaps is called, and all events kept and this one are judged again. Judge changes nothing that other runs
// of the answer read.
func (r *Run[N, P]) Judge(e Event[N]) Verdict {
	if r.failed != 0 {
		return r.failed
	}
	if r.held > 0 {
		return r.judgeHeld(e)
	}
	v := r.judge(e)
	if v == Gap && r.answer.Presumed && !r.answer.isShownCount() {
		r.held, r.lastHeld = 1, e.Number
		return Held
	}
	if v != Accepted && v != Dropped {
		r.failed = v
	}
	return v
}

func (r *Run[N, P]) judge(e Event[N]) Verdict {
	a := r.answer
	if !a.mayContinue(r.id) {
		return Joined
	}
	if v, ok := r.judgeRepeated(e); ok {
		return v
	}
	if !a.hasNumber(e) {
		if r.atLast {
			return Accepted
		}
		return Unplaced
	}
	v := a.judge(e, r.isResumed)
	if v != Dropped {
		return v
	}
	r.atLast = a.unnumbered == 0 && a.numbering.Relate(a.Last, e.Number) == Same
	r.repeats++
	if r.dropped++; r.dropped > maxDropped {
		return Reversed
	}
	return Dropped
}

// judgeRepeated returns the verdict on one of the last events of the answer, if the run was asked for them again. It returns false if e is
// none of them.
func (r *Run[N, P]) judgeRepeated(e Event[N]) (Verdict, bool) {
	a := r.answer
	isNumbered := a.hasNumber(e)
	switch {
	case r.repeatsLast && isNumbered && a.numbering.Relate(a.Last, e.Number) == Same:
		r.repeatsLast = false
	case r.repeatsLast && !isNumbered && r.leading > 0:
		r.leading--
	case !r.repeatsLast && !isNumbered && r.trailing > 0:
		r.trailing--
	case r.trailing > 0 || r.repeatsLast && r.leading < a.leading: // it is not known which events were left out
		return Unplaced, true
	default:
		r.repeatsLast = false
		return 0, false
	}
	r.atLast = !r.repeatsLast && r.trailing == 0
	r.repeats++
	return Dropped, true
}

// judgeHeld returns the verdict on an event after those held.
func (r *Run[N, P]) judgeHeld(e Event[N]) Verdict {
	if !e.HasNumber || r.answer.numbering.Relate(r.lastHeld, e.Number) != Later {
		r.failed = Gap
		return Gap
	}
	r.lastHeld = e.Number
	if r.held++; r.held < shownGaps {
		return Held
	}
	return Uncounted
}

// CountHeld returns the number of events held, with one that is Uncounted.
func (r *Run[N, P]) CountHeld() int { return r.held }

// AllowGaps makes the answer one whose numbers need not count the events.
func (r *Run[N, P]) AllowGaps() { r.answer.Counted, r.held = false, 0 }

// Repeats returns the number of events that were dropped.
func (r *Run[N, P]) Repeats() int { return r.repeats }

// IsContinuing reports whether the next event accepted continues the answer of another run.
func (r *Run[N, P]) IsContinuing() bool { return r.continues }

// Accept adds an event on which the verdict is Accepted to the answer.
func (r *Run[N, P]) Accept(e Event[N]) {
	r.answer.accept(e, r.id)
	r.atLast, r.continues, r.dropped = true, false, 0
}

// End returns the verdict on the end of the run: Complete, Unproven or Broken. A run states its end if its sender marks it;
// the end of the connection is no mark. Such an end is that of the answer only if the last event of the run is the last one of
// the answer: a run that sends none may know of no more events than it was asked to go on from.
func (r *Run[N, P]) End(stated bool) Verdict {
	switch {
	case !stated || r.failed != 0 || r.held > 0:
		return Broken
	case !r.atLast || r.answer.passed == 0:
		return Unproven
	default:
		return Complete
	}
}

// EndAt returns the verdict on the end of a run that names the number its next event would have. That is evidence even if the run
// has sent no event. The verdict is Gap or Dropped if number n does not follow, Joined if the run must not continue the answer, Unproven
// if that can't be known, otherwise Complete or, if the run does not state that the answer ends there, Broken.
func (r *Run[N, P]) EndAt(n N, stated bool) Verdict {
	v := r.answer.judgeEnd(n)
	if !r.answer.mayContinue(r.id) {
		v = Joined
	}
	if v == Gap || v == Joined {
		r.failed = v
	}
	if (v == Complete || v == Unproven) && (!stated || r.failed != 0) {
		return Broken
	}
	return v
}
