package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
)

// sink writes an answer to the caller.
type sink struct {
	w       http.ResponseWriter
	ingress *Ingress
	began   bool
	status  int
}

// Head begins a stream.
func (s *sink) Head(status int, h http.Header) error {
	s.copy(h)
	s.w.Header().Del("Content-Length")
	s.began, s.status = true, status
	s.w.WriteHeader(status)
	return nil
}

// Event passes one event on at once.
func (s *sink) Event(raw []byte) error {
	c := http.NewResponseController(s.w)
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return c.Flush()
}

// Whole writes a whole answer.
func (s *sink) Whole(status int, h http.Header, body []byte) error {
	s.copy(h)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.began, s.status = true, status
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeLimit))
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return err
}

func (s *sink) copy(from http.Header) {
	h := s.w.Header()
	for k, vs := range s.ingress.Codec.Answer(from) {
		h[k] = vs
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess one
	}
}

// note begins the line about a request that was not answered as asked.
func (i *Ingress) note(q forward.Request, err error) *zerolog.Event {
	e := errkind.Of(err)
	a := e.Kind.Answer()
	l := i.log.Info().Str("event", "answer").Str("kind", a.Name).Str("run", string(a.Run)).Str("reason", e.Message).Dur("retry_after", e.RetryAfter)
	if q.Call != nil {
		l = l.Str("request", q.Call.ID).Dur("took", boottime.Since(q.Call.Arrived))
	}
	if q.Route != nil {
		l = l.Str("route", q.Route.Name)
	}
	if t := i.known.Table(); t != nil {
		l = l.Uint64("configuration", t.Document.Version)
	}
	return counted(l, q)
}

// counted adds whose request it is, and what it counts against that account's rate.
func counted(l *zerolog.Event, q forward.Request) *zerolog.Event {
	if q.Account == nil {
		return l
	}
	return l.Str("account", q.Account.Name).Float64("counts", size(q))
}
