package ingress

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/startup"
)

// A key or route that the configuration lacks may exist if a newer one may. The store tells the boxes that watch it of changes;
// it may have been silent for maxStoreSilence, and the configuration may have been known to be the newest maxConfigAge ago. A watch
// of which nothing new comes takes 1.4 s, and each of the boxes on the way from it, two at most, another half second.
const (
	maxStoreSilence = 1500 * time.Millisecond
	maxConfigAge    = 3 * time.Second
)

// defaultTimeout is the timeout of a request whose route has none.
const defaultTimeout = 30 * time.Second

// serve handles one request.
func (i *Ingress) serve(w http.ResponseWriter, r *http.Request) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	markServed(r.Context())
	arrived := boottime.Now()
	if i.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	cl, err := i.Codec.Decode(r, arrived)
	if err != nil {
		i.refuseBody(w, r, err)
		i.writeError(w, forward.Request{Call: cl}, errkind.New(errkind.BadRequest, "%w", err), forward.Trace{})
		return
	}
	q, err := i.resolve(r.Context(), cl)
	if err == nil {
		err = i.forwarder.CheckShutdown(&q)
	}
	if err == nil {
		var release func()
		release, err = i.readBody(w, r, &q)
		defer release()
	}
	if err != nil {
		i.refuseBody(w, r, err)
	} else {
		err = i.prepare(r.Context(), &q)
	}
	if err != nil {
		i.writeError(w, q, err, forward.Trace{})
		return
	}
	i.forwardRequest(w, r, q)
}

// prepare completes a request and decides whether it is forwarded. If the box shuts down, it asks other boxes only for as long as the
// request can be sent to an endpoint.
func (i *Ingress) prepare(c context.Context, q *forward.Request) error {
	x, cancel := i.forwarder.Shutdown.Context(c, i.forwarder.ShutdownRequest(q))
	defer cancel()
	err := i.findOrigin(x, q)
	if err == nil {
		q.Content, q.Parts = requesthash.HashOf(q.AccountName(), q.Call), requesthash.PartsOf(q.Service.Name, q.Call)
		err = i.forwarder.Check(*q)
	}
	if err == nil {
		err = i.admit(x, *q)
	}
	return cmp.Or(shutdown.RefusalOf(x), err)
}

// forwardRequest forwards an admitted request and writes its response.
func (i *Ingress) forwardRequest(w http.ResponseWriter, r *http.Request, q forward.Request) {
	c, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(i.closing, func() { cancel(errStopped) })
	defer stop()
	s := &sink{w: w, ingress: i}
	if !r.ProtoAtLeast(1, 1) {
		s.unframed = connOf(r.Context())
	}
	trace, err := i.forwarder.Do(c, q, s)
	if errors.Is(context.Cause(c), errStopped) && err != nil && !errkind.Is(err, errkind.Stopping) {
		err = stoppedError(trace)
	}
	if err == nil {
		s.end()
		i.logAnswered(q, s.status, trace)
		return
	}
	if s.headSent {
		i.failureEvent(q, err, trace).Msg("broken off")
		// Close the connection, so that the caller does not take a partial response for a complete
		// one. It is reset if the response has no other end.
		panic(http.ErrAbortHandler)
	}
	i.writeError(w, q, err, trace)
}

// stoppedError returns the error for a request that ends because the shutdown does. One that was sent may have run, so the error must not
// state that it did not.
func stoppedError(t forward.Trace) error {
	if t.FirstSent.IsZero() {
		return errkind.New(errkind.Stopping, "this process stops")
	}
	return errkind.New(errkind.OutcomeUnknown, "this process stops")
}

// awaitState waits until the configuration and the endpoints are known. It returns an error if the request can't wait for that.
func (i *Ingress) awaitState(c context.Context, q *call.Call) error {
	if i.state.Ready() {
		return nil
	}
	x, cancel := context.WithCancel(c)
	defer cancel()
	defer context.AfterFunc(i.running, cancel)()
	g := startup.Gate{Started: i.started, Ready: i.state.WhenReady()}
	switch {
	case g.Wait(x, q.Deadline(defaultTimeout)):
		return nil
	case c.Err() != nil:
		return errkind.New(errkind.CallerGone, "the caller left: %w", c.Err())
	case x.Err() != nil:
		return errkind.New(errkind.Stopping, "this box stops: it has no configuration yet")
	default:
		return errkind.New(errkind.NotReady, "no configuration yet").WithRetryAfter(startup.MaxWait - boottime.Since(q.Arrived))
	}
}

// resolve looks up the route, the account and the service of a call.
func (i *Ingress) resolve(x context.Context, c *call.Call) (forward.Request, error) {
	q := forward.Request{Call: c}
	if err := i.awaitState(x, c); err != nil {
		return q, err
	}
	t := i.state.Table()
	q.Route = t.Route(c.Host, c.Path)
	if q.Route == nil {
		return q, i.denial(errkind.UnknownService, "no route for %s%s", c.Host, c.Path)
	}
	if t.NeedsKey(q.Route) {
		if q.Account = t.AccountByKey(c.Key); q.Account == nil {
			return q, i.denial(errkind.UnknownAccount, "the key is not an account's")
		}
	}
	// A request that takes a stream up again goes to the service of the first one.
	n := pickService(q.Route.Shares, cmp.Or(c.Resumes, c.ID))
	if q.Service = t.Service(n); q.Service == nil {
		q.Service = &catalog.Service{Name: n}
	}
	limit := q.Route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	q.Expires = c.Deadline(limit)
	return q, nil
}

// denial returns an error of kind k for a request that the configuration does not allow. If the configuration may be old, the error
// is of kind NotReady instead, because the newest one may allow the request.
func (i *Ingress) denial(k errkind.Kind, format string, args ...any) error {
	if i.mayBeOld() {
		return errkind.New(errkind.NotReady, "the configuration may be old: "+format, args...).WithRetryAfter(time.Second / 2)
	}
	return errkind.New(k, format, args...)
}

// mayBeOld reports whether there may be a newer configuration than the one in force.
func (i *Ingress) mayBeOld() bool {
	s := i.state
	return s.ConfigLag() > 0 || !s.ConfigConfirmed() || s.ConfigAge() > maxConfigAge || i.session.StoreUnresponsiveFor() > maxStoreSilence
}

// pickService chooses a service by weight from a hash of the request ID, so that a retried request
// gets the same service.
func pickService(shares []catalog.Share, id string) string {
	total := 0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(shares) == 0 {
			return ""
		}
		return shares[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// logAnswered logs and counts a request whose response was sent.
func (i *Ingress) logAnswered(q forward.Request, status int, t forward.Trace) {
	d := boottime.Since(q.Call.Arrived)
	metrics.GetOrRegisterTimer("requests."+q.Route.Kind.String(), i.metrics).Update(d)
	l := i.log.Info().Str("event", "answer").Str("request", q.Call.ID).Str("route", q.Route.Name).Int("status", status)
	l = i.withTimes(l, q.Call, t)
	if lag := i.state.RecordsLag(); lag > 0 {
		l = l.Dur("records_lag", lag)
	}
	withAccount(withResumes(l, q.Call), q).EmbedObject(t).Msg("answered")
}

// writeError sends the error response for err, and counts and logs it. The trace is empty for a
// request that was not forwarded.
func (i *Ingress) writeError(w http.ResponseWriter, q forward.Request, err error, t forward.Trace) {
	c := q.Call
	e := errkind.Of(err)
	resp := e.Kind.Response()
	metrics.GetOrRegisterCounter("refused."+resp.Name, i.metrics).Inc(1)
	if late, ok := errors.AsType[*shutdown.RefusalError](err); ok {
		metrics.GetOrRegisterCounter("shutdown.refused."+string(late.Decision.Reason), i.metrics).Inc(1)
	}
	i.failureEvent(q, err, t).Msg("refused or failed")
	if e.Kind == errkind.CallerGone {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	i.Codec.SetErrorHeader(h, c)
	if i.stopping.Load() || !i.state.Ready() {
		h.Set("Connection", "close") // the caller's next connection may be to a box that serves
	}
	if resp.Retry && resp.Run == errkind.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(max(e.RetryAfter, minRetryAfter).Seconds(), 'f', 2, 64))
	}
	id := ""
	if c != nil {
		id = c.ID
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(drainTimeout + writeTimeout))
	jsonhttp.Write(w, resp.Status, openai.Error{Error: openai.ErrorBody{
		Message: e.Message, Type: resp.Name, Code: resp.Name, Run: string(resp.Run), RequestID: id,
	}})
}

// minRetryAfter is the minimum of the Retry-After header.
const minRetryAfter = 50 * time.Millisecond
