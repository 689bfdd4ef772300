package front

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
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

// readBody reads the request body within the limits of size and time, and removes the read deadline. The caller must call the
// returned function when it has finished with the body.
func (f *Front) readBody(s *session) ([]byte, func(), error) {
	if s.r.ContentLength > int64(f.MaxBody) {
		return nil, nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", f.MaxBody)
	}
	size := int64(f.MaxBody)
	if s.r.ContentLength >= 0 {
		size = s.r.ContentLength
	}
	b, release, err := f.bodies.Read(http.MaxBytesReader(s.w, s.r.Body, int64(f.MaxBody)), int(size))
	if err == nil {
		_ = http.NewResponseController(s.w).SetReadDeadline(time.Time{})
		return b, release, nil
	}
	if errors.Is(err, bodyroom.ErrFull) {
		// The rest of the body is not waited for.
		s.w.Header().Set("Connection", "close")
		return nil, nil, errkind.New(errkind.Overloaded, "%w", err).WithRetryAfter(time.Second)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", f.MaxBody)
	}
	return nil, nil, errkind.New(errkind.BadRequest, "the body was not read: %w", err)
}

// callService handles a request to a plain service.
func (f *Front) callService(s *session) error {
	n := mux.Vars(s.r)["service"]
	if !s.document.HasService(n) {
		return errkind.New(errkind.UnknownService, "no service %q", n)
	}
	b, release, err := f.readBody(s)
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
	b, release, err := f.readBody(s)
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
