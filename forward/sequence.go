package forward

import (
	"errors"
	"fmt"

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

// errOutOfOrder reports an event that does not follow those that the caller has.
var errOutOfOrder = errors.New("the stream is out of order")

// newAnswer returns the answer to a request whose caller has the events up to the one with an ID; none if it is empty.
func (f *Forwarder) newAnswer(q *Request, lastID string) sequence.Answer[string, eventid.Decimal] {
	var a sequence.Answer[string, eventid.Decimal]
	if lastID != "" {
		a = sequence.StartAfter[string, eventid.Decimal](lastID)
	}
	a.Counted, a.Presumed, a.Sole = f.Numbering.Counts(q.Service.Name), true, !q.Route.Repeatable()
	return a
}

// beginRun returns the identifier of the run that an attempt begins or, if it goes on with one that was moved, of that run.
func (r *run) beginRun() int {
	if r.continued != nil {
		return r.continued.run
	}
	return int(r.shared.runs.Add(1))
}

// numberingEvents is the number of events that show whether an answer counts them.
const numberingEvents = 3

// recordNumbering records whether the first events of an answer are counted.
func (r *run) recordNumbering() {
	if r.q.Call.LastEventID == "" && r.answer.Passed() == numberingEvents && (eventid.Decimal{}).IsNumber(r.answer.Last) {
		r.f.Numbering.Record(r.q.Service.Name, r.trace.Choice.Endpoint.ID, r.answer.IsCount())
	}
}

func sequenceEvent(e sse.Event) sequence.Event[string] {
	return sequence.Event[string]{Number: e.ID, HasNumber: e.ID != "", Content: xxhash.Sum64(e.Raw)}
}

// maxHeldBytes bounds an event that is held until the next one. The reader accounts for the newest event only.
const maxHeldBytes = 4 << 10

// checkEvent returns whether the event is to be passed to the caller, Accepted, or is to be kept until the next one, Held, or shows that
// the events kept are to be passed on as well, Uncounted. One that the caller has is Dropped. The error reports that the attempt can't
// go on, since an event is missing, or another one has the number of one that the caller has. Comments and other events that are no
// content always follow, unless they have fields that the format doesn't know. In a stream without framing these may be the head of
// another answer, whose body would follow.
func (r *run) checkEvent(seq *eventRun, e sse.Event, isFramed bool) (sequence.Verdict, error) {
	if e.HasUnknown && (!isFramed || !e.IsContent()) {
		metrics.GetOrRegisterCounter("streams.event.foreign", r.f.Metrics).Inc(1)
		if !isFramed {
			return 0, fmt.Errorf("%w: an unknown field", errOutOfOrder)
		}
		return sequence.Dropped, nil
	}
	if !e.IsContent() {
		return sequence.Accepted, nil
	}
	v := seq.Judge(sequenceEvent(e))
	if v == sequence.Held && len(e.Raw) > maxHeldBytes || v == sequence.Uncounted && !r.f.Numbering.RecordGaps(r.q.Service.Name, r.trace.Choice.Endpoint.ID, r.leftOut(seq, e)) {
		v = sequence.Gap
	}
	if v == sequence.Accepted {
		return v, nil
	}
	metrics.GetOrRegisterCounter("streams.event."+v.String(), r.f.Metrics).Inc(1)
	if v != sequence.Dropped || seq.Repeats() == 1 {
		r.logVerdict(v, e.ID)
	}
	switch v {
	case sequence.Dropped, sequence.Held, sequence.Uncounted:
		return v, nil
	case sequence.Gap:
		if !seq.IsContinuing() && r.answer.Passed() < numberingEvents { // a run that continues may have begun elsewhere than it was asked to
			r.f.Numbering.Record(r.q.Service.Name, r.trace.Choice.Endpoint.ID, false)
		}
	}
	return v, fmt.Errorf("%w: %s, %q after %q", errOutOfOrder, v, shortID(e.ID), r.lastID())
}

// leftOut returns how many numbers are left out up to an event that is Uncounted.
func (r *run) leftOut(seq *eventRun, e sse.Event) int {
	return eventid.Decimal{}.LeftOut(r.answer.Last, e.ID, seq.CountHeld())
}

// maxLoggedID bounds the IDs of events in logs, in bytes.
const maxLoggedID = 64

func shortID(id string) string { return id[:min(len(id), maxLoggedID)] }

// lastID returns the ID of the last event for the log.
func (r *run) lastID() string { return shortID(r.answer.Last) }

// logVerdict logs an event that does not follow.
func (r *run) logVerdict(v sequence.Verdict, id string) {
	r.f.Log.Info().Str("event", "stream event").Func(r.marshalStream).Str("id", shortID(id)).Str("verdict", v.String()).Msg("the event does not follow")
}

// recordEnd counts the end of an attempt's stream, and logs it unless it completes the answer of a run that was not told to stop. Err is
// what the end was read as.
func (r *run) recordEnd(v sequence.Verdict, resp *httpconn.Response, err error) {
	metrics.GetOrRegisterCounter("streams.end."+v.String(), r.f.Metrics).Inc(1)
	if v == sequence.Complete && !r.stream.isToldToStop() {
		return
	}
	r.f.Log.Info().Str("event", "stream end").Func(r.marshalStream).Str("verdict", v.String()).Bool("framed", resp.Framed()).AnErr("read", err).
		Msg("the stream has ended")
}

// marshalStream adds to a log entry which attempt's stream it is about, and how far the answer is.
func (r *run) marshalStream(e *zerolog.Event) {
	h := r.trace.Choice.Endpoint
	e.Str("request", r.q.Call.ID).Str("endpoint", h.ID).Str("version", h.Version).Int64("born", h.StartMillis).Int("attempt", len(r.reached)+1).
		Int("run", r.current).Int("moves", r.moves).Bool("continued", r.continued != nil).Bool("successor", r.successor != nil).
		Str("after", shortID(r.q.Call.LastEventID)).Str("last_event", r.lastID()).Int("events", r.answer.Passed()).Bool("counted", r.answer.Counted).
		Func(r.marshalStopOrders(h))
}
