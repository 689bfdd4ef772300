// Package service is a stand-in for a plain service.
package service

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/stand/answer"
	"birchlink.dev/birchlink/stand/faults"
)

// Run is one call that the service ran, as its audit shows it.
type Run struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	End       string `json:"end"`
}

// Server answers any call with a fixed function of it. Faults: "slow",
// "short" (the body is cut), "drop" (the connection ends after the run),
// "drop_before" (it ends before the run), "die".
type Server struct {
	Name      string
	AuditFile string
	Faults    faults.Switch

	incarnation string
	mu          sync.Mutex
	running     int
	runs        []Run
	router      *mux.Router
}

// New returns a service of a name.
func New(name string) *Server {
	s := &Server{Name: name, incarnation: uuid.NewString(), router: mux.NewRouter()}
	s.router.Handle("/control", &s.Faults)
	s.router.HandleFunc("/audit", s.audit)
	s.router.HandleFunc("/load", s.load)
	s.router.PathPrefix("/").HandlerFunc(s.call)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
	if _, die := s.Faults.Look("die"); die {
		faults.Die(s.AuditFile, s.all())
	}
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.all())
}

func (s *Server) all() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	const slots = 64
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, fleet.Load{
		Incarnation: s.incarnation, Loaded: []string{s.Name}, Slots: slots, Running: s.running, Reported: time.Now(),
	})
}

func (s *Server) begin(u Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs = append(s.runs, u)
	return len(s.runs) - 1
}

func (s *Server) end(i int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[i].End = how
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	if m, ok := s.Faults.Look("drop_before"); ok && strings.Contains(r.URL.Path, m.Match) {
		s.Faults.Take("drop_before")
		panic(http.ErrAbortHandler)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, jsonhttp.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := s.begin(Run{RequestID: r.Header.Get("Birchlink-Request-Id"), Attempt: r.Header.Get("Birchlink-Attempt"), Method: r.Method, Path: r.URL.Path})
	defer s.end(i, "done")
	if m, ok := s.Faults.Take("slow"); ok {
		time.Sleep(m.Delay)
	}
	if m, ok := s.Faults.Look("drop"); ok && strings.Contains(r.URL.Path, m.Match) {
		s.Faults.Take("drop")
		panic(http.ErrAbortHandler)
	}
	a := answer.Service(s.Name, r.Method, r.URL.Path, string(b))
	w.Header().Set("Content-Length", fmt.Sprint(len(a)))
	if _, ok := s.Faults.Take("short"); ok {
		a = a[:len(a)/2]
	}
	_, _ = io.WriteString(w, a)
}
