package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/recovery"
)

// checkCrash reports an interrupted attempt to the quarantine unless the endpoint was draining, and
// checks at once whether the endpoint has crashed. A request that crashes endpoints is retried
// within a second, and without the check every other request would detect the crash on its own.
func (r *run) checkCrash(c context.Context, out attemptResult, e endpoint.Endpoint) {
	switch {
	case out.isRefusedConnection():
		r.reportCrash(e)
		return
	case out.interruption != recovery.Gone || out.answered || out.unproven != nil || errors.Is(out.err, errOutOfOrder) || c.Err() != nil || r.f.Pool.IsLost(e.ID):
		return
	}
	if errors.Is(out.err, errReplaced) {
		r.f.Quarantine.RecordFailure(r.quarantineAttempt(e), r.attemptSent, boottime.Now())
		r.f.Quarantine.RecordCrash(e.Incarnation(), "another started under its ID", boottime.Now())
		return
	}
	if !r.f.isServing(e) {
		return
	}
	r.f.Quarantine.RecordFailure(r.quarantineAttempt(e), r.attemptSent, boottime.Now())
	if errors.Is(out.err, errUnresponsive) || !r.f.Pool.RefusesConnections(c, e.ID, e.Address) {
		return
	}
	r.reportCrash(e)
}

// quarantineAttempt returns the attempt at an endpoint as the quarantine knows it.
func (r *run) quarantineAttempt(e endpoint.Endpoint) quarantine.Attempt {
	return quarantine.Attempt{Request: r.q.items(), Endpoint: e.Incarnation(), Version: e.Version}
}

// recordRunning reports to the quarantine that the endpoint goes on with a stream, once it has for long enough.
func (r *run) recordRunning(out *attemptResult) {
	if out.isRunning || out.lastEventAt.Sub(out.firstEventAt) < quarantine.RunningTime {
		return
	}
	out.isRunning = true
	r.f.Quarantine.RecordRunning(r.q.items(), r.trace.Choice.Endpoint.Version, out.firstEventAt, out.lastEventAt)
}

// recordSurvival reports to the quarantine that the endpoint ran the request without crashing. Begun is when it began to write
// the answer, or an earlier time. A server error does not show that, since the endpoint may not have begun to run the
// request, and another error shows nothing of the parts of the prompt.
func (r *run) recordSurvival(resp *httpconn.Response, begun time.Time) {
	if resp.Status >= http.StatusInternalServerError {
		return
	}
	e := r.trace.Choice.Endpoint
	a := r.quarantineAttempt(e)
	if resp.Status >= http.StatusMultipleChoices {
		a.Parts = nil
	}
	r.f.Quarantine.RecordAnswer(a.Request, e.Version, begun, boottime.Now())
}

// reportCrash records that an endpoint has crashed, since it refuses connections.
func (r *run) reportCrash(e endpoint.Endpoint) {
	now := boottime.Now()
	metrics.GetOrRegisterCounter("endpoints.reported_ended", r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("request", r.q.Call.ID).
		Str("seen", "it refuses connections").Msg("reported as ended to all boxes")
	r.f.Balancer.RecordCrash(e.ID, now)
	r.f.Quarantine.RecordCrash(e.Incarnation(), "it refuses connections", now)
	r.f.OnCrash(e)
}
