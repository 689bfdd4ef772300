package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/quota"
)

// staleAfter is the silence of the store after which this box does not trust
// that a key or a route that it lacks does not exist.
const staleAfter = 1500 * time.Millisecond

// defaultTimeout holds a request whose route names no limit.
const defaultTimeout = 30 * time.Second

// serve answers one request.
func (i *Ingress) serve(w http.ResponseWriter, r *http.Request) {
	i.live.Add(1)
	defer i.live.Add(-1)
	arrived := boottime.Now()
	if i.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	cl, err := i.Codec.Decode(r, arrived)
	if err != nil {
		i.fail(w, forward.Request{Call: cl}, errkind.New(errkind.BadRequest, "%w", err), forward.Trace{})
		return
	}
	q, err := i.resolve(cl)
	if err == nil {
		err = i.body(w, r, cl)
	}
	if err == nil {
		q.Content = content.Of(q.AccountName(), cl)
		err = i.forwarder.Check(q)
	}
	if err != nil {
		i.fail(w, q, err, forward.Trace{})
		return
	}
	if err := i.admit(r.Context(), q); err != nil {
		i.fail(w, q, err, forward.Trace{})
		return
	}
	i.carry(w, r, q)
}

// carry forwards a request that was accepted.
func (i *Ingress) carry(w http.ResponseWriter, r *http.Request, q forward.Request) {
	c, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(i.end, func() { cancel(errStopped) })
	defer stop()
	s := &sink{w: w, ingress: i}
	trace, err := i.forwarder.Do(c, q, s)
	if errors.Is(context.Cause(c), errStopped) && err != nil {
		// How far the request came is not known here, so it is not called unrun.
		err = errkind.New(errkind.OutcomeUnknown, "this process stops")
	}
	if err == nil {
		i.done(q, s.status, trace)
		return
	}
	if s.began {
		i.note(q, err).EmbedObject(trace).Msg("broken off")
		// The caller must not take what it has for the whole.
		panic(http.ErrAbortHandler)
	}
	i.fail(w, q, err, trace)
}

// resolve finds the route, the account and the service of a call.
func (i *Ingress) resolve(c *call.Call) (forward.Request, error) {
	q := forward.Request{Call: c}
	t := i.known.Table()
	if t == nil || !i.known.Ready() {
		return q, errkind.New(errkind.NotReady, "no configuration yet").After(time.Second / 2)
	}
	stale := i.session.Silent() > staleAfter
	q.Route = t.Route(c.Host, c.Path)
	if q.Route == nil {
		return q, absent(errkind.UnknownService, stale, "no route for %s%s", c.Host, c.Path)
	}
	if t.NeedsKey(q.Route) {
		if q.Account = t.AccountByKey(c.Key); q.Account == nil {
			return q, absent(errkind.UnknownAccount, stale, "the key is not an account's")
		}
	}
	n := pick(q.Route.Shares, c.ID)
	if q.Service = t.Service(n); q.Service == nil {
		q.Service = &catalog.Service{Name: n}
	}
	limit := q.Route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	q.Expires = c.Expires(limit)
	return q, nil
}

// absent is the error for what the configuration lacks. While the configuration
// may be old, that is no reason to say that it does not exist.
func absent(k errkind.Kind, stale bool, format string, args ...any) error {
	if stale {
		return errkind.New(errkind.NotReady, "the configuration may be old: "+format, args...).After(time.Second / 2)
	}
	return errkind.New(k, format, args...)
}

// pick chooses a service by weight, the same for the same request.
func pick(shares []catalog.Share, id string) string {
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

// body reads the request's body.
func (i *Ingress) body(w http.ResponseWriter, r *http.Request, c *call.Call) error {
	limit := int64(maxBodyBytes)
	if n := i.known.Table().Document.Limits.BodyBytes; n > 0 {
		limit = int64(n)
	}
	if r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyLimit))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	case err != nil:
		return errkind.New(errkind.BadRequest, "the body was not read: %w", err)
	}
	c.Body = b
	return nil
}

// admit counts the request against its account's rate.
func (i *Ingress) admit(c context.Context, q forward.Request) error {
	a := q.Account
	if a == nil || a.Rate <= 0 {
		return nil
	}
	x := quota.Question{Account: a.Name, Size: size(q), Urgent: q.Route.Priority <= 0}
	v, by := i.Limits.Take(c, x)
	if v.OK {
		return nil
	}
	if by.Box == "" {
		return errkind.New(errkind.LimitReached, "no box that could be reached knows what account %s has left", a.Name).After(v.After)
	}
	return errkind.New(errkind.LimitReached, "account %s is over its rate of %.0f with a burst of %.0f: %s, with %.3f of the rate, has %.0f left for a request of %.0f",
		a.Name, a.Rate, a.Burst, by.Box, v.Part, v.Level, x.Size).After(v.After)
}

// size is what a request counts against its account's rate.
func size(q forward.Request) float64 {
	switch {
	case !q.Account.InTokens:
		return 1
	case q.Call.Counted:
		return float64(q.Call.PromptTokens + q.Call.AnswerTokens)
	default:
		return float64(q.Account.DefaultTokens)
	}
}

func (i *Ingress) done(q forward.Request, status int, t forward.Trace) {
	d := boottime.Since(q.Call.Arrived)
	metrics.GetOrRegisterTimer("requests."+q.Route.Kind.String(), i.metrics).Update(d)
	l := i.log.Info().Str("event", "answer").Str("request", q.Call.ID).Str("route", q.Route.Name).Int("status", status).Dur("took", d)
	counted(l, q).EmbedObject(t).Msg("answered")
}

// fail answers an error by the closed table. The trace is empty for a request that was
// not forwarded.
func (i *Ingress) fail(w http.ResponseWriter, q forward.Request, err error, t forward.Trace) {
	c := q.Call
	e := errkind.Of(err)
	a := e.Kind.Answer()
	metrics.GetOrRegisterCounter("refused."+a.Name, i.metrics).Inc(1)
	i.note(q, err).EmbedObject(t).Msg("refused or failed")
	if e.Kind == errkind.CallerGone {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	i.Codec.Own(h, c)
	if a.Retry && a.Run == errkind.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(max(e.RetryAfter, minRetry).Seconds(), 'f', 2, 64))
	}
	id := ""
	if c != nil {
		id = c.ID
	}
	jsonhttp.Write(w, a.Status, openai.Error{Error: openai.ErrorBody{
		Message: e.Message, Type: a.Name, Code: a.Name, Run: string(a.Run), RequestID: id,
	}})
}

// minRetry is the shortest time after which a refused caller is told to return.
const minRetry = 50 * time.Millisecond
