package forward

import (
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/rollout"
)

// slowTimes is the factor above which a response counts as slow: its time to the first event over
// the expected time for its whole prompt at the known load, or its mean pause between events over
// the expected pause. Bad versions take several times as long.
const slowTimes = 2

// leastEvents is the number of events from which the mean pause between them is meaningful.
const leastEvents = 4

// findFor chooses among the endpoints of the versions that the roll-out allows for a request. A
// request for the new version goes to the others if no endpoint of the new version accepts it. If
// only the new version has serving endpoints, they get all requests unless the version was
// reverted.
func (f *Forwarder) findFor(service string, q balance.Query, p rollout.VersionFilter) (ch balance.Choice, known, ok bool) {
	if p.AllowsAny() {
		return f.find(service, q)
	}
	q.Eligible = func(e *endpoint.Endpoint) bool { return p.Allows(e.Version) }
	if ch, known, ok = f.find(service, q); ok {
		return ch, known, ok
	}
	version, stage := f.Rollouts.Stage(service, boottime.Now())
	if p.Except != "" && (stage == rollout.Reverted || f.serve(service, rollout.VersionFilter{Except: version})) {
		return ch, known, false
	}
	q.Eligible = nil
	return f.find(service, q)
}

// serve reports whether a service has a serving endpoint of a version that p allows.
func (f *Forwarder) serve(service string, p rollout.VersionFilter) bool {
	for _, e := range f.Roster.Serving(service) {
		if p.Allows(e.Version) {
			return true
		}
	}
	return false
}

// compare records the result of an attempt for the roll-out of its version if the endpoint
// answered. An interrupted attempt says nothing about the version: the cause may be the endpoint's
// box, the network or this box.
func (r *run) compare(ch balance.Choice, out ended, sent time.Time) {
	if !out.done && !out.answered {
		return
	}
	r.f.Rollouts.RecordAnswer(r.q.Service.Name, r.q.Route.Name, ch.Endpoint.Version, out.answered, slow(ch, out, sent))
}

// slow reports whether a response took more than slowTimes the expected time, to its first event or
// between events.
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
