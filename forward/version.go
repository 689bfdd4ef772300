package forward

import (
	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/endpoint"
)

// Relations of the software version at which a stream goes on to the one at which it began, as values in logs and parts
// of the names of metrics.
const (
	sameVersion    = "same"
	otherVersion   = "other"
	unknownVersion = "unknown" // one of them is not known
)

// recordVersion records the endpoint at which the stream begins or, with its first event from another endpoint, goes on.
func (r *run) recordVersion(e endpoint.Endpoint) {
	if r.began == nil {
		r.began = &e
		return
	}
	relation := otherVersion
	switch {
	case r.began.Version == "" || e.Version == "":
		relation = unknownVersion
	case r.began.Version == e.Version:
		relation = sameVersion
	}
	metrics.GetOrRegisterCounter("streams.continued."+relation, r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "continue").Str("request", r.q.Call.ID).Str("resumes", r.q.Call.Resumes).Str("last_event", r.lastEventID).
		Str("endpoint", r.began.ID).Str("version", r.began.Version).Str("to", e.ID).Str("to_version", e.Version).Str("relation", relation).Msg("decision")
}
