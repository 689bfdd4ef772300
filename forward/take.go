package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/exchange"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/sse"
)

// maxAnswer is the maximum size of a response that is not a stream, in bytes.
const maxAnswer = 8 << 20

// errSink reports that writing to the caller failed.
var errSink = errors.New("the caller does not read")

// take reads a response and passes it to the sink if it is usable.
func (r *run) take(a *exchange.Answer, n *balance.Attempt, w *watch, sent time.Time) ended {
	o := r.f.Codec.Outcome(a.Status, a.Header)
	r.hear(o)
	n.BackOff(o.Rest, boottime.Now())
	if o.NotRun {
		n.Refused(boottime.Now())
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer))
		return ended{breakage: recovery.Refused, err: fmt.Errorf("status %d: not run", a.Status)}
	}
	if a.Event && a.Status < http.StatusMultipleChoices && r.stream() {
		return r.events(a, n, w)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = fmt.Errorf("the answer is over %d bytes", maxAnswer)
	}
	if err != nil {
		return ended{breakage: recovery.Gone, err: fmt.Errorf("the answer was cut: %w", err)}
	}
	n.Progress(boottime.Now())
	read := boottime.Now()
	r.began(sent)
	if a.Status < http.StatusMultipleChoices {
		n.Answered()
	}
	r.survived(a)
	if a.Status >= http.StatusInternalServerError {
		r.keep(a, b)
		return ended{breakage: recovery.Gone, answered: true, err: fmt.Errorf("status %d", a.Status)}
	}
	if r.headSent {
		return ended{breakage: recovery.Gone, answered: true, err: fmt.Errorf("status %d in place of the rest of a stream", a.Status)}
	}
	// Return the connection to the pool before writing to a possibly slow caller.
	a.Close()
	if err := r.sink.Whole(a.Status, a.Header, b); err != nil {
		return ended{breakage: recovery.Gone, err: fmt.Errorf("%w: %w", errSink, err)}
	}
	out := ended{done: true}
	out.came(read)
	return out
}

// hear processes what a response reports about its endpoint: a back-off period, a rate limit, or
// that it is draining. The last is broadcast to all boxes, since the endpoint's record does not
// arrive while the store is unavailable.
func (r *run) hear(o call.Outcome) {
	r.trace.Outcome = o
	e := r.trace.Choice.Endpoint
	if o.Rest > 0 {
		metrics.GetOrRegisterCounter("answers.says_rest", r.f.Metrics).Inc(1)
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("request", r.q.Call.ID).Dur("rest", o.Rest).Msg("rests")
	}
	if !o.Elsewhere {
		r.hearRate(o.Statement, e)
	}
	if !o.Leaving {
		return
	}
	metrics.GetOrRegisterCounter("answers.says_leaving", r.f.Metrics).Inc(1)
	if r.f.Roster.Leave(e.Incarnation()) {
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("request", r.q.Call.ID).Str("seen", "it said so in an answer").Msg("leaves")
		r.f.Leaves(e)
	}
}

// hearRate processes the rate limit that a response reports for its endpoint. A limit that was set,
// lowered or removed is broadcast to all boxes.
func (r *run) hearRate(s endpoint.Statement, e endpoint.Endpoint) {
	if s.Unreadable != "" {
		metrics.GetOrRegisterCounter("answers.says_unreadable_limit", r.f.Metrics).Inc(1)
		return
	}
	if s.Limit.Named {
		metrics.GetOrRegisterCounter("answers.says_limit", r.f.Metrics).Inc(1)
	}
	w, changed := r.f.Book.Availability.Rates.Observe(e.Incarnation(), s.Limit, boottime.Now())
	if !changed {
		return
	}
	r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("request", r.q.Call.ID).Bool("limited", w.Named).
		Float64("per_second", w.PerSecond).Str("seen", "it said so in an answer").Msg("takes a rate")
	r.f.Stated(w)
}

// survived reports to the quarantine that the endpoint ran the request without crashing. An error
// response does not show that, since the endpoint may not have begun to run the request, nor does a
// response that ends with its connection, since the endpoint may have crashed.
func (r *run) survived(a *exchange.Answer) {
	if a.Status < http.StatusInternalServerError && a.Framed() {
		r.f.Quarantine.RecordAnswer(r.trace.Content, boottime.Now())
	}
}

// keep stores an endpoint's error response, which is returned if no other attempt succeeds. Status
// 503 tells the caller that the request did not run, which is not known here, so it is not kept.
func (r *run) keep(a *exchange.Answer, b []byte) {
	if a.Status == http.StatusServiceUnavailable {
		return
	}
	r.held = &whole{a.Status, a.Header, b}
}

// events passes complete events to the sink as they arrive. The caller gets the head of the first
// response that has an event.
func (r *run) events(a *exchange.Answer, n *balance.Attempt, w *watch) ended {
	rd := sse.NewReader(a.Body)
	out := ended{breakage: recovery.Gone}
	for {
		e, err := rd.Next()
		if errors.Is(err, io.EOF) {
			if !r.headSent {
				out.err = errors.New("the stream ended before its first event")
				return out
			}
			r.survived(a)
			out.done = true
			return out
		}
		if err != nil {
			out.err = fmt.Errorf("the stream broke: %w", err)
			return out
		}
		w.saw()
		n.Progress(boottime.Now())
		out.came(boottime.Now())
		if !out.progress {
			n.Answered()
		}
		r.began(boottime.Now())
		if !r.headSent {
			r.headSent = true
			if err := r.sink.Head(a.Status, a.Header); err != nil {
				out.err = fmt.Errorf("%w: %w", errSink, err)
				return out
			}
		}
		if err := r.sink.Event(e.Raw); err != nil {
			out.err = fmt.Errorf("%w: %w", errSink, err)
			return out
		}
		out.progress = true
		if e.ID != "" {
			r.last = e.ID
		}
	}
}
