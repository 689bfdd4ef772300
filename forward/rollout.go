package forward

import (
	"slices"
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/rollout"
)

// slowFactor is the factor above which a response counts as slow: its time to the first event over
// the expected time for its whole prompt at the known load, or its mean pause between events over
// the expected pause. Bad versions take several times as long.
const slowFactor = 2

// minEventsForPause is the number of events from which the mean pause between them is meaningful.
const minEventsForPause = 4

// findVersion chooses among the endpoints of the versions that the roll-out allows for a request. A
// request for the new version goes to the others if no endpoint of the new version accepts it. If
// only the new version has serving endpoints, they get all requests unless the version was
// reverted. The verdict restricts the versions in any case, and those in unsettled are left out.
func (f *Forwarder) findVersion(
	service string, q balance.Query, p rollout.VersionFilter, v quarantine.Verdict, unsettled []string,
) (ch balance.Choice, known, ok bool) {
	allows := func(version string) bool { return v.Allows(version) && !slices.Contains(unsettled, version) }
	if v.Versions != nil || len(unsettled) > 0 {
		q.Eligible = func(e *endpoint.Endpoint) bool { return allows(e.Version) }
	}
	if p.AllowsAny() {
		return f.find(service, q)
	}
	isAllowed := q.Eligible
	q.Eligible = func(e *endpoint.Endpoint) bool { return p.Allows(e.Version) && allows(e.Version) }
	if ch, known, ok = f.find(service, q); ok {
		return ch, known, ok
	}
	version, stage := f.Rollouts.Stage(service, boottime.Now())
	if p.Except != "" && (stage == rollout.Reverted || f.hasServing(service, rollout.VersionFilter{Except: version})) {
		return ch, known, false
	}
	q.Eligible = isAllowed
	return f.find(service, q)
}

// hasServing reports whether a service has a serving endpoint of a version that p allows.
func (f *Forwarder) hasServing(service string, p rollout.VersionFilter) bool {
	for _, e := range f.Roster.Serving(service) {
		if p.Allows(e.Version) {
			return true
		}
	}
	return false
}

// recordForRollout records the result of an attempt for the roll-out of its version if the endpoint
// answered. An interrupted attempt says nothing about the version: the cause may be the endpoint's
// box, the network or this box.
func (r *run) recordForRollout(ch balance.Choice, out attemptResult, sent time.Time) {
	if !out.done && !out.answered {
		return
	}
	r.f.Rollouts.RecordAnswer(r.q.Service.Name, r.q.Route.Name, ch.Endpoint.Version, out.answered, isSlow(ch, out, sent, r.trace.Via))
}

// isSlow reports whether a response took more than slowFactor the expected time, to its first
// event or between events. A response that came via another box tells nothing about that.
func isSlow(ch balance.Choice, out attemptResult, sent time.Time, via string) bool {
	if out.eventCount == 0 || via != "" {
		return false
	}
	if ch.TypicalFirstEvent > 0 && out.firstEventAt.Sub(sent) > slowFactor*ch.TypicalFirstEvent {
		return true
	}
	if out.eventCount < minEventsForPause || ch.Pause <= 0 {
		return false
	}
	return out.lastEventAt.Sub(out.firstEventAt)/time.Duration(out.eventCount-1) > slowFactor*ch.Pause
}
