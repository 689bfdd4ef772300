// Package boxlist implements a stand-in for the platform's box list, which reports the boxes of the
// cloud with a delay.
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

// Server serves the boxes of the cloud as they were Lag ago. Faults: "outage" (calls fail)
// and "freeze" (the list stops changing).
type Server struct {
	Lag    time.Duration
	Cloud  *jsonhttp.Client
	Faults faults.Injector

	mu    sync.Mutex
	boxes []fleet.Box
}

// New returns a server that polls the cloud API at the address cloud and delays each result by lag.
func New(cloud string, lag time.Duration) *Server {
	return &Server{Lag: lag, Cloud: jsonhttp.New(cloud, "boxlist", time.Second)}
}

// Run polls the cloud until c is done.
func (s *Server) Run(c context.Context) {
	const pollInterval = 100 * time.Millisecond
	for c.Err() == nil {
		var bs []fleet.Box
		if err := s.Cloud.Do(c, http.MethodGet, "/boxes", nil, &bs); err == nil {
			time.AfterFunc(s.Lag, func() { s.setBoxes(bs) })
		}
		select {
		case <-c.Done():
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) setBoxes(bs []fleet.Box) {
	if _, frozen := s.Faults.Lookup("freeze"); frozen {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = bs
}

// ServeHTTP returns the list as JSON, or sets a fault if the path is /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control" {
		s.Faults.ServeHTTP(w, r)
		return
	}
	if _, down := s.Faults.Consume("outage"); down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.boxes)
}
