package engine

import (
	"encoding/json"
	"net/http"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/jsonhttp"
)

func send(w http.ResponseWriter, l engine.Line) {
	_ = json.NewEncoder(w).Encode(l)
}

// writeToken sends token i of an attempt, unless a fault at this token cuts the stream, omits or
// doubles the token, or adds tokens of another request and of an earlier attempt.
func (s *Server) writeToken(w http.ResponseWriter, a *attempt, i int, u Run) {
	l := a.tokenLine(i, u)
	if s.consumeFaultAt("cut", i) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFaultAt("gap", i) {
		return
	}
	if s.consumeFaultAt("double", i) {
		send(w, l)
	}
	if s.consumeFaultAt("cross", i) {
		x := l
		x.RequestID, x.Token = "other", "crossed "
		send(w, x)
		x = l
		x.Attempt, x.Token = l.Attempt-1, "late "
		send(w, x)
	}
	send(w, l)
}

// consumeFaultAt consumes the fault with a name and returns true if it is set for token i.
func (s *Server) consumeFaultAt(name string, i int) bool {
	m, ok := s.Faults.Lookup(name)
	if !ok || m.TokenIndex != i {
		return false
	}
	_, ok = s.Faults.Consume(name)
	return ok
}

// findAttempt returns the attempt that the request body names, or writes an error and returns nil. It
// records an unknown attempt as not started, so that a later request to generate it is rejected.
func (s *Server) findAttempt(w http.ResponseWriter, r *http.Request) (*attempt, engine.Attempt) {
	var q engine.Attempt
	if !jsonhttp.Read(w, r, &q) {
		return nil, q
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Incarnation != s.incarnation {
		http.Error(w, "another incarnation", http.StatusPreconditionFailed)
		return nil, q
	}
	a := s.attempts[attemptKey(q.RequestID, q.Attempt)]
	if a == nil {
		a = newAttempt(engine.Request{RequestID: q.RequestID, Attempt: q.Attempt})
		a.run.State = engine.NotStarted
		s.attempts[attemptKey(q.RequestID, q.Attempt)] = a
	}
	return a, q
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	a, q := s.findAttempt(w, r)
	if a == nil {
		return
	}
	if _, u, _ := a.snapshot(); u.State == engine.NotStarted {
		http.Error(w, "not run", http.StatusNotFound)
		return
	}
	s.stream(w, r, a, q.From)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	a, _ := s.findAttempt(w, r)
	if a == nil {
		return
	}
	c := a.cancel()
	if _, lost := s.Faults.Consume("deaf_cancel"); lost {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, c)
}
