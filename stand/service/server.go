// Package service implements a stand-in for a plain HTTP service.
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

// Run is one call that the service executed, as reported by the audit.
type Run struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	End       string `json:"end"`
}

// Server answers any call with a body that is a function of the request, as answer.Service computes.
// AuditFile is the file that the audit is written to when the "die" fault terminates the process.
// Faults: "slow" (calls are delayed), "short" (the body is truncated), "drop" (the connection breaks
// after the call ran), "drop_before" (it breaks before the call runs), "unframed" (the answer has neither length nor chunks, and ends
// with its connection) and "die" (the process exits).
type Server struct {
	Name      string
	AuditFile string
	Faults    faults.Injector

	incarnation string
	mu          sync.Mutex
	running     int
	runs        []Run
	router      *mux.Router
}

// New returns a service with a name and a new incarnation.
func New(name string) *Server {
	s := &Server{Name: name, incarnation: uuid.NewString(), router: mux.NewRouter()}
	s.router.Handle("/control", &s.Faults)
	s.router.HandleFunc("/audit", s.audit)
	s.router.HandleFunc("/load", s.load)
	s.router.PathPrefix("/").HandlerFunc(s.handle)
	return s
}

// ServeHTTP dispatches a call to its handler, and exits the process if the "die" fault is set.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
	if _, die := s.Faults.Lookup("die"); die {
		faults.Exit(s.AuditFile, s.auditRuns())
	}
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.auditRuns())
}

func (s *Server) auditRuns() []Run {
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

// startRun records a call and returns its index in s.runs.
func (s *Server) startRun(u Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs = append(s.runs, u)
	return len(s.runs) - 1
}

func (s *Server) endRun(i int, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[i].End = outcome
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if m, ok := s.Faults.Lookup("drop_before"); ok && strings.Contains(r.URL.Path, m.Match) {
		s.Faults.Consume("drop_before")
		panic(http.ErrAbortHandler)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, jsonhttp.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := s.startRun(Run{RequestID: r.Header.Get("Birchlink-Request-Id"), Attempt: r.Header.Get("Birchlink-Attempt"), Method: r.Method, Path: r.URL.Path})
	defer s.endRun(i, "done")
	if m, ok := s.Faults.Consume("slow"); ok {
		time.Sleep(m.Delay)
	}
	if m, ok := s.Faults.Lookup("drop"); ok && strings.Contains(r.URL.Path, m.Match) {
		s.Faults.Consume("drop")
		panic(http.ErrAbortHandler)
	}
	a := answer.Service(s.Name, r.Method, r.URL.Path, string(b))
	if _, ok := s.Faults.Consume("unframed"); ok {
		writeUnframed(w, a)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(a)))
	if _, ok := s.Faults.Consume("short"); ok {
		a = a[:len(a)/2]
	}
	_, _ = io.WriteString(w, a)
}

// writeUnframed writes an answer that ends with its connection.
func writeUnframed(w http.ResponseWriter, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
}
