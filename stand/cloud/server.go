// Package cloud implements a stand-in for the cloud API, which starts and stops boxes, quotes prices
// and sends reclaim notices.
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

// Audit counts the boxes started, the starts refused and the boxes reclaimed so far, and sums the
// cost of all boxes.
type Audit struct {
	Started   int     `json:"started"`
	Refused   int     `json:"refused"`
	Reclaimed int     `json:"taken"`
	Cost      float64 `json:"cost"`
}

// Server is the cloud. Faults: "outage" (calls fail) and "refuse" (starts are refused).
type Server struct {
	Faults faults.Injector

	mu        sync.Mutex
	boxes     []fleet.Box
	costSince map[string]time.Time
	prices    []cloud.Price
	audit     Audit
	router    *mux.Router
}

// New returns a cloud with the given boxes and prices. The stopped boxes are available to start.
func New(boxes []fleet.Box, prices []cloud.Price) *Server {
	s := &Server{boxes: boxes, prices: prices, costSince: map[string]time.Time{}, router: mux.NewRouter()}
	for _, b := range boxes {
		s.costSince[b.Name] = time.Now()
	}
	s.router.Handle("/control", &s.Faults)
	s.router.HandleFunc("/boxes", s.listBoxes)
	s.router.HandleFunc("/notices", s.listNotices).Methods(http.MethodGet)
	s.router.HandleFunc("/notices", s.postNotice).Methods(http.MethodPost)
	s.router.HandleFunc("/prices", s.listPrices).Methods(http.MethodGet)
	s.router.HandleFunc("/prices", s.setPrices).Methods(http.MethodPut)
	s.router.HandleFunc("/start", s.start)
	s.router.HandleFunc("/stop/{box}", s.stop)
	s.router.HandleFunc("/audit", s.showAudit)
	return s
}

// ServeHTTP dispatches a call to its handler, or fails it if the "outage" fault applies to the
// caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m, ok := s.Faults.Consume("outage"); ok && r.URL.Path != "/control" && (m.Match == "" || m.Match == r.Header.Get(jsonhttp.CallerHeader)) {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	s.router.ServeHTTP(w, r)
}

func (s *Server) listBoxes(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.boxes)
}

// listNotices returns the boxes that have a reclaim notice.
func (s *Server) listNotices(w http.ResponseWriter, _ *http.Request) {
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

// postNotice marks the boxes of a notice as leaving, and reclaims them when its time has passed. A
// notice for a data centre applies to all its reclaimable boxes.
func (s *Server) postNotice(w http.ResponseWriter, r *http.Request) {
	var n cloud.Notice
	if !jsonhttp.Read(w, r, &n) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := time.Now().Add(n.In)
	for i, b := range s.boxes {
		affected := slices.Contains(n.Boxes, b.Name) || (b.Reclaimable && b.DataCentre == n.DataCentre)
		if affected && b.State == fleet.Live {
			s.boxes[i].State, s.boxes[i].Deadline = fleet.Leaving, deadline
			time.AfterFunc(n.In, func() { s.reclaim(b.Name) })
		}
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// reclaim marks a box as gone and terminates its process with the "die" fault, which entry boxes do
// not have.
func (s *Server) reclaim(box string) {
	s.mu.Lock()
	i := slices.IndexFunc(s.boxes, func(b fleet.Box) bool { return b.Name == box })
	s.accrueCost(i)
	s.boxes[i].State = fleet.Gone
	s.audit.Reclaimed++
	b := s.boxes[i]
	s.mu.Unlock()
	if b.Role != fleet.EntryRole {
		c := jsonhttp.New(b.Address, "cloud", time.Second)
		_ = c.Do(context.Background(), http.MethodPost, "/control", faults.Fault{Name: "die", Remaining: -1}, nil)
	}
}

// accrueCost adds the cost of a box since the last call to the audit. The caller holds s.mu.
func (s *Server) accrueCost(i int) {
	b := s.boxes[i]
	if b.State == fleet.Live || b.State == fleet.Leaving {
		s.audit.Cost += s.pricePerHour(b) * time.Since(s.costSince[b.Name]).Hours()
	}
	s.costSince[b.Name] = time.Now()
}

// pricePerHour returns the price of a box, or 0 if its kind has none.
func (s *Server) pricePerHour(b fleet.Box) float64 {
	for _, p := range s.prices {
		if p.DataCentre == b.DataCentre && p.Class == b.Class && p.Reclaimable == b.Reclaimable {
			return p.PerHour
		}
	}
	return 0
}

func (s *Server) listPrices(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.prices)
}

// setPrices replaces the prices, after it has charged the time so far at the old ones.
func (s *Server) setPrices(w http.ResponseWriter, r *http.Request) {
	var ps []cloud.Price
	if !jsonhttp.Read(w, r, &ps) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.boxes {
		s.accrueCost(i)
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
	if _, refuse := s.Faults.Consume("refuse"); refuse || i < 0 {
		s.audit.Refused++
		http.Error(w, "no supply", http.StatusConflict)
		return
	}
	s.audit.Started++
	s.costSince[s.boxes[i].Name] = time.Now()
	s.boxes[i].State = fleet.Live
	jsonhttp.Write(w, http.StatusOK, s.boxes[i])
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.boxes {
		if b.Name == mux.Vars(r)["box"] && b.State == fleet.Live {
			s.accrueCost(i)
			s.boxes[i].State = fleet.Stopped
		}
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (s *Server) showAudit(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.boxes {
		s.accrueCost(i)
	}
	jsonhttp.Write(w, http.StatusOK, s.audit)
}
