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

// kvBytesPerToken is the size of the KV cache of one token in a transfer.
const kvBytesPerToken = 100 << 10

// prefill returns the number of tokens to compute before the first token of the answer, and whether
// the prompt was cached or its KV cache imported. It adds the prompt to the prefix cache unless its KV
// cache was imported.
func (s *Server) prefill(q engine.Request) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := engine.EstimatePromptTokens(q.Prompt) + q.From
	if x, ok := s.exports[q.KV]; ok && q.KV != "" {
		delete(s.exports, q.KV)
		return max(q.From-x.Tokens, 0), true
	}
	p := engine.PrefixHash(q.Model, q.Prompt)
	i := slices.Index(s.cache, p)
	if i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), p)
		return q.From, true
	}
	s.cache = append(s.cache, p)
	s.addEvent(p, true)
	if len(s.cache) > s.CacheSize {
		s.addEvent(s.cache[0], false)
		s.cache = s.cache[1:]
	}
	return n, false
}

// addEvent records that a prefix was added to the cache or evicted. The caller holds s.mu.
func (s *Server) addEvent(p uint64, held bool) {
	s.events = append(s.events, engine.CacheEvent{Seq: uint64(len(s.events) + 1), Prefix: p, Held: held})
}

// listEvents returns the cache events after a sequence number. It omits every tenth event to
// simulate gaps.
func (s *Server) listEvents(w http.ResponseWriter, r *http.Request) {
	const omitEvery = 10
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	es := []engine.CacheEvent{}
	for _, e := range s.events {
		if e.Seq > after && e.Seq%omitEvery != 0 {
			es = append(es, e)
		}
	}
	jsonhttp.Write(w, http.StatusOK, es)
}

// export stops an attempt and keeps its KV cache under a new handle.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	a, _ := s.findAttempt(w, r)
	if a == nil {
		return
	}
	if _, fails := s.Faults.Consume("no_export"); fails {
		http.Error(w, "export failed", http.StatusServiceUnavailable)
		return
	}
	c := a.cancel()
	_, u, _ := a.snapshot()
	n := engine.EstimatePromptTokens(u.Prompt) + c.Tokens
	x := engine.Export{Handle: uuid.NewString(), Tokens: c.Tokens, Bytes: int64(n) * kvBytesPerToken}
	s.mu.Lock()
	s.exports[x.Handle] = x
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, x)
}

// getExport returns the KV cache with a handle to the engine that imports it.
func (s *Server) getExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	x, ok := s.exports[mux.Vars(r)["handle"]]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	jsonhttp.Write(w, http.StatusOK, x)
}

// importKV fetches a KV cache from the engine that exported it.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
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
	s.exports[x.Handle] = x
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, x)
}

// load returns the load as it was at most LoadLag ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastLoad.Reported) > s.LoadLag {
		s.lastLoad = fleet.Load{
			Incarnation: s.incarnation, ChecksFence: s.ChecksFence, Loaded: s.loaded, Slots: s.Slots,
			Running: s.running, Waiting: len(s.waiting),
			TokensPerSecond: float64(time.Second) / float64(s.TokenInterval), Reported: time.Now(),
		}
	}
	jsonhttp.Write(w, http.StatusOK, s.lastLoad)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, engine.Orders{Fence: s.fence, Workloads: s.loaded})
}

// applyOrders loads the missing workloads and unloads those that the orders do not name. Orders with
// an older fence than the last are rejected if ChecksFence is set.
func (s *Server) applyOrders(w http.ResponseWriter, r *http.Request) {
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
	before := slices.Clone(s.loaded)
	s.mu.Unlock()
	for _, l := range o.Workloads {
		if slices.Contains(before, l) {
			continue
		}
		if err := s.fetchWeights(r.Context(), l); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	s.mu.Lock()
	s.loaded = o.Workloads
	s.lastLoad = fleet.Load{}
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, o)
}

// fetchWeights downloads the weights of a workload from the weight store, if there is one.
func (s *Server) fetchWeights(c context.Context, workload string) error {
	if s.Weights == "" {
		return nil
	}
	const timeout = time.Minute
	return jsonhttp.New(s.Weights, s.Name, timeout).Do(c, http.MethodGet, "/weights/"+workload, nil, nil)
}
