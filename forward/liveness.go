package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/liveness"
	"birchlink.dev/birchlink/wait"
)

// HealthCodec translates the health check of endpoints.
type HealthCodec interface {
	// Check returns the health check of an endpoint at a path, over a new connection. Its answer matches only if it was sent after the
	// check.
	Check(e endpoint.Endpoint, path string) httpconn.Request
}

// Kinds of answers, as values in logs.
const (
	answerPlain  = "plain"
	answerStream = "stream"
)

// errConnectionEnd reports a response without a length or chunks whose connection has ended, and of whose endpoint's process
// it is not known whether it lives on: the connection may have ended with the process.
var errConnectionEnd = errors.New("the connection ended, and the response has no length or chunks")

// errNoEndMark reports a stream without a length or chunks that lacks the event with which the streams of its service end, and
// errPartOfJSON a response that is part of a JSON text.
var (
	errNoEndMark  = fmt.Errorf("%w, and the stream lacks the last event of other streams", errConnectionEnd)
	errPartOfJSON = fmt.Errorf("%w, and the body is part of a JSON text", errConnectionEnd)
)

// errToldToStop reports a response whose end may be the effect of an order to stop its run.
var errToldToStop = errors.New("its run was told to stop")

// errOtherProcess reports that another process answers at the address of an endpoint.
var errOtherProcess = errors.New("another process answers at the endpoint's address")

// confirmPlainEnd returns nil if a response that is not a stream, and states no length, is whole: its end is not the effect of an order to
// stop its run, which may have been sent before the response was known to be none. An end without framing must be confirmed, too.
func (r *run) confirmPlainEnd(c context.Context, resp *httpconn.Response, body []byte) error {
	if r.isPlainEndDoubted(resp.Framed()) {
		return errToldToStop
	}
	if resp.Framed() {
		return nil
	}
	if jsonhttp.IsPart(resp.Header, body) {
		metrics.GetOrRegisterCounter("answers.unframed.part_of_json", r.f.Metrics).Inc(1)
		return errPartOfJSON
	}
	return r.confirmEnd(c, answerPlain)
}

// isPlainEndDoubted reports whether the end of a response that is not a stream may be the effect of an order. As for streams, a framed one
// whose orders were answered without a handle has likely ended by itself, and stands where the request may not be repeated.
func (r *run) isPlainEndDoubted(isFramed bool) bool {
	isTold := r.stream.isToldToStop()
	if !isTold || !isFramed {
		return isTold || r.shared.stopOrders.MayStop(r.trace.Choice.Endpoint.ID)
	}
	stopped := r.stream.settleDoubted(true)
	if stopped != nil {
		stopped.discard()
	}
	isConfirmed := stopped != nil && stopped.confirmed
	return isConfirmed || r.q.Route.Repeatable() || r.shared.stopOrders.MayStop(r.trace.Choice.Endpoint.ID)
}

// confirmEnd returns nil if a response that has ended in order with its connection, and has neither length nor chunks, is whole: the
// endpoint has closed the connection itself, since its process has outlived that.
func (r *run) confirmEnd(c context.Context, kind string) error {
	e, ended := r.trace.Choice.Endpoint, boottime.Now()
	var ask liveness.AskFunc
	if path := r.q.Service.HealthPath; path != "" && r.f.Health != nil {
		ask = func(c context.Context) error { return r.f.askHealth(c, e, path) }
	}
	f := r.f.Liveness.Outlives(c, e.Incarnation(), ended, ask)
	outcome := "unproven"
	if f.Outlived {
		outcome = "whole"
	}
	metrics.GetOrRegisterCounter("answers.unframed."+outcome, r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "connection end").Str("request", r.q.Call.ID).Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("answer", kind).
		Str("outcome", outcome).Str("process", string(f.Reason)).Dur("took", boottime.Since(ended)).Func(r.marshalStopOrders(e)).Err(f.Err).
		Msg("the answer has neither length nor chunks, and its connection ended in order")
	if f.Outlived {
		return nil
	}
	// The error of the check is none of the attempt's: a refused connection would show that the request did not arrive.
	return fmt.Errorf("%w: %s", errConnectionEnd, f.Err.Error())
}

// A health check whose connection ends without an answer, or for which there is none, is sent again unless the process is known to have
// ended: an endpoint resets connections that are too many, and other boxes may not answer. The pause doubles from minCheckInterval on.
const (
	minCheckInterval = 20 * time.Millisecond
	maxChecks        = 6
)

// askHealth sends health checks to an endpoint until its process answers, it is found not to, or c is done.
func (f *Forwarder) askHealth(c context.Context, e endpoint.Endpoint, path string) error {
	for i := 0; ; i++ {
		err := f.checkHealth(c, e, path)
		isFinal := errors.Is(err, errOtherProcess) || errors.Is(err, syscall.ECONNREFUSED)
		if err == nil || isFinal || c.Err() != nil || i == maxChecks-1 {
			return err
		}
		wait.For(c, minCheckInterval<<i)
	}
}

// checkHealth sends a health check to an endpoint. The error is nil if its process has answered, whatever the answer says. The
// check goes over a new connection: a process that is about to end may answer on one that it has not closed yet.
func (f *Forwarder) checkHealth(c context.Context, e endpoint.Endpoint, path string) error {
	resp, err := f.Pool.Do(c, f.Health.Check(e, path))
	if err != nil {
		return fmt.Errorf("check the health of %s: %w", e.ID, err)
	}
	defer resp.Close()
	if f.Codec.Outcome(resp.Status, resp.Header).WrongIncarnation {
		return errOtherProcess
	}
	resp.Discard()
	return nil
}
