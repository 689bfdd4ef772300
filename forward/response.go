package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endmark"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/sequence"
	"birchlink.dev/birchlink/sse"
)

// maxResponseSize is the maximum size of a response that is not a stream, in bytes.
const maxResponseSize = 8 << 20

// errCallerWrite reports that writing to the caller failed.
var errCallerWrite = errors.New("the caller does not read")

// readResponse reads a response and passes it to the sink if it is usable.
func (r *run) readResponse(c context.Context, resp *httpconn.Response, n *balance.Attempt, w *watchdog, sent time.Time) attemptResult {
	o := r.f.Codec.Outcome(resp.Status, resp.Header)
	if r.f.Terminations != nil && !o.WrongIncarnation {
		r.f.Terminations.RecordHeard(r.trace.Choice.Endpoint.Incarnation())
	}
	if !o.WrongIncarnation {
		r.f.Liveness.RecordAnswer(r.trace.Choice.Endpoint.Incarnation(), sent)
	}
	r.handleOutcome(o)
	n.BackOff(o.BackOff, boottime.Now())
	if o.NotRun {
		n.RecordRefusal(boottime.Now())
		resp.Discard()
		return attemptResult{interruption: recovery.Refused, err: fmt.Errorf("status %d: not run", resp.Status)}
	}
	if resp.EventStream && resp.Status < http.StatusMultipleChoices && r.isStream() {
		return r.forwardEvents(c, resp, n, w)
	}
	b, err := r.readPlain(c, resp)
	if err != nil {
		return attemptResult{interruption: recovery.Gone, err: fmt.Errorf("the answer was cut: %w", err)}
	}
	n.RecordProgress(boottime.Now())
	read := boottime.Now()
	if resp.Status >= http.StatusBadRequest && !r.mayAnswer() {
		// The attempt that is silent may still be answered with success.
		r.keepErrorResponse(resp, b)
		return attemptResult{interruption: recovery.Gone, answered: true, err: fmt.Errorf("status %d", resp.Status)}
	}
	if resp.Status < http.StatusInternalServerError && !r.headSent && !r.lead(w) {
		return attemptResult{interruption: recovery.Gone, err: errSuperseded}
	}
	r.recordStart(sent)
	if resp.Status < http.StatusMultipleChoices {
		r.recordAnswer(n)
	}
	r.recordSurvival(resp, sent)
	if resp.Status >= http.StatusInternalServerError {
		r.keepErrorResponse(resp, b)
		return attemptResult{interruption: recovery.Gone, answered: true, err: fmt.Errorf("status %d", resp.Status)}
	}
	if r.headSent {
		return attemptResult{interruption: recovery.Gone, answered: true, err: fmt.Errorf("status %d in place of the rest of a stream", resp.Status)}
	}
	// Return the connection to the pool before writing to a possibly slow caller.
	resp.Finish()
	if err := r.sink.Response(resp.Status, resp.Header, b); err != nil {
		return attemptResult{interruption: recovery.Gone, err: fmt.Errorf("%w: %w", errCallerWrite, err)}
	}
	out := attemptResult{done: true}
	out.recordEvent(read)
	return out
}

// readPlain reads a response that is not a stream. Its run can't be continued elsewhere, so that no order to stop it is sent from now on.
func (r *run) readPlain(c context.Context, resp *httpconn.Response) ([]byte, error) {
	r.stream.refuseOrders()
	b, err := resp.ReadAll(maxResponseSize)
	if err == nil && !resp.HasLength() { // a length was stated before any order
		err = r.confirmPlainEnd(c, resp, b)
	}
	return b, err
}

// handleOutcome processes what a response reports about its endpoint: a back-off period, a rate
// limit, or that it is draining. The last is broadcast to all boxes, since the endpoint's record
// does not arrive while the store is unavailable.
func (r *run) handleOutcome(o call.Outcome) {
	r.trace.Outcome = o
	e := r.trace.Choice.Endpoint
	if o.BackOff > 0 {
		metrics.GetOrRegisterCounter("answers.says_rest", r.f.Metrics).Inc(1)
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("request", r.q.Call.ID).Dur("rest", o.BackOff).Msg("rests")
	}
	if !o.WrongIncarnation {
		r.handleRateLimit(o.Statement, e)
		r.handleRefusalLimit(o.Refusals, e)
	}
	if !o.Draining {
		return
	}
	metrics.GetOrRegisterCounter("answers.says_leaving", r.f.Metrics).Inc(1)
	if r.f.Roster.MarkDraining(e.Incarnation()) {
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("request", r.q.Call.ID).
			Str("seen", "it said so in an answer").Msg("leaves")
		r.f.OnDraining(e)
	}
}

// handleRateLimit processes the rate limit that a response reports for its endpoint. A limit that
// was set, lowered or removed is broadcast to all boxes.
func (r *run) handleRateLimit(s endpoint.Statement, e endpoint.Endpoint) {
	if s.InvalidLimit != "" {
		metrics.GetOrRegisterCounter("answers.says_unreadable_limit", r.f.Metrics).Inc(1)
		return
	}
	if s.Limit.Limited {
		metrics.GetOrRegisterCounter("answers.says_limit", r.f.Metrics).Inc(1)
	}
	at := r.statedAt(s.Limit)
	report, changed := r.f.Balancer.Availability.Rates.Observe(e.Incarnation(), s.Limit, at)
	if !changed {
		return
	}
	report.Age = boottime.Since(at)
	r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("request", r.q.Call.ID).Bool("limited", report.Limited).
		Float64("per_second", report.PerSecond).Str("seen", "it said so in an answer").Msg("takes a rate")
	r.f.OnLimitChange(report)
}

// statedAt returns the time from which a response of the current attempt counts as a statement of a limit. The response may have
// waited to be read while the process was stopped. One without a limit removes limits, so it counts from when its request was sent.
func (r *run) statedAt(l endpoint.Limit) time.Time {
	if l.Limited {
		return boottime.Now()
	}
	return r.attemptSent
}

// handleRefusalLimit processes the rate of refusals at which a response states that its endpoint fails.
func (r *run) handleRefusalLimit(l endpoint.Limit, e endpoint.Endpoint) {
	if _, changed := r.f.Balancer.Availability.Refusals.Observe(e.Service, l, r.statedAt(l)); changed {
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("request", r.q.Call.ID).Str("service", e.Service).
			Bool("limited", l.Limited).Float64("refusals_per_second", l.PerSecond).Msg("fails if it refuses more")
	}
}

// keepErrorResponse stores an endpoint's error response, which is returned if no other attempt
// succeeds. Status 503 tells the caller that the request did not run, which is not known here, so
// it is not kept. Nor is one for which the budget has no room.
func (r *run) keepErrorResponse(resp *httpconn.Response, b []byte) {
	if resp.Status == http.StatusServiceUnavailable {
		return
	}
	resp.Close()
	if r.holdErrorResponse(r.trace.Choice.Endpoint.ID, len(b)) {
		r.errorResponse = &response{resp.Status, resp.Header, b}
	}
}

// holdErrorResponse reports whether the budget has room for an error response of n bytes. The run holds them until it ends.
func (r *run) holdErrorResponse(endpoint string, n int) bool {
	return r.f.Pool.Budget.Hold(r, endpoint, n, nil) == nil
}

// attemptStream is the stream that an attempt reads.
type attemptStream struct {
	resp   *httpconn.Response
	n      *balance.Attempt
	w      *watchdog
	seq    *eventRun
	before preamble
	held   []sse.Event // events that may follow a missing one
	out    attemptResult
}

// forwardEvents passes complete events to the sink as they arrive. The caller gets the head of
// the first response that has an event which is part of the answer. What comes before that event is passed with it or, if no
// other endpoint may begin the stream, with the head as it arrives.
func (r *run) forwardEvents(c context.Context, resp *httpconn.Response, n *balance.Attempt, w *watchdog) attemptResult {
	s := &attemptStream{
		resp: resp, n: n, w: w, seq: r.answer.Start(r.current), before: preamble{hold: resp.Hold}, out: attemptResult{interruption: recovery.Gone},
	}
	if r.continued != nil && r.after != r.answer.Last {
		s.seq = r.answer.StartAtLast(r.current)
	}
	rd := sse.NewReader(resp.Body)
	rd.Hold = s.before.holdEvent
	for {
		e, err := rd.Next()
		if err != nil {
			r.endEvents(c, s, err)

			return s.out
		}
		v, err := r.checkEvent(s.seq, e, resp.Framed())
		if e.IsContent() && v != sequence.Dropped {
			s.out.hasMore = true
			r.continued.recordMore()
		}
		switch {
		case err != nil:
		case v == sequence.Accepted && !e.IsContent() && (!r.mayAnswer() || w.hasSuccessor()):
			err = r.setAside(s, e)
		case v == sequence.Accepted && !e.IsContent() && len(s.held) > 0:
			s.held = append(s.held, e) // it keeps its place
		case v == sequence.Accepted:
			err = r.forwardEvent(s, e)
		case v == sequence.Held:
			s.held = append(s.held, e)
			n.RecordProgress(boottime.Now())
		case v == sequence.Uncounted:
			err = r.forwardHeld(s, e)
		}
		if err != nil {
			s.out.err = err
			return s.out
		}
	}
}

// forwardHeld passes the events to the caller that were held since numbers were left out before them, and one more.
func (r *run) forwardHeld(s *attemptStream, last sse.Event) error {
	if !r.lead(s.w) {
		return errSuperseded
	}
	s.seq.AllowGaps()
	for _, e := range append(s.held, last) {
		if _, err := r.checkEvent(s.seq, e, s.resp.Framed()); err != nil {
			return err
		}
		if err := r.forwardEvent(s, e); err != nil {
			return err
		}
	}
	s.held = nil
	return nil
}

// forwardEvent adds an event to the answer, if it is part of it, and passes it to the caller. One that is no part of it is held while
// another endpoint may begin the stream.
func (r *run) forwardEvent(s *attemptStream, e sse.Event) error {
	if !r.lead(s.w) {
		return errSuperseded
	}
	if !e.IsContent() && !r.headSent && r.q.Route.Repeatable() {
		return r.holdEvent(s, e)
	}
	if e.IsContent() {
		s.seq.Accept(sequenceEvent(e))
		r.lastEvent = endmark.HashOf(e.Raw)
		r.recordNumbering()
	}
	r.recordEvent(s.n, &s.out)
	if err := r.passEvent(s.resp, s.before.take(e)); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	s.before.release()
	s.out.advanced = true
	s.w.endEvent()
	return nil
}

// setAside keeps an event that is no content, which does not decide whether an attempt or its successor goes on. Comments, and what comes
// after the beginning of the answer, are dropped.
func (r *run) setAside(s *attemptStream, e sse.Event) error {
	if !e.HasField || r.headSent {
		return nil
	}
	return s.before.add(e)
}

// holdEvent adds an event that is no content to the preamble of a stream that has not begun.
func (r *run) holdEvent(s *attemptStream, e sse.Event) error {
	s.n.RecordProgress(boottime.Now())
	r.stream.recordEvent(r.answer.CanContinue(), boottime.Now())
	if err := s.before.add(e); err != nil {
		return err
	}
	s.w.endEvent()
	return nil
}

// recordEvent records an event, or a comment, that is about to be passed to the caller.
func (r *run) recordEvent(n *balance.Attempt, out *attemptResult) {
	n.RecordProgress(boottime.Now())
	out.recordEvent(boottime.Now())
	r.recordRunning(out)
	r.trace.Runs = r.answer.Runs()
	r.stream.recordEvent(r.answer.CanContinue(), boottime.Now())
	if !out.advanced && r.continued == nil {
		r.recordAnswer(n)
	}
	if !out.advanced {
		r.recordVersion(r.trace.Choice.Endpoint)
	}
	r.recordStart(boottime.Now())
}

// passEvent passes the bytes of an event to the caller, and the head of its response before the first one.
func (r *run) passEvent(resp *httpconn.Response, raw []byte) error {
	if !r.headSent {
		r.headSent = true
		if err := r.sink.Head(resp.Status, resp.Header); err != nil {
			return err
		}
	}
	return r.sink.Event(raw)
}

// endEvents completes the result of a stream of which no more events can be read.
func (r *run) endEvents(c context.Context, s *attemptStream, err error) {
	resp, out := s.resp, &s.out
	isStated := errors.Is(err, io.EOF)
	isDoubted := isStated && r.settleStatedEnd(s)
	if isStated && !isDoubted && !resp.Framed() {
		if err = r.confirmStreamEnd(c); err != nil {
			isStated = false
		}
	}
	v := s.seq.End(isStated)
	if isDoubted && v == sequence.Complete {
		v = r.judgeDoubted(resp, out.stopped)
	}
	r.recordEnd(v, resp, err)
	switch {
	case isDoubted && out.stopped != nil && out.stopped.confirmed:
		out.err = errStopped
	case v == sequence.Broken:
		out.err = fmt.Errorf("the stream broke: %w", err)
		if out.stopped == nil {
			out.stopped = r.stream.settle(streamEndOf(err))
		}
	case v == sequence.Unproven && !r.answer.HasLast:
		out.err = errors.New("the stream ended before its first event")
	case v == sequence.Unproven:
		out.err = errUnprovenEnd
		out.unproven = &response{status: resp.Status, header: resp.Header}
	case !r.lead(s.w):
		out.err = errSuperseded
	default:
		r.recordSurvival(resp, out.firstEventAt)
		if out.advanced && !isDoubted {
			r.f.EndMarks.Record(r.q.Service.Name, r.trace.Choice.Endpoint.ID, r.lastEvent)
		}
		out.done = true
	}
}

// judgeDoubted returns the verdict on the end of an answer that may be the effect of an order, and whose run may continue; stopped is nil
// if it may not.
func (r *run) judgeDoubted(resp *httpconn.Response, stopped *stoppedRun) sequence.Verdict {
	// A stopped run ends without framing. One that ends with it, and whose source has answered, has likely ended by itself.
	isWhole := resp.Framed() && !r.isProvable() && !r.shared.stopOrders.MayStop(r.trace.Choice.Endpoint.ID)
	if stopped != nil {
		stopped.isWhole = isWhole
		return sequence.Unproven
	}
	if isWhole {
		return sequence.Complete
	}
	return sequence.Unproven
}

// isProvable reports whether an attempt may show the end of the answer that is no part of the run that sent its last event.
func (r *run) isProvable() bool { return r.q.Route.Repeatable() && r.answer.CanContinue() }

// streamEndOf returns how a stream has ended that is not whole, by the error with which its last event was read.
func streamEndOf(err error) streamEnd {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, sse.ErrTruncated) || errors.Is(err, errConnectionEnd) {
		return streamClosed
	}
	return streamCut
}

// settleStatedEnd ends the move of a stream that states its end, and reports whether that may be the effect of an order: one to stop this
// run, or an earlier one without an answer. If the run may go on elsewhere, the result of the attempt has the stopped run.
func (r *run) settleStatedEnd(s *attemptStream) bool {
	orders, source, isFramed := &r.shared.stopOrders, r.trace.Choice.Endpoint.ID, s.resp.Framed()
	isTold := r.stream.refuseOrders()
	if s.resp.HasLength() {
		return false // the length was stated before any order
	}
	if !isTold {
		return orders.MayStop(source)
	}
	stopped := r.stream.settleDoubted(isFramed)
	if stopped != nil && stopped.confirmed {
		s.out.stopped = stopped
		return true
	}
	if s.out.stopped = stopped; stopped != nil {
		stopped.mayBeWhole = true
	}
	return true
}

// confirmStreamEnd is confirmEnd for a stream. A stream of a service whose streams end with a mark ends with it.
func (r *run) confirmStreamEnd(c context.Context) error {
	if r.answer.Passed() > 0 && r.f.EndMarks.Lacks(r.q.Service.Name, r.q.Call.ID, r.lastEvent) {
		metrics.GetOrRegisterCounter("answers.unframed.unmarked", r.f.Metrics).Inc(1)
		return errNoEndMark
	}
	return r.confirmEnd(c, answerStream)
}
