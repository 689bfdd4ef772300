// Package sequence decides which events of one answer follow, and when the answer is whole. An answer may be sent by
// several runs in turn, each of which continues after the last event of the one before. Nothing else decides this.
package sequence

// Relation is how the number of an event relates to that of the event before it.
type Relation int

// The relations of numbers.
const (
	Next    Relation = iota // the next number of a count
	Later                   // a higher number
	Same                    // the same number
	Earlier                 // a lower number
	Unknown                 // they can't be compared
)

// Numbering compares the numbers of events.
type Numbering[N any] interface {
	// Relate returns how n relates to the number of the event before it.
	Relate(before, n N) Relation
	// IsFirst reports whether n is the number of the first event of an answer, if numbers count the events.
	IsFirst(n N) bool
	// Before returns the number before n in a count, which is the zero value before the first one. It returns false if
	// there is none.
	Before(n N) (N, bool)
}

// Verdict is what is to be done about an event, or about the end of a run.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // the next event
	Dropped                 // the caller has the event already
	Reversed                // an event that the caller has already has come with other content
	Gap                     // an event is missing before this one
	Complete                // the end of the whole answer
	Unproven                // the run has stated its end, but has not shown that it knows the last event
	Broken                  // the run has ended without stating its end
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "repeated", "reversed", "gap", "complete", "unproven_end", "broken"}[v]
}

// recentEvents is the number of events whose content is remembered, so that they are recognised when they come again.
const recentEvents = 16

// Answer is what a caller has received of one answer. The zero value is an answer without events.
type Answer[N comparable, P Numbering[N]] struct {
	Last      N    // number of the last event, or the one after which the caller has asked for events
	HasLast   bool // whether Last is set
	Counted   bool // numbers count the events, so that a number that is left out shows a missing event
	Uncounted bool // numbers are known not to count the events

	numbering   P
	previous    N // number of the event before the last one
	hasPrevious bool
	unnumbered  bool // the last event has no number
	passed      int  // events
	recent      [recentEvents]uint64
}

// Event is one event. Content identifies its bytes.
type Event[N any] struct {
	Number    N
	HasNumber bool
	Content   uint64
}

// StartAfter returns an answer of which the caller has the events up to number n.
func StartAfter[N comparable, P Numbering[N]](n N) Answer[N, P] {
	return Answer[N, P]{Last: n, HasLast: true}
}

// Passed returns the number of events that were accepted.
func (a *Answer[N, P]) Passed() int { return a.passed }

// CanContinue reports whether another run can continue after the last event: it has a number, or there is none yet.
func (a *Answer[N, P]) CanContinue() bool { return !a.unnumbered }

// Previous returns the number after which a run sends the last event again, and nothing else if the answer is whole. It
// returns false if that is not known.
func (a *Answer[N, P]) Previous() (N, bool) {
	if a.unnumbered || !a.HasLast {
		var zero N
		return zero, false
	}
	if a.hasPrevious {
		return a.previous, true
	}
	return a.numbering.Before(a.Last)
}

// Start returns a further run of the answer.
func (a *Answer[N, P]) Start() *Run[N, P] { return &Run[N, P]{answer: a} }

// judge returns the verdict on an event.
func (a *Answer[N, P]) judge(e Event[N]) Verdict {
	switch {
	case !e.HasNumber:
		return Accepted
	case !a.HasLast && a.Counted && !a.numbering.IsFirst(e.Number):
		return Gap
	case !a.HasLast:
		return Accepted
	}
	switch a.numbering.Relate(a.Last, e.Number) {
	case Next:
		return Accepted
	case Later:
		if a.Counted {
			return Gap
		}
		return Accepted
	case Unknown:
		if a.hasRecent(e.Content) {
			return Dropped
		}
		return Accepted
	default:
		if a.hasRecent(e.Content) {
			return Dropped
		}
		return Reversed
	}
}

// judgeEnd returns the verdict on an end of the answer before number n: Complete, Unproven, Gap or Dropped.
func (a *Answer[N, P]) judgeEnd(n N) Verdict {
	relation := Later
	if a.HasLast {
		relation = a.numbering.Relate(a.Last, n)
	} else if a.numbering.IsFirst(n) {
		relation = Next
	}
	switch {
	case relation == Next:
		return Complete
	case relation == Later && a.Counted:
		return Gap
	case relation == Same || relation == Earlier:
		return Dropped
	default:
		return Unproven
	}
}

func (a *Answer[N, P]) hasRecent(content uint64) bool {
	for i := range min(a.passed, recentEvents) {
		if a.recent[i] == content {
			return true
		}
	}
	return false
}

// accept adds an event to the answer.
func (a *Answer[N, P]) accept(e Event[N]) {
	a.recent[a.passed%recentEvents] = e.Content
	a.passed++
	a.unnumbered = !e.HasNumber
	if !e.HasNumber {
		return
	}
	if a.HasLast {
		a.previous, a.hasPrevious = a.Last, true
		a.Counted = a.Counted && a.numbering.Relate(a.Last, e.Number) == Next
	} else {
		a.Counted = !a.Uncounted && a.numbering.IsFirst(e.Number)
	}
	a.Last, a.HasLast = e.Number, true
}
