package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
)

// bytesPerKVToken is what one token's KV cache takes in a transfer.
const bytesPerKVToken = 100 << 10

// prefill says how many tokens must be computed before the first of an answer,
// and enters the prompt in the cache.
func (s *Server) prefill(q engine.Request) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := engine.EstimatePromptTokens(q.Prompt) + q.From
	if x, ok := s.kv[q.KV]; ok && q.KV != "" {
		delete(s.kv, q.KV)
		return max(q.From-x.Tokens, 0), true
	}
	p := engine.PrefixHash(q.Model, q.Prompt)
	i := slices.Index(s.cache, p)
	if i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), p)
		return q.From, true
	}
	s.cache = append(s.cache, p)
	s.event(p, true)
	if len(s.cache) > s.CacheSize {
		s.event(s.cache[0], false)
		s.cache = s.cache[1:]
	}
	return n, false
}

// event notes a change of the cache. The caller holds the lock.
func (s *Server) event(p uint64, held bool) {
	s.events = append(s.events, engine.CacheEvent{Seq: uint64(len(s.events) + 1), Prefix: p, Held: held})
}

// showEvents answers the events after a number, with every tenth missing.
func (s *Server) showEvents(w http.ResponseWriter, r *http.Request) {
	const gap = 10
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	es := []engine.CacheEvent{}
	for _, e := range s.events {
		if e.Seq > after && e.Seq%gap != 0 {
			es = append(es, e)
		}
	}
	jsonhttp.Write(w, http.StatusOK, es)
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	a, _ := s.find(w, r)
	if a == nil {
		return
	}
	if _, fails := s.Faults.Take("no_export"); fails {
		http.Error(w, "export failed", http.StatusServiceUnavailable)
		return
	}
	c := a.halt()
	_, u, _ := a.view()
	n := engine.EstimatePromptTokens(u.Prompt) + c.Tokens
	x := engine.Export{Handle: uuid.NewString(), Tokens: c.Tokens, Bytes: int64(n) * bytesPerKVToken}
	s.mu.Lock()
	s.kv[x.Handle] = x
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, x)
}

func (s *Server) give(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	x, ok := s.kv[mux.Vars(r)["handle"]]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	jsonhttp.Write(w, http.StatusOK, x)
}

// take imports KV cache from the engine that exported it.
func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	var x engine.Export
	if !jsonhttp.Read(w, r, &x) {
		return
	}
	c := jsonhttp.New(x.Source, s.Name, time.Second)
	if err := c.Do(r.Context(), http.MethodGet, "/kv/"+x.Handle, nil, &x); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.mu.Lock()
	s.kv[x.Handle] = x
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, x)
}

// load answers the load as it was at most LoadLag ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reported.Reported) > s.LoadLag {
		s.reported = fleet.Load{
			Incarnation: s.incarnation, ChecksFence: s.ChecksFence, Loaded: s.loaded, Slots: s.Slots,
			Running: s.running, Waiting: len(s.waiting),
			TokensPerSecond: float64(time.Second) / float64(s.TokenEvery), Reported: time.Now(),
		}
	}
	jsonhttp.Write(w, http.StatusOK, s.reported)
}

func (s *Server) showOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, engine.Orders{Fence: s.fence, Workloads: s.loaded})
}

// takeOrders loads what is missing and drops what is no longer named.
func (s *Server) takeOrders(w http.ResponseWriter, r *http.Request) {
	var o engine.Orders
	if !jsonhttp.Read(w, r, &o) {
		return
	}
	s.mu.Lock()
	if s.ChecksFence && o.Fence < s.fence {
		s.mu.Unlock()
		http.Error(w, "fence is old", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.Fence)
	had := slices.Clone(s.loaded)
	s.mu.Unlock()
	for _, l := range o.Workloads {
		if slices.Contains(had, l) {
			continue
		}
		if err := s.fetch(r.Context(), l); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	s.mu.Lock()
	s.loaded = o.Workloads
	s.reported = fleet.Load{}
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, o)
}

func (s *Server) fetch(c context.Context, workload string) error {
	if s.Weights == "" {
		return nil
	}
	const limit = time.Minute
	return jsonhttp.New(s.Weights, s.Name, limit).Do(c, http.MethodGet, "/weights/"+workload, nil, nil)
}
