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

// write sends token i of an attempt, or what a fault makes of it.
func (s *Server) write(w http.ResponseWriter, a *attempt, i int, u Run) {
	l := a.line(i, u)
	if s.hit("cut", i) {
		panic(http.ErrAbortHandler)
	}
	if s.hit("gap", i) {
		return
	}
	if s.hit("double", i) {
		send(w, l)
	}
	if s.hit("cross", i) {
		x := l
		x.RequestID, x.Token = "other", "crossed "
		send(w, x)
		x = l
		x.Attempt, x.Token = l.Attempt-1, "late "
		send(w, x)
	}
	send(w, l)
}

// hit takes a fault when a stream is at its token.
func (s *Server) hit(name string, i int) bool {
	m, ok := s.Faults.Look(name)
	if !ok || m.At != i {
		return false
	}
	_, ok = s.Faults.Take(name)
	return ok
}

func (s *Server) find(w http.ResponseWriter, r *http.Request) (*attempt, engine.Attempt) {
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
	a := s.attempts[key(q.RequestID, q.Attempt)]
	if a == nil {
		a = newAttempt(engine.Request{RequestID: q.RequestID, Attempt: q.Attempt})
		a.run.State = engine.NotStarted
		s.attempts[key(q.RequestID, q.Attempt)] = a
	}
	return a, q
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	a, q := s.find(w, r)
	if a == nil {
		return
	}
	if _, u, _ := a.view(); u.State == engine.NotStarted {
		http.Error(w, "not run", http.StatusNotFound)
		return
	}
	s.stream(w, r, a, q.From)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	a, _ := s.find(w, r)
	if a == nil {
		return
	}
	c := a.halt()
	if _, deaf := s.Faults.Take("deaf_cancel"); deaf {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, c)
}
