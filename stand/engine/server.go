// Package engine implements a stand-in for a model engine. It has batching slots, request priorities,
// a prefix cache of limited size, and KV cache export and import. Streams can be cancelled and
// resumed, load reports are delayed, cache events have gaps, and orders are fenced.
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

// Options configures an engine. Loaded lists the initial workloads. TokenInterval is the time between
// the tokens of a stream, PrefillRate the speed of computing a prompt in tokens per second, and
// CacheSize the capacity of the cache in prefixes. Weights is the address of the weight store; if it
// is empty, workloads load at once. AuditFile is the file that the audit is written to when the
// "die" fault terminates the process.
type Options struct {
	Name          string
	Address       string
	Loaded        []string
	Slots         int
	TokenInterval time.Duration
	PrefillRate   int
	CacheSize     int
	LoadLag       time.Duration
	ChecksFence   bool
	Weights       string
	AuditFile     string
}

// Server is the engine. Faults: "cut" (the stream breaks), "gap" (a token is omitted), "double" (a
// token is sent twice) and "cross" (tokens of others are mixed in), each at token TokenIndex;
// "no_end" (the stream has no end line), "drop_before" (the connection breaks before the attempt
// starts), "no_export" (an export fails), "deaf_cancel" (the response to a cancel is lost) and "die"
// (the process exits).
type Server struct {
	Options
	Faults faults.Injector

	incarnation string
	mu          sync.Mutex
	attempts    map[engine.Attempt]*attempt
	admitted    []*attempt
	waiting     []*attempt
	running     int
	loaded      []string
	fence       uint64
	cache       []uint64
	events      []engine.CacheEvent
	exports     map[string]engine.Export
	lastLoad    fleet.Load
	router      *mux.Router
}

// New returns an engine with a new incarnation.
func New(o Options) *Server {
	s := &Server{
		Options: o, incarnation: uuid.NewString(), loaded: o.Loaded,
		attempts: map[engine.Attempt]*attempt{}, exports: map[string]engine.Export{}, router: mux.NewRouter(),
	}
	for p, h := range map[string]http.HandlerFunc{
		"/generate": s.generate, "/resume": s.resume, "/cancel": s.cancel, "/export": s.export,
		"/import": s.importKV, "/kv/{handle}": s.getExport, "/load": s.load, "/events": s.listEvents, "/audit": s.audit,
	} {
		s.router.HandleFunc(p, h)
	}
	s.router.HandleFunc("/orders", s.applyOrders).Methods(http.MethodPost)
	s.router.HandleFunc("/orders", s.getOrders).Methods(http.MethodGet)
	s.router.Handle("/control", &s.Faults)
	return s
}

// ServeHTTP dispatches a call to its handler, and exits the process if the "die" fault is set.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
	if _, die := s.Faults.Lookup("die"); die {
		faults.Exit(s.AuditFile, s.runs())
	}
}

// attemptKey returns the key of an attempt in Server.attempts.
func attemptKey(id string, n int) engine.Attempt { return engine.Attempt{RequestID: id, Attempt: n} }

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Faults.Consume("drop_before"); ok {
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
	go s.compute(a)
	s.stream(w, r, a, q.From)
}

// admit queues a new attempt. If it rejects the request, it returns nil and the HTTP status.
func (s *Server) admit(q engine.Request) (*attempt, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := attemptKey(q.RequestID, q.Attempt)
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
	s.admitted = append(s.admitted, a)
	s.waiting = append(s.waiting, a)
	slices.SortStableFunc(s.waiting, func(x, y *attempt) int { return x.run.Priority - y.run.Priority })
	s.dispatch()
	return a, http.StatusOK
}

// dispatch grants free slots to the waiting attempts in order of priority. The caller holds s.mu.
func (s *Server) dispatch() {
	for s.running < s.Slots && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		close(a.slotGranted)
	}
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.dispatch()
}

// compute runs an attempt until it completes or is cancelled, even if no client reads its stream.
func (s *Server) compute(a *attempt) {
	select {
	case <-a.slotGranted:
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
		<-a.slotGranted
	}
	defer s.releaseSlot()
	n, cached := s.prefill(a.run.Request)
	a.update(func() {
		if a.run.State == engine.Queued {
			a.run.State, a.run.Prefill, a.run.Cached = engine.Running, n, cached
		}
	})
	d := time.Duration(n) * time.Second / time.Duration(s.PrefillRate)
	for a.wait(d + s.TokenInterval) {
		d = 0
		if !a.step() {
			return
		}
	}
}

// wait waits for d and returns false if the attempt is cancelled meanwhile.
func (a *attempt) wait(d time.Duration) bool {
	select {
	case <-a.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// stream writes the lines of an attempt, starting with token from.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	o := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	_ = o.Flush()
	for i := from; ; {
		n, u, c := a.snapshot()
		for ; i < n; i++ {
			s.writeToken(w, a, i, u)
		}
		_ = o.Flush()
		switch u.State {
		case engine.Done:
			s.writeEnd(w, u, n, "stop")
			return
		case engine.Stopped:
			s.writeEnd(w, u, n, "cancelled")
			return
		}
		select {
		case <-c:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) writeEnd(w http.ResponseWriter, u Run, n int, reason string) {
	if _, ok := s.Faults.Consume("no_end"); ok {
		return
	}
	send(w, engine.Line{RequestID: u.RequestID, Attempt: u.Attempt, Index: n, End: true, Reason: reason})
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.runs())
}

func (s *Server) runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	us := make([]Run, 0, len(s.admitted))
	for _, a := range s.admitted {
		_, u, _ := a.snapshot()
		us = append(us, u)
	}
	return us
}
