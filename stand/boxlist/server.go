// Package boxlist is a stand-in for the box list, which lags behind the cloud.
package boxlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/stand/faults"
)

// Server shows the cloud's boxes as they were Lag ago. Faults: "outage" and
// "freeze" (the list no longer changes).
type Server struct {
	Lag    time.Duration
	Cloud  *jsonhttp.Client
	Faults faults.Switch

	mu    sync.Mutex
	boxes []fleet.Box
}

// New returns a list that follows the cloud at an address.
func New(cloud string, lag time.Duration) *Server {
	return &Server{Lag: lag, Cloud: jsonhttp.New(cloud, "boxlist", time.Second)}
}

// Run follows the cloud until c ends.
func (s *Server) Run(c context.Context) {
	const every = 100 * time.Millisecond
	for c.Err() == nil {
		var bs []fleet.Box
		if err := s.Cloud.Do(c, http.MethodGet, "/boxes", nil, &bs); err == nil {
			time.AfterFunc(s.Lag, func() { s.set(bs) })
		}
		select {
		case <-c.Done():
		case <-time.After(every):
		}
	}
}

func (s *Server) set(bs []fleet.Box) {
	if _, frozen := s.Faults.Look("freeze"); frozen {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = bs
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control" {
		s.Faults.ServeHTTP(w, r)
		return
	}
	if _, out := s.Faults.Take("outage"); out {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.boxes)
}
