// Package sequence decides which events of one answer follow, and when the answer is whole. An answer may be sent by
// several runs in turn, each of which continues after the last event of the one before. Nothing else decides this.
package sequence

import "hash/maphash"

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
	// IsNumber reports whether n can be compared with numbers.
	IsNumber(n N) bool
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
	Accepted  Verdict = iota + 1 // the next event
	Dropped                      // the caller has the event already
	Reversed                     // the caller has an event with this number, which is not known to be the same
	Gap                          // an event is missing before this one
	Joined                       // an event of a run that must not continue the answer of another one
	Held                         // an event after a gap, which is no gap if numbers are left out before the next events too
	Uncounted                    // the last one of so many such events that numbers don't seem to count the events
	Unplaced                     // an event without a number, whose run has not reached the last event of the answer
	Complete                     // the end of the whole answer
	Unproven                     // the run has stated its end, but has not shown that it knows the last event
	Broken                       // the run has ended without stating its end
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"", "accepted", "repeated", "reversed", "gap", "joined", "held", "uncounted", "unplaced", "complete", "unproven_end", "broken"}[v]
}

// recentEvents is the number of events that are remembered, so that they are recognised when they come again.
const recentEvents = 16

// shownCount is the number of events after which an answer that counts them so far is taken to go on so.
const shownCount = 3

// shownGaps is the number of events in a row, each with a gap before it, that show that numbers don't count the events. A run that
// begins too late or loses an event goes on to count.
const shownGaps = 3

// seed is the seed of the hashes of numbers.
var seed = maphash.MakeSeed()

// Answer is what a caller has received of one answer. The zero value is an answer without events.
type Answer[N comparable, P Numbering[N]] struct {
	Last    N    // number of the last event, or the one after which the caller has asked for events
	HasLast bool // whether Last is set
	Counted bool // numbers are expected to count the events, so that one that is left out shows a missing event
	Sole    bool // only the run that sent the first event may continue the answer

	// Presumed makes runs hold events after a gap until it is clear whether numbers count the events.
	Presumed bool

	run         int // identifies the run that sent the last event, if there is one
	runs        int // that sent events
	numbering   P
	previous    N // number of the event before the last one
	hasPrevious bool
	isFromFirst bool // the first event has the first number of a count
	hasSkipped  bool // a number was left out
	unnumbered  int  // events without a number after the last one that has one
	leading     int  // those before that one, after the number before
	recurs      bool // IDs that are no numbers have come again, so that none names an event
	passed      int  // events

	recent   [recentEvents]remembered
	numbered int // events with a number
}

// remembered is an event with a number, by hashes.
type remembered struct{ number, content uint64 }

// Event is one event. Content identifies its bytes, with its number.
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

// IsCount reports whether the numbers of the events so far are a count from the first one on.
func (a *Answer[N, P]) IsCount() bool { return a.isFromFirst && !a.hasSkipped }

// counts reports whether a number that is left out shows a missing event: it is expected to, or the answer is a count so far.
func (a *Answer[N, P]) counts() bool { return a.Counted || a.isShownCount() }

// isShownCount reports whether the answer itself shows that its numbers count the events.
func (a *Answer[N, P]) isShownCount() bool { return a.IsCount() && a.numbered >= shownCount }

// CanContinue reports whether another run can continue after the last event: it has a number, or there is none yet.
func (a *Answer[N, P]) CanContinue() bool { return a.unnumbered == 0 && !a.recurs }

// Previous returns the number after which a run sends the last event again, and nothing else if the answer is whole. It
// returns false if that is not known.
func (a *Answer[N, P]) Previous() (N, bool) {
	if !a.CanContinue() || !a.HasLast {
		var zero N
		return zero, false
	}
	return a.beforeLast()
}

// PreviousInRun is Previous for a part of the run that sent the last event with a number, if one was sent. Those without a number that
// follow it come again with it.
func (a *Answer[N, P]) PreviousInRun() (N, bool) {
	if a.numbered == 0 || a.recurs {
		var zero N
		return zero, false
	}
	return a.beforeLast()
}

func (a *Answer[N, P]) beforeLast() (N, bool) {
	if a.hasPrevious {
		return a.previous, true
	}
	return a.numbering.Before(a.Last)
}

// Runs returns the number of runs that sent the events accepted. A run that comes back after another one counts again.
func (a *Answer[N, P]) Runs() int { return a.runs }

// Start returns a further run of the answer, or a part of one, such as what another endpoint sends of a run that was moved
// there. All parts of a run have the same identifier, and no two runs of an answer have the same.
func (a *Answer[N, P]) Start(run int) *Run[N, P] {
	return &Run[N, P]{answer: a, id: run, isResumed: a.HasLast, continues: a.HasLast, atLast: !a.HasLast && a.passed == 0}
}

// StartAtLast is Start for a part of a run that was asked to go on after PreviousInRun. What the answer has of that is dropped whatever
// its bytes, which may name what sent it.
func (a *Answer[N, P]) StartAtLast(run int) *Run[N, P] {
	r := a.Start(run)
	r.repeatsLast, r.leading, r.trailing = a.HasLast, a.leading, a.unnumbered
	return r
}

// mayContinue reports whether the answer may have events of a run.
func (a *Answer[N, P]) mayContinue(run int) bool {
	return !a.Sole || !a.HasLast && a.passed == 0 || a.passed > 0 && a.run == run
}

// hasNumber reports whether the event has a number. After a number that can be compared, one that can't says nothing.
func (a *Answer[N, P]) hasNumber(e Event[N]) bool {
	return e.HasNumber && (!a.HasLast || a.numbering.IsNumber(e.Number) || !a.numbering.IsNumber(a.Last))
}

// judge returns the verdict on an event with a number. Numbers that can't be compared may recur within a run, but a run that
// continues another one must not send what that one sent.
func (a *Answer[N, P]) judge(e Event[N], isResumed bool) Verdict {
	isNumber := a.numbering.IsNumber(e.Number)
	if !a.HasLast {
		if a.Counted && isNumber && !a.numbering.IsFirst(e.Number) {
			return Gap
		}
		return Accepted
	}
	relation := a.numbering.Relate(a.Last, e.Number)
	isKnown, isSame := a.find(e)
	switch {
	case relation == Later && a.counts():
		return Gap
	case relation == Next || relation == Later || !isNumber && (!isResumed || !isKnown):
		return Accepted
	case relation == Unknown && !isKnown:
		return Accepted
	case isSame:
		return Dropped
	default:
		return Reversed
	}
}

// find reports whether a recent event has the number of e, and whether one is the same.
func (a *Answer[N, P]) find(e Event[N]) (isKnown, isSame bool) {
	h := maphash.Comparable(seed, e.Number)
	for _, o := range a.recent[:min(a.numbered, recentEvents)] {
		isKnown = isKnown || o.number == h
		isSame = isSame || o.number == h && o.content == e.Content
	}
	return isKnown, isSame
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
	case relation == Later && a.counts():
		return Gap
	case relation == Same || relation == Earlier:
		return Dropped
	default:
		return Unproven
	}
}

// accept adds an event of a run to the answer.
func (a *Answer[N, P]) accept(e Event[N], run int) {
	if a.passed++; a.runs == 0 || a.run != run {
		a.runs++
	}
	a.run = run
	if !a.hasNumber(e) {
		a.unnumbered++
		return
	}
	a.leading, a.unnumbered = a.unnumbered, 0
	if isKnown, _ := a.find(e); isKnown {
		a.recurs = true
	}
	a.recent[a.numbered%recentEvents] = remembered{maphash.Comparable(seed, e.Number), e.Content}
	a.numbered++
	if a.HasLast {
		a.hasSkipped = a.hasSkipped || a.numbering.Relate(a.Last, e.Number) != Next
		a.previous, a.hasPrevious = a.Last, true
	} else {
		a.isFromFirst = a.numbering.IsFirst(e.Number)
	}
	a.Last, a.HasLast = e.Number, true
}
