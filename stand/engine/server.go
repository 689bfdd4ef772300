// Package engine is a stand-in for a model engine: batching slots, a prefix
// cache in limited memory, priorities, cancel, resume, KV export and import,
// lagging load, cache events with gaps and fenced orders.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/stand/faults"
)

// Options sets the engine up. TokenEvery is the time between tokens of a
// stream, PrefillRate the tokens a second of computing a prompt.
type Options struct {
	Name        string
	Address     string
	Loaded      []string
	Slots       int
	TokenEvery  time.Duration
	PrefillRate int
	CacheSize   int
	LoadLag     time.Duration
	ChecksFence bool
	Weights     string
	AuditFile   string
}

// Server is the engine. Faults: "cut", "gap", "double", "no_end", "cross" (each
// at token At), "drop_before", "deaf_cancel" (a cancel's answer is lost), "die".
type Server struct {
	Options
	Faults faults.Switch

	incarnation string
	mu          sync.Mutex
	attempts    map[engine.Attempt]*attempt
	order       []*attempt
	waiting     []*attempt
	running     int
	loaded      []string
	fence       uint64
	cache       []uint64
	events      []engine.CacheEvent
	kv          map[string]engine.Export
	reported    fleet.Load
	router      *mux.Router
}

// New returns an engine.
func New(o Options) *Server {
	s := &Server{
		Options: o, incarnation: uuid.NewString(), loaded: o.Loaded,
		attempts: map[engine.Attempt]*attempt{}, kv: map[string]engine.Export{}, router: mux.NewRouter(),
	}
	for p, h := range map[string]http.HandlerFunc{
		"/generate": s.generate, "/resume": s.resume, "/cancel": s.cancel, "/export": s.export,
		"/import": s.take, "/kv/{handle}": s.give, "/load": s.load, "/events": s.showEvents, "/audit": s.audit,
	} {
		s.router.HandleFunc(p, h)
	}
	s.router.HandleFunc("/orders", s.takeOrders).Methods(http.MethodPost)
	s.router.HandleFunc("/orders", s.showOrders).Methods(http.MethodGet)
	s.router.Handle("/control", &s.Faults)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
	if _, die := s.Faults.Look("die"); die {
		faults.Die(s.AuditFile, s.runs())
	}
}

// key names an attempt in the table.
func key(id string, n int) engine.Attempt { return engine.Attempt{RequestID: id, Attempt: n} }

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Faults.Take("drop_before"); ok {
		panic(http.ErrAbortHandler)
	}
	var q engine.Request
	if !jsonhttp.Read(w, r, &q) {
		return
	}
	a, status := s.admit(q)
	if status != http.StatusOK {
		http.Error(w, "not run", status)
		return
	}
	go s.work(a)
	s.stream(w, r, a, q.From)
}

// admit enters a new attempt, or says with which status it is refused.
func (s *Server) admit(q engine.Request) (*attempt, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(q.RequestID, q.Attempt)
	switch {
	case q.Incarnation != s.incarnation:
		return nil, http.StatusPreconditionFailed
	case !slices.Contains(s.loaded, q.Model):
		return nil, http.StatusNotFound
	case s.attempts[k] != nil:
		return nil, http.StatusConflict
	}
	a := newAttempt(q)
	s.attempts[k] = a
	s.order = append(s.order, a)
	s.waiting = append(s.waiting, a)
	slices.SortStableFunc(s.waiting, func(x, y *attempt) int { return x.run.Priority - y.run.Priority })
	s.dispatch()
	return a, http.StatusOK
}

// dispatch gives free slots to the most urgent. The caller holds the lock.
func (s *Server) dispatch() {
	for s.running < s.Slots && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		close(a.grant)
	}
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.dispatch()
}

// work computes an attempt to its end, whether or not anybody reads it.
func (s *Server) work(a *attempt) {
	select {
	case <-a.grant:
	case <-a.stop:
		s.mu.Lock()
		i := slices.Index(s.waiting, a)
		if i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
		}
		s.mu.Unlock()
		if i >= 0 {
			return
		}
		<-a.grant
	}
	defer s.release()
	n, cached := s.prefill(a.run.Request)
	a.set(func() {
		if a.run.State == engine.Queued {
			a.run.State, a.run.Prefill, a.run.Cached = engine.Running, n, cached
		}
	})
	d := time.Duration(n) * time.Second / time.Duration(s.PrefillRate)
	for a.pause(d + s.TokenEvery) {
		d = 0
		if !a.step() {
			return
		}
	}
}

func (a *attempt) pause(d time.Duration) bool {
	select {
	case <-a.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// stream writes the lines of an attempt from a token on.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	o := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	_ = o.Flush()
	for i := from; ; {
		n, u, c := a.view()
		for ; i < n; i++ {
			s.write(w, a, i, u)
		}
		_ = o.Flush()
		switch u.State {
		case engine.Done:
			s.finish(w, u, n, "stop")
			return
		case engine.Stopped:
			s.finish(w, u, n, "cancelled")
			return
		}
		select {
		case <-c:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) finish(w http.ResponseWriter, u Run, n int, why string) {
	if _, ok := s.Faults.Take("no_end"); ok {
		return
	}
	send(w, engine.Line{RequestID: u.RequestID, Attempt: u.Attempt, Index: n, End: true, Reason: why})
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.runs())
}

func (s *Server) runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	us := make([]Run, 0, len(s.order))
	for _, a := range s.order {
		_, u, _ := a.view()
		us = append(us, u)
	}
	return us
}
