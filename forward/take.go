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

// maxAnswer bounds an answer that is held whole, in bytes.
const maxAnswer = 8 << 20

// errSink says that the caller did not take what it was given.
var errSink = errors.New("the caller does not read")

// take reads one answer.
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
	// The connection is free for others before a slow caller has read.
	a.Close()
	if err := r.sink.Whole(a.Status, a.Header, b); err != nil {
		return ended{breakage: recovery.Gone, err: fmt.Errorf("%w: %w", errSink, err)}
	}
	out := ended{done: true}
	out.came(read)
	return out
}

// hear takes in what an answer says of its endpoint. That it leaves is told to all boxes: the
// record that says so may not come for as long as the store is away.
func (r *run) hear(o call.Outcome) {
	r.trace.Outcome = o
	e := r.trace.Choice.Endpoint
	if o.Rest > 0 {
		metrics.GetOrRegisterCounter("answers.says_rest", r.f.Metrics).Inc(1)
		r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("request", r.q.Call.ID).Dur("rest", o.Rest).Msg("rests")
	}
	if !o.WrongIncarnation {
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

// hearRate takes in what an answer says of the rate that its endpoint takes. That one has named a
// limit, or lowered or ended it, is told to all boxes.
func (r *run) hearRate(s endpoint.Statement, e endpoint.Endpoint) {
	if s.Unreadable != "" {
		metrics.GetOrRegisterCounter("answers.says_unreadable_limit", r.f.Metrics).Inc(1)
		return
	}
	if s.Limit.Named {
		metrics.GetOrRegisterCounter("answers.says_limit", r.f.Metrics).Inc(1)
	}
	w, news := r.f.Book.Availability.Rates.Observe(e.Incarnation(), s.Limit, boottime.Now())
	if !news {
		return
	}
	r.f.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("request", r.q.Call.ID).Bool("limited", w.Named).
		Float64("per_second", w.PerSecond).Str("seen", "it said so in an answer").Msg("takes a rate")
	r.f.Stated(w)
}

// survived notes that the endpoint lives after a whole answer. A failure may come of an
// endpoint that did not begin to run the request, and an answer that ends with its
// connection, of one that ended.
func (r *run) survived(a *exchange.Answer) {
	if a.Status < http.StatusInternalServerError && a.Framed() {
		r.f.Quarantine.RecordAnswer(r.trace.Content, boottime.Now())
	}
}

// keep holds on to an endpoint's own failure, to be passed on if nothing better
// comes. A status that promises that nothing ran is not one to pass on here.
func (r *run) keep(a *exchange.Answer, b []byte) {
	if a.Status == http.StatusServiceUnavailable {
		return
	}
	r.held = &whole{a.Status, a.Header, b}
}

// events passes on whole events as they come. The head of the first endpoint
// that has an event is the answer's.
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
