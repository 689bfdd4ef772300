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
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/sequence"
	"birchlink.dev/birchlink/sse"
)

var (
	// errUnprovenEnd reports that a stream ended elsewhere than after the last event of the answer, and did not prove that there are no
	// more.
	errUnprovenEnd = errors.New("the stream ended, and not after the last event")

	errNoProof = errors.New("the last event did not come again as the last one")
)

// proveEnd reports whether the answer is whole, given that the stream of an attempt has ended without its last event. That is what an
// endpoint sends if nothing is left after the last event, and also what one sends that fails. So the same endpoint is asked
// for what follows the event before the last one: if the answer is whole, it sends the last event and its end. The caller
// gets nothing of that but, if it has none, the head of the stream.
func (r *run) proveEnd(c context.Context, ch balance.Choice, head *response) bool {
	e := ch.Endpoint
	before, ok := r.answer.Previous()
	err := errNoProof
	if ok && r.mayAskAgain(c, e) {
		err = r.readLastEvent(c, ch, before)
	}
	r.returnPlace(false)
	outcome := "unproven"
	if err == nil && r.supersede() {
		outcome = "proved"
	}
	metrics.GetOrRegisterCounter("streams.end."+outcome, r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "stream end").Func(r.marshalStream).Str("asked_after", shortID(before)).Str("outcome", outcome).Err(err).
		Msg("asked for the last event again")
	if outcome != "proved" {
		return false
	}
	if r.headSent {
		return true
	}
	r.headSent = true
	return r.sink.Head(head.status, head.header) == nil
}

// mayAskAgain reports whether the request may be sent once more to an endpoint that has answered it, and pays for that. An endpoint that
// may still be about to stop the request's run is not asked, since the end of the next one would show nothing.
func (r *run) mayAskAgain(c context.Context, e endpoint.Endpoint) bool {
	if !r.q.Route.Repeatable() || r.isExpired(c) || r.shared.stopOrders.MayStop(e.ID) {
		return false
	}
	p := permitState{started: boottime.Now()}
	return r.takeCredit(c, causeUnprovenEnd, e) && r.acquirePlace(c, &p, e) && r.acquirePermit(c, &p, e)
}

// readLastEvent asks an endpoint for the events that follow one. The error is nil if only the answer's last event does.
func (r *run) readLastEvent(c context.Context, ch balance.Choice, before string) (err error) {
	e := ch.Endpoint
	t, stop := context.WithTimeout(c, maxSilence+time.Duration(expectedFactor*float64(ch.Expected)))
	defer stop()
	x, cancel := context.WithCancelCause(t)
	defer cancel(nil)
	defer r.f.attempts.add(e.Incarnation(), cancel)()
	a, maxIdle := r.newAttempt(ch)
	a.LastEventID = before
	ch.Tokens, ch.TypicalFirstEvent = 0, 0 // the prompt was counted before
	n := r.f.Balancer.Begin(e, ch, boottime.Now())
	defer func() {
		r.endAttempt(n, err != nil && !errors.Is(err, httpconn.ErrNotSent) && c.Err() == nil, e)
	}()
	cl := r.q.Call
	resp, err := r.f.Pool.Do(x, httpconn.Request{
		Endpoint: e.ID, Address: e.Address, Method: cl.Method, Target: cl.Target, Host: cl.Host, Header: r.f.Codec.Head(cl, a), Body: cl.Body, MaxIdle: maxIdle,
		ShouldSend: func() bool {
			if !r.maySend(e) {
				return false
			}
			r.recordArrival()
			return true
		},
		Matches: r.matches,
	})
	if err != nil {
		return fmt.Errorf("ask %s again: %w", e.ID, err)
	}
	defer resp.Close()
	if resp.Via != "" {
		n.Unjudge()
	}
	o := r.f.Codec.Outcome(resp.Status, resp.Header)
	r.handleOutcome(o)
	n.BackOff(o.BackOff, boottime.Now())
	if o.NotRun {
		n.RecordRefusal(boottime.Now())
		r.returnPlace(true)
	}
	if o.NotRun || resp.Status >= http.StatusMultipleChoices || !resp.EventStream {
		return fmt.Errorf("%w: status %d", errNoProof, resp.Status)
	}
	return r.checkLastEvent(x, resp, before)
}

// checkLastEvent reads a stream whose only event must be the answer's last one.
func (r *run) checkLastEvent(c context.Context, resp *httpconn.Response, before string) error {
	rd := sse.NewReader(resp.Body)
	rd.Hold = resp.Hold
	a := r.f.newAnswer(&r.q, before)
	a.Counted = false // the ID of the only event is known
	seq := a.Start(0)
	for {
		e, err := rd.Next()
		if errors.Is(err, io.EOF) && seq.End(true) == sequence.Complete && a.Last == r.answer.Last {
			if resp.Framed() {
				return nil
			}
			return r.confirmEnd(c, answerStream)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errNoProof, err)
		}
		if !e.IsContent() {
			continue
		}
		r.recordStart(boottime.Now())
		if v := seq.Judge(sequenceEvent(e)); v != sequence.Accepted || e.ID != r.answer.Last {
			return fmt.Errorf("%w: %s, %q", errNoProof, v, shortID(e.ID))
		}
		seq.Accept(sequenceEvent(e))
	}
}
