// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/jsonhttp"
)

// Fetch is one load of a workload's weights, as the audit shows it.
type Fetch struct {
	Workload string    `json:"workload"`
	Box      string    `json:"box"`
	At       time.Time `json:"at"`
	Refused  bool      `json:"refused"`
}

// Server hands out weights, at most Together at a time, each taking Delay.
type Server struct {
	Together int
	Delay    time.Duration

	mu      sync.Mutex
	running int
	fetches []Fetch
	router  *mux.Router
}

// New returns a store that serves so many loads together.
func New(together int, delay time.Duration) *Server {
	s := &Server{Together: together, Delay: delay, router: mux.NewRouter()}
	s.router.HandleFunc("/weights/{workload:.+}", s.fetch)
	s.router.HandleFunc("/audit", s.audit)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) start(f Fetch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Refused = s.running >= s.Together
	s.fetches = append(s.fetches, f)
	if !f.Refused {
		s.running++
	}
	return !f.Refused
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.start(Fetch{Workload: mux.Vars(r)["workload"], Box: r.Header.Get(jsonhttp.CallerHeader), At: time.Now()}) {
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
