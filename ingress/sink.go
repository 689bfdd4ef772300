package ingress

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/shutdown"
)

// sink is a forward.Sink that writes the response to the caller. headSent reports whether the
// status was written. unframed is the caller's connection if a stream has no other end than the
// connection's, as in HTTP/1.0.
type sink struct {
	w        http.ResponseWriter
	ingress  *Ingress
	unframed net.Conn
	headSent bool
	status   int
}

// Head writes the head of a stream.
func (s *sink) Head(status int, h http.Header) error {
	s.copyHeader(h)
	s.w.Header().Del("Content-Length")
	s.headSent, s.status = true, status
	// Until the stream is whole, its connection must not end as after a whole one, even if this process ends.
	setResetOnClose(s.unframed, true)
	s.w.WriteHeader(status)
	return nil
}

// end marks the response as whole. Its last bytes are written when the handler returns.
func (s *sink) end() {
	setResetOnClose(s.unframed, false)
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Event writes one event and flushes it.
func (s *sink) Event(raw []byte) error {
	c := http.NewResponseController(s.w)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return c.Flush()
}

// Response writes a complete response.
func (s *sink) Response(status int, h http.Header, body []byte) error {
	s.copyHeader(h)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.headSent, s.status = true, status
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return err
}

// copyHeader sets the caller's response header from that of the endpoint.
func (s *sink) copyHeader(from http.Header) {
	h := s.w.Header()
	for k, vs := range s.ingress.Codec.ResponseHeader(from) {
		h[k] = vs
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing it
	}
}

// failureEvent returns a log event for a request that failed with err.
func (i *Ingress) failureEvent(q forward.Request, err error, t forward.Trace) *zerolog.Event {
	e := errkind.Of(err)
	resp := e.Kind.Response()
	l := i.log.Info().Str("event", "answer")
	if q.Call != nil {
		l = l.Str("request", q.Call.ID)
	}
	l = l.Str("kind", resp.Name).Str("run", string(resp.Run)).Str("reason", e.Message).Dur("retry_after", e.RetryAfter)
	var limit *limitError
	if errors.As(err, &limit) {
		l = l.EmbedObject(limit)
	}
	if late, ok := errors.AsType[*shutdown.RefusalError](err); ok {
		l = l.EmbedObject(late)
	}
	if q.Call != nil {
		l = i.withTimes(withResumes(l, q.Call), q.Call, t)
	}
	if q.Route != nil {
		l = l.Str("route", q.Route.Name)
	}
	if d := i.state.Table(); d != nil {
		l = l.Uint64("configuration", d.Document.Version)
	}
	if denials[e.Kind] || e.Kind == errkind.NotReady {
		l = l.Dur("started", boottime.Since(i.started))
		l = l.Dur("configuration_age", i.state.ConfigAge()).Dur("configuration_lag", i.state.ConfigLag()).Dur("store_age", i.session.StoreUnresponsiveFor())
	}
	return withAccount(l, q).EmbedObject(t)
}

// withTimes adds to a log event when, from the arrival of a request on, its body was read and it was first sent to an endpoint, and
// for how long the box has been shutting down.
func (i *Ingress) withTimes(l *zerolog.Event, c *call.Call, t forward.Trace) *zerolog.Event {
	l = l.Dur("took", boottime.Since(c.Arrived))
	if !c.Read.IsZero() {
		l = l.Dur("body_read", c.Read.Sub(c.Arrived))
	}
	if !t.FirstSent.IsZero() {
		l = l.Dur("sent", t.FirstSent.Sub(c.Arrived))
	}
	if began := i.stopBegan.Load(); began != nil {
		l = l.Dur("stopping", boottime.Since(*began))
	}
	return l
}

// denials are the kinds of errors that depend on what the configuration in force lacks or forbids.
var denials = map[errkind.Kind]bool{errkind.UnknownService: true, errkind.UnknownAccount: true, errkind.TooLarge: true}

// withResumes adds to a log event which stream a call takes up again, and after which event.
func withResumes(l *zerolog.Event, c *call.Call) *zerolog.Event {
	if c.Resumes == "" && c.LastEventID == "" {
		return l
	}
	return l.Str("resumes", c.Resumes).Str("after", c.LastEventID)
}

// withAccount adds the request's account and what the request costs of the account's rate to a log
// event.
func withAccount(l *zerolog.Event, q forward.Request) *zerolog.Event {
	if q.Account == nil {
		return l
	}
	return l.Str("account", q.Account.Name).Float64("counts", rateCost(q))
}
