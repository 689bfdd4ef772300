package forward

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
)

// Relations of the software version at which a stream goes on to the one at which it began, as values in logs and parts
// of the names of metrics.
const (
	sameVersion    = "same"
	otherVersion   = "other"
	unknownVersion = "unknown" // one of them is not known
)

// recordReturnTime is the time after which a caller may find an endpoint of its stream's version again if none is
// known: records that lapsed with the store are back about this long after it.
const recordReturnTime = 2 * time.Second

// UnsettledFunc returns the software versions of a service at which no stream may begin that its caller may take up at another
// box: these may not have heard of the version.
type UnsettledFunc func(service string) []string

const (
	// settleTimeout bounds the time for which a stream waits until it may begin at such a version, checked each
	// settlePollInterval. It is more than a version takes to settle. A stream waits for no more than half of the time that its caller does.
	settleTimeout      = 3 * time.Second
	settlePollInterval = 50 * time.Millisecond

	// settleRetryAfter is the time after which a caller returns that has waited in vain.
	settleRetryAfter = time.Second
)

// unsettled returns the versions at which the request may not begin.
func (r *run) unsettled() []string {
	if r.f.Unsettled == nil || r.begun != nil || !r.isStream() || !r.q.Route.Repeatable() {
		return nil
	}
	return r.f.Unsettled(r.q.Service.Name)
}

// isSameVersion reports whether what one endpoint computed can continue at the other. Endpoints of unknown version may
// differ.
func isSameVersion(a, b *endpoint.Endpoint) bool { return a.Version != "" && a.Version == b.Version }

// find chooses among the endpoints that may run the request: those of the version at which its stream began or, if it
// has not begun, of the versions that the roll-out allows.
func (r *run) find(q balance.Query) (ch balance.Choice, known, ok bool) {
	if r.begun == nil {
		return r.f.findVersion(r.q.Service.Name, q, r.versions, r.verdict, r.unsettled())
	}
	q.Eligible = func(e *endpoint.Endpoint) bool { return isSameVersion(e, r.begun) && r.verdict.Allows(e.Version) }
	return r.f.find(r.q.Service.Name, q)
}

// failNoEndpoint ends a request for which no endpoint is left.
func (r *run) failNoEndpoint() (bool, error) {
	if r.begun != nil {
		return r.fail(errkind.VersionUnavailable, r.noVersionReason())
	}
	if u := r.unsettled(); len(u) > 0 {
		r.permitRetryAfter = cmp.Or(r.permitRetryAfter, settleRetryAfter)
		return r.fail(errkind.NoEndpoint, fmt.Sprintf("no endpoint of %s is left but of %s, which other boxes may not know yet", r.q.Service.Name, u))
	}
	return r.fail(errkind.NoEndpoint, "no endpoint of "+r.q.Service.Name+" is left")
}

// versionsFunc returns a function that returns the software versions of a service's serving endpoints.
func (f *Forwarder) versionsFunc(service string) func() []string {
	return func() []string {
		seen := map[string]bool{}
		for _, e := range f.Roster.Serving(service) {
			seen[e.Version] = true
		}
		return slices.Sorted(maps.Keys(seen))
	}
}

// hasServingVersion reports whether a service has a serving endpoint of the version of e that is not to be skipped.
func (f *Forwarder) hasServingVersion(service string, e endpoint.Endpoint, skip map[string]bool) bool {
	for _, o := range f.Roster.Serving(service) {
		if isSameVersion(&o, &e) && !skip[o.Incarnation()] {
			return true
		}
	}
	return false
}

// versionRetryAfter returns when an endpoint of the stream's version may accept the request.
func (r *run) versionRetryAfter() time.Duration {
	var es []endpoint.Endpoint
	for _, e := range r.f.Roster.Serving(r.q.Service.Name) {
		if isSameVersion(&e, r.begun) {
			es = append(es, e)
		}
	}
	if len(es) == 0 {
		return recordReturnTime
	}
	return cmp.Or(r.f.Balancer.RetryAfter(es, boottime.Now()), r.permitRetryAfter)
}

func (r *run) noVersionReason() string {
	return "no endpoint of " + r.q.Service.Name + " is left that has the version " + r.begun.Version + ", which began the stream"
}

// recordVersion records the endpoint at which the stream begins or, with its first event from another endpoint, goes on.
func (r *run) recordVersion(e endpoint.Endpoint) {
	if !r.headSent && r.q.Route.Repeatable() && r.f.OnBegin != nil {
		r.f.OnBegin(&r.q, e)
	}
	if r.begun == nil {
		r.begun = &e
		return
	}
	relation := otherVersion
	switch {
	case isSameVersion(r.begun, &e):
		relation = sameVersion
	case r.begun.Version == "" || e.Version == "":
		relation = unknownVersion
	}
	metrics.GetOrRegisterCounter("streams.continued."+relation, r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "continue").Str("request", r.q.Call.ID).Str("resumes", r.q.Call.Resumes).Str("last_event", shortID(r.after)).
		Str("endpoint", r.begun.ID).Str("version", r.begun.Version).Str("to", e.ID).Str("to_version", e.Version).Str("relation", relation).
		Int("run", r.current).Bool("moved", r.continued != nil).Bool("resumable", r.q.Route.Repeatable()).Msg("decision")
}
