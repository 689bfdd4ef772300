package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/errkind"
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
func (i *Ingress) note(c *call.Call, r *catalog.Route, err error) *zerolog.Event {
	e := errkind.Of(err)
	a := e.Kind.Answer()
	l := i.log.Info().Str("event", "answer").Str("kind", a.Name).Str("run", string(a.Run)).Str("reason", e.Message).Dur("retry_after", e.RetryAfter)
	if c != nil {
		l = l.Str("request", c.ID).Dur("took", time.Since(c.Arrived))
	}
	if r != nil {
		l = l.Str("route", r.Name)
	}
	if t := i.known.Table(); t != nil {
		l = l.Uint64("configuration", t.Document.Version)
	}
	return l
}
