package forward

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/eventid"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/sequence"
	"birchlink.dev/birchlink/sse"
)

// eventRun is what one attempt sends of an answer whose events have IDs.
type eventRun = sequence.Run[string, eventid.Decimal]

// newAnswer returns the answer to a request whose caller has the events up to the one with an ID; none if it is empty.
func newAnswer(lastID string) sequence.Answer[string, eventid.Decimal] {
	if lastID == "" {
		return sequence.Answer[string, eventid.Decimal]{}
	}
	return sequence.StartAfter[string, eventid.Decimal](lastID)
}

func sequenceEvent(e sse.Event) sequence.Event[string] {
	return sequence.Event[string]{Number: e.ID, HasNumber: e.ID != "", Content: xxhash.Sum64(e.Raw)}
}

// recordVerdict logs and counts an event with an ID that does not follow.
func (r *run) recordVerdict(v sequence.Verdict, id string) {
	if v == sequence.Accepted {
		return
	}
	metrics.GetOrRegisterCounter("streams.event."+v.String(), r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "stream event").Func(r.marshalStream).Str("id", id).Str("verdict", v.String()).Msg("the event does not follow")
}

// recordEnd counts the end of an attempt's stream, and logs it unless it completes the answer. Err is what the end was read as.
func (r *run) recordEnd(v sequence.Verdict, resp *httpconn.Response, err error) {
	metrics.GetOrRegisterCounter("streams.end."+v.String(), r.f.Metrics).Inc(1)
	if v == sequence.Complete {
		return
	}
	r.f.Log.Info().Str("event", "stream end").Func(r.marshalStream).Str("verdict", v.String()).Bool("framed", resp.Framed()).AnErr("read", err).
		Msg("the end of the stream does not complete the answer")
}

// marshalStream adds to a log entry which attempt's stream it is about, and how far the answer is.
func (r *run) marshalStream(e *zerolog.Event) {
	h := r.trace.Choice.Endpoint
	e.Str("request", r.q.Call.ID).Str("endpoint", h.ID).Str("version", h.Version).Int64("born", h.StartMillis).Int("attempt", len(r.reached)+1).
		Int("moves", r.moves).Bool("continued", r.continued != nil).Bool("successor", r.successor != nil).
		Str("after", r.q.Call.LastEventID).Str("last_event", r.answer.Last).Int("events", r.answer.Passed()).Bool("counted", r.answer.Counted)
}
