package front

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/bodyroom"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/serviceproxy"
)

// maxTickets is the maximum number of tickets that one request may issue.
const maxTickets = 100

// readCallBody reads the body of a call of which only the head is known, as long as the call may still be sent to an endpoint.
func (f *Front) readCallBody(s *session, q dispatch.Call) ([]byte, func(), error) {
	c, cancel := f.dispatcher.WaitContext(s.r.Context(), q)
	defer cancel()
	return f.readBodyBefore(c, s)
}

// readBodyBefore reads the body until the deadline of the request at most.
func (f *Front) readBodyBefore(c context.Context, s *session) ([]byte, func(), error) {
	c, cancel := context.WithDeadlineCause(c, s.headers.deadline, errBodyLate)
	defer cancel()
	return f.readBody(c, s)
}

// errBodyLate refuses a request whose body had not come when its deadline passed.
var errBodyLate = errkind.New(errkind.DeadlineTooShort, "the deadline passed before the body came")

// readBody reads the request body within the limits of size and time, and removes the read deadline. It stops when the context ends,
// with the cause of that if it has a kind.
// The caller must call the returned function when it has finished with the body.
func (f *Front) readBody(c context.Context, s *session) ([]byte, func(), error) {
	if s.r.ContentLength > int64(f.MaxBody) {
		return nil, nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", f.MaxBody)
	}
	size := int64(f.MaxBody)
	if s.r.ContentLength >= 0 {
		size = s.r.ContentLength
	}
	ended := endReadsAfter(c, s.w)
	b, release, err := f.bodies.Read(http.MaxBytesReader(s.w, s.r.Body, int64(f.MaxBody)), int(size))
	ended()
	if err == nil {
		_ = http.NewResponseController(s.w).SetReadDeadline(time.Time{})
		return b, release, nil
	}
	return nil, nil, f.bodyError(c, s, err)
}

// endReadsAfter ends reads of the body when the context ends, unless the returned function was called before.
func endReadsAfter(c context.Context, w http.ResponseWriter) (stop func()) {
	done := make(chan struct{})
	isFirst := context.AfterFunc(c, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		close(done)
	})
	return func() {
		if !isFirst() {
			<-done
		}
	}
}

// bodyError returns the error of a request whose body was not read because of err.
func (f *Front) bodyError(c context.Context, s *session, err error) error {
	var tooLarge *http.MaxBytesError
	var ended *errkind.Error
	switch {
	case errors.Is(err, bodyroom.ErrFull):
		err = errkind.New(errkind.Overloaded, "%w", err).WithRetryAfter(time.Second)
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", f.MaxBody)
	case errors.As(context.Cause(c), &ended):
		err = ended
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errkind.New(errkind.BodyTooSlow, "the body did not come within %v", bodyTimeout)
	default:
		return errkind.New(errkind.BadRequest, "the body was not read: %w", err)
	}
	// The rest of the body is not waited for.
	s.w.Header().Set("Connection", "close")
	return err
}

// callService handles a request to a plain service.
func (f *Front) callService(s *session) error {
	n := mux.Vars(s.r)["service"]
	if !s.document.HasService(n) {
		return errkind.New(errkind.UnknownService, "no service %q", n)
	}
	head := &serviceproxy.Request{
		Service: n, Method: s.r.Method, Kind: s.headers.kind, Repeatable: isRepeatable(s.r, s.headers), Deadline: s.headers.deadline,
	}
	b, release, err := f.readCallBody(s, dispatch.Call{Plain: head})
	if err != nil {
		return err
	}
	defer release()
	p := strings.TrimPrefix(s.r.URL.RequestURI(), "/services/"+n)
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}
	q := &serviceproxy.Request{
		ID: s.id, Account: s.account.Name, Service: n, Method: s.r.Method, Path: p, Header: s.r.Header, Body: b,
		Repeatable: isRepeatable(s.r, s.headers), Kind: s.headers.kind,
		Weight: s.account.Weight, Rate: s.account.RequestsPerSecond, Deadline: s.headers.deadline,
	}
	c, cancel := f.requestContext(s)
	defer cancel()
	call := dispatch.Call{Plain: q, Key: s.headers.key, Ticket: s.headers.ticket}
	return f.dispatcher.Do(c, call, func(i dispatch.Item) error { return writeResponse(s.w, i.Plain) })
}

// writeResponse writes the response of a plain service.
func writeResponse(w http.ResponseWriter, resp *serviceproxy.Response) error {
	for k, vs := range resp.Header {
		if k == "Connection" || k == "Transfer-Encoding" || strings.HasPrefix(k, "Birchlink-") {
			continue
		}
		w.Header()[k] = vs
	}
	w.Header().Set(RunHeader, string(errkind.Ran))
	if len(resp.Body) > 0 {
		// A response without a length ends with its connection in HTTP/1.0, so that a truncated one would look complete.
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	setWriteDeadline(w)
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		return errkind.New(errkind.CallerGone, "the caller left: %w", err)
	}
	return nil
}

// issueTickets handles POST /v1/tickets.
func (f *Front) issueTickets(s *session) error {
	b, release, err := f.readBody(s.r.Context(), s)
	if err != nil {
		return err
	}
	defer release()
	q := struct {
		Count int `json:"count"`
	}{Count: 1}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &q); err != nil {
			return errkind.New(errkind.BadRequest, "the body is not {\"count\": n}: %w", err)
		}
	}
	if q.Count < 1 || q.Count > maxTickets {
		return errkind.New(errkind.BadRequest, "count is from 1 to %d", maxTickets)
	}
	ts, err := f.dispatcher.IssueTickets(q.Count)
	if err != nil {
		return err
	}
	setWriteDeadline(s.w)
	jsonhttp.Write(s.w, http.StatusOK, map[string][]string{"tickets": ts})
	return nil
}

// writeError sends the error response for err, and counts and logs it.
func (f *Front) writeError(w http.ResponseWriter, id string, err error) {
	e := errkind.Of(err)
	resp := e.Kind.Response()
	metrics.GetOrRegisterCounter("front.errors."+resp.Name, f.metrics).Inc(1)
	f.Log.Info().Str("event", "answer").Str("subject", id).Str("kind", resp.Name).Str("run", string(resp.Run)).Str("reason", e.Message).Msg("refused or failed")
	if e.Kind == errkind.CallerGone {
		// Without an answer net/http would send an empty one that looks whole, if the caller is still there.
		panic(http.ErrAbortHandler)
	}
	if resp.Retry {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	w.Header().Set(RunHeader, string(resp.Run))
	resume := ""
	if e.Kind == errkind.Moved {
		resume = "/v1/requests/" + id + "?from=0"
	}
	setWriteDeadline(w)
	jsonhttp.Write(w, resp.Status, errorBody(id, e, resume))
}

// retryAfterSeconds returns the value of the Retry-After header, in whole seconds and at least 1.
// It rounds up, so that the caller does not retry too early.
func retryAfterSeconds(d time.Duration) int {
	return max(int(math.Ceil(d.Seconds())), 1)
}

func errorBody(id string, e *errkind.Error, resume string) openai.Error {
	resp := e.Kind.Response()
	return openai.Error{Error: openai.ErrorBody{
		Message: e.Message, Type: resp.Name, Code: resp.Name, Run: string(resp.Run), RequestID: id, Resume: resume,
	}}
}
