// Package weights implements a stand-in for the weight store, which limits concurrent downloads.
package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/jsonhttp"
)

// Fetch is one request for the weights of a workload, as reported by the audit.
type Fetch struct {
	Workload string    `json:"workload"`
	Box      string    `json:"box"`
	At       time.Time `json:"at"`
	Refused  bool      `json:"refused"`
}

// Server serves weights. Each download takes Delay, and at most MaxConcurrent run at a time; further
// requests are refused.
type Server struct {
	MaxConcurrent int
	Delay         time.Duration

	mu      sync.Mutex
	running int
	fetches []Fetch
	router  *mux.Router
}

// New returns a store that serves up to maxConcurrent downloads at a time, each taking delay.
func New(maxConcurrent int, delay time.Duration) *Server {
	s := &Server{MaxConcurrent: maxConcurrent, Delay: delay, router: mux.NewRouter()}
	s.router.HandleFunc("/weights/{workload:.+}", s.fetch)
	s.router.HandleFunc("/audit", s.audit)
	return s
}

// ServeHTTP dispatches a call to its handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// startFetch records a request and reports whether the limit allows it.
func (s *Server) startFetch(f Fetch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Refused = s.running >= s.MaxConcurrent
	s.fetches = append(s.fetches, f)
	if !f.Refused {
		s.running++
	}
	return !f.Refused
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.startFetch(Fetch{Workload: mux.Vars(r)["workload"], Box: r.Header.Get(jsonhttp.CallerHeader), At: time.Now()}) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	defer func() { s.mu.Lock(); s.running--; s.mu.Unlock() }()
	select {
	case <-time.After(s.Delay):
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	case <-r.Context().Done():
	}
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.fetches)
}
