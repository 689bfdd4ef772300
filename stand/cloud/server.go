// Package cloud is a stand-in for the cloud API: it starts and stops boxes,
// quotes prices and sends reclaim notices.
package cloud

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/stand/faults"
)

// Audit is what happened so far.
type Audit struct {
	Started int     `json:"started"`
	Refused int     `json:"refused"`
	Taken   int     `json:"taken"`
	Cost    float64 `json:"cost"`
}

// Server is the cloud. Faults: "outage" and "refuse" (starts are refused).
type Server struct {
	Faults faults.Switch

	mu     sync.Mutex
	boxes  []fleet.Box
	since  map[string]time.Time
	prices []cloud.Price
	audit  Audit
	router *mux.Router
}

// New returns a cloud with these boxes; the stopped ones can be started.
func New(boxes []fleet.Box, prices []cloud.Price) *Server {
	s := &Server{boxes: boxes, prices: prices, since: map[string]time.Time{}, router: mux.NewRouter()}
	for _, b := range boxes {
		s.since[b.Name] = time.Now()
	}
	s.router.Handle("/control", &s.Faults)
	s.router.HandleFunc("/boxes", s.list)
	s.router.HandleFunc("/notices", s.notices).Methods(http.MethodGet)
	s.router.HandleFunc("/notices", s.notify).Methods(http.MethodPost)
	s.router.HandleFunc("/prices", s.quote).Methods(http.MethodGet)
	s.router.HandleFunc("/prices", s.reprice).Methods(http.MethodPut)
	s.router.HandleFunc("/start", s.start)
	s.router.HandleFunc("/stop/{box}", s.stop)
	s.router.HandleFunc("/audit", s.showAudit)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m, ok := s.Faults.Take("outage"); ok && r.URL.Path != "/control" && (m.Match == "" || m.Match == r.Header.Get(jsonhttp.CallerHeader)) {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	s.router.ServeHTTP(w, r)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.boxes)
}

func (s *Server) notices(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bs := []fleet.Box{}
	for _, b := range s.boxes {
		if b.State == fleet.Leaving {
			bs = append(bs, b)
		}
	}
	jsonhttp.Write(w, http.StatusOK, bs)
}

func (s *Server) notify(w http.ResponseWriter, r *http.Request) {
	var n cloud.Notice
	if !jsonhttp.Read(w, r, &n) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Now().Add(n.In)
	for i, b := range s.boxes {
		hit := slices.Contains(n.Boxes, b.Name) || (b.Reclaimable && b.DataCentre == n.DataCentre)
		if hit && b.State == fleet.Live {
			s.boxes[i].State, s.boxes[i].Deadline = fleet.Leaving, d
			time.AfterFunc(n.In, func() { s.take(b.Name) })
		}
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// take ends a box: it is gone from the list and its process is told to die.
func (s *Server) take(box string) {
	s.mu.Lock()
	i := slices.IndexFunc(s.boxes, func(b fleet.Box) bool { return b.Name == box })
	s.settle(i)
	s.boxes[i].State = fleet.Gone
	s.audit.Taken++
	b := s.boxes[i]
	s.mu.Unlock()
	if b.Role != fleet.EntryRole {
		c := jsonhttp.New(b.Address, "cloud", time.Second)
		_ = c.Do(context.Background(), http.MethodPost, "/control", faults.Mode{Name: "die", Left: -1}, nil)
	}
}

// settle adds the cost of a box since it was last added. The caller holds the lock.
func (s *Server) settle(i int) {
	b := s.boxes[i]
	if b.State == fleet.Live || b.State == fleet.Leaving {
		s.audit.Cost += s.price(b) * time.Since(s.since[b.Name]).Hours()
	}
	s.since[b.Name] = time.Now()
}

func (s *Server) price(b fleet.Box) float64 {
	for _, p := range s.prices {
		if p.DataCentre == b.DataCentre && p.Class == b.Class && p.Reclaimable == b.Reclaimable {
			return p.PerHour
		}
	}
	return 0
}

func (s *Server) quote(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.prices)
}

func (s *Server) reprice(w http.ResponseWriter, r *http.Request) {
	var ps []cloud.Price
	if !jsonhttp.Read(w, r, &ps) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.boxes {
		s.settle(i)
	}
	s.prices = ps
	jsonhttp.Write(w, http.StatusOK, ps)
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var in cloud.Start
	if !jsonhttp.Read(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.boxes, func(b fleet.Box) bool {
		return b.State == fleet.Stopped && b.DataCentre == in.DataCentre && b.Class == in.Class && b.Reclaimable == in.Reclaimable
	})
	if _, refuse := s.Faults.Take("refuse"); refuse || i < 0 {
		s.audit.Refused++
		http.Error(w, "no supply", http.StatusConflict)
		return
	}
	s.audit.Started++
	s.since[s.boxes[i].Name] = time.Now()
	s.boxes[i].State = fleet.Live
	jsonhttp.Write(w, http.StatusOK, s.boxes[i])
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.boxes {
		if b.Name == mux.Vars(r)["box"] && b.State == fleet.Live {
			s.settle(i)
			s.boxes[i].State = fleet.Stopped
		}
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (s *Server) showAudit(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.boxes {
		s.settle(i)
	}
	jsonhttp.Write(w, http.StatusOK, s.audit)
}
