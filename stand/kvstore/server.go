// Package kvstore implements a stand-in for the platform's key-value service. It offers
// compare-and-swap, leases and watches, counts calls by caller, limits the rates of reads and
// writes, and injects faults.
package kvstore

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/stand/faults"
)

// Server holds the keys in memory. Faults: "outage" (calls fail), "slow" (calls are delayed),
// "lost_answer" (a swap takes effect, but its response is lost) and "stale" (a read returns the
// previous value).
type Server struct {
	Faults faults.Injector

	mu           sync.Mutex
	rev          uint64
	entries      map[string]kv.Entry
	previous     map[string]kv.Entry
	expires      map[string]time.Time
	changeSignal chan struct{}
	counts       map[string]map[string]int
	reads        *rate.Limiter
	writes       *rate.Limiter
	router       *mux.Router
}

// New returns an empty store that allows the given numbers of writes and reads per second. The
// burst of each limiter is one second's worth.
func New(writesPerSecond, readsPerSecond int) *Server {
	s := &Server{
		entries: map[string]kv.Entry{}, previous: map[string]kv.Entry{}, expires: map[string]time.Time{},
		changeSignal: make(chan struct{}), counts: map[string]map[string]int{},
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond), reads: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
	}
	s.router = mux.NewRouter()
	s.router.Handle("/control", &s.Faults)
	s.router.HandleFunc("/audit", s.audit)
	s.router.HandleFunc("/kv/{key:.+}", s.wrap("get", s.reads, s.get)).Methods(http.MethodGet)
	s.router.HandleFunc("/kv/{key:.+}", s.wrap("swap", s.writes, s.swap)).Methods(http.MethodPut)
	s.router.HandleFunc("/watch/{key:.+}", s.wrap("watch", s.reads, s.watch))
	s.router.HandleFunc("/list/{key:.+}", s.wrap("list", s.reads, s.list))
	return s
}

// ServeHTTP dispatches a call to its handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// wrap returns h with call counting, the "outage" and "slow" faults, and the rate limit l.
func (s *Server) wrap(name string, l *rate.Limiter, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.countCall(name, r.Header.Get(jsonhttp.CallerHeader))
		if m, ok := s.Faults.Consume("outage"); ok && strings.HasPrefix(r.Header.Get(jsonhttp.CallerHeader), m.Match) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if m, ok := s.Faults.Consume("slow"); ok {
			wait(r, m.Delay)
		}
		if !l.Allow() {
			s.countCall("limited", r.Header.Get(jsonhttp.CallerHeader))
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		h(w, r)
	}
}

func wait(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

func (s *Server) countCall(kind, caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[kind] == nil {
		s.counts[kind] = map[string]int{}
	}
	s.counts[kind][caller]++
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, s.counts)
}

// expire deletes key if its lease has expired. The caller holds s.mu.
func (s *Server) expire(key string) {
	if t, ok := s.expires[key]; ok && time.Now().After(t) {
		delete(s.entries, key)
		delete(s.expires, key)
	}
}

// read returns the entry of key and a channel that is closed at the next change of any key.
func (s *Server) read(key string) (kv.Entry, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(key)
	e := s.entries[key]
	e.Key = key
	return e, s.changeSignal
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	e, _ := s.read(key)
	if _, ok := s.Faults.Consume("stale"); ok {
		s.mu.Lock()
		e = s.previous[key]
		s.mu.Unlock()
	}
	jsonhttp.Write(w, http.StatusOK, e)
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var in kv.Entry
	if !jsonhttp.Read(w, r, &in) {
		return
	}
	if len(in.Value) > kv.MaxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	in.Key = mux.Vars(r)["key"]
	e, ok := s.apply(in)
	if m, lost := s.Faults.Lookup("lost_answer"); lost && strings.HasPrefix(in.Key, m.Match) {
		s.Faults.Consume("lost_answer")
		panic(http.ErrAbortHandler) // the change is applied, but its response is lost
	}
	if !ok {
		jsonhttp.Write(w, http.StatusConflict, e)
		return
	}
	jsonhttp.Write(w, http.StatusOK, kv.Entry{Key: e.Key, Rev: e.Rev})
}

// apply writes in if its revision matches the stored one. Otherwise it returns the stored entry and
// false.
func (s *Server) apply(in kv.Entry) (kv.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(in.Key)
	old := s.entries[in.Key]
	if old.Rev != in.Rev {
		old.Key = in.Key
		return old, false
	}
	s.rev++
	s.previous[in.Key] = old
	in.Rev = s.rev
	s.entries[in.Key] = in
	delete(s.expires, in.Key)
	if in.TTL > 0 {
		s.expires[in.Key] = time.Now().Add(in.TTL)
	}
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
	return in, true
}

// watch is a long poll: it responds when the revision of the key differs from "after", or with the
// current entry once "wait" has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		e, c := s.read(mux.Vars(r)["key"])
		if m, down := s.Faults.Lookup("outage"); down && strings.HasPrefix(r.Header.Get(jsonhttp.CallerHeader), m.Match) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if e.Rev != after {
			jsonhttp.Write(w, http.StatusOK, e)
			return
		}
		select {
		case <-c:
		case <-t.C:
			jsonhttp.Write(w, http.StatusOK, e)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	es := []kv.Entry{}
	for k := range s.entries {
		s.expire(k)
		if e, ok := s.entries[k]; ok && strings.HasPrefix(k, mux.Vars(r)["key"]) {
			e.Key = k
			es = append(es, e)
		}
	}
	jsonhttp.Write(w, http.StatusOK, es)
}
