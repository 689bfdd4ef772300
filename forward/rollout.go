package forward

import (
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/rollout"
)

// slowTimes is how many times the time that its whole prompt takes to read, at the load that is
// known, an answer's first event takes from which on it counts as slow, and likewise the pauses
// after it. Bad versions take several times as long.
const slowTimes = 2

// leastEvents is from how many events on the mean pause between them tells something.
const leastEvents = 4

// findFor chooses among the endpoints of the versions to which a request may go. One that is to
// go to the new version goes to the others if that has no endpoint that takes it; where no other
// version has any endpoint left, the new one takes all, unless it was found to be bad.
func (f *Forwarder) findFor(service string, q balance.Query, p rollout.VersionFilter) (ch balance.Choice, some, ok bool) {
	if p.AllowsAny() {
		return f.find(service, q)
	}
	q.Eligible = func(e *endpoint.Endpoint) bool { return p.Allows(e.Version) }
	if ch, some, ok = f.find(service, q); ok {
		return ch, some, ok
	}
	version, stage := f.Rollouts.Stage(service, boottime.Now())
	if p.Except != "" && (stage == rollout.Reverted || f.serve(service, rollout.VersionFilter{Except: version})) {
		return ch, some, false
	}
	q.Eligible = nil
	return f.find(service, q)
}

// serve reports whether a service has an endpoint of some versions that takes work.
func (f *Forwarder) serve(service string, p rollout.VersionFilter) bool {
	for _, e := range f.Roster.Serving(service) {
		if p.Allows(e.Version) {
			return true
		}
	}
	return false
}

// compare notes for a roll-out what became of an attempt that its endpoint answered. What breaks
// off tells nothing: it may be the endpoint's box, its link or this box.
func (r *run) compare(ch balance.Choice, out ended, sent time.Time) {
	if !out.done && !out.answered {
		return
	}
	r.f.Rollouts.RecordAnswer(r.q.Service.Name, r.q.Route.Name, ch.Endpoint.Version, out.answered, slow(ch, out, sent))
}

// slow reports whether an answer took far longer than is usual, to its first event or between
// events.
func slow(ch balance.Choice, out ended, sent time.Time) bool {
	if out.events == 0 {
		return false
	}
	if ch.TypicalFirstEvent > 0 && out.first.Sub(sent) > slowTimes*ch.TypicalFirstEvent {
		return true
	}
	if out.events < leastEvents || ch.Pause <= 0 {
		return false
	}
	return out.last.Sub(out.first)/time.Duration(out.events-1) > slowTimes*ch.Pause
}
