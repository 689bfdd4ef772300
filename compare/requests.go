package compare

import (
	"math/rand/v2"
	"slices"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/router"
)

// The performance figures that the engines publish.
const (
	prefillFactor          = 40        // speed of prefill relative to decoding, per token
	kvBytesPerToken        = 100 << 10 // size of the KV cache of one token in a transfer
	transferBytesPerSecond = 1 << 30   // bandwidth of KV cache transfers
)

// workloadIndexRange bounds request.workloadIndex. It exceeds the number of workloads of any data file.
const workloadIndexRange = 1 << 16

// traffic describes a sequence of count requests. Each is active until hold more have arrived, and the
// prompts share the given number of prefixes. prompt and tokens are the mean lengths of prompts and
// answers in tokens.
type traffic struct {
	count, hold, prefixes, prompt, tokens, seed float64
}

// request is one generated request. workloadIndex selects its workload modulo the number of workloads.
type request struct {
	kind          admission.Kind
	workloadIndex int
	dc            string
	prefix        uint64
	prompt        int
	tokens        int
}

// activeRequest is a request assigned to an engine. arrivalIndex is its position in the sequence, and
// release returns its admission slot.
type activeRequest struct {
	request
	arrivalIndex int
	engine       *engine
	workload     string
	release      func()
}

// routingResult sums up the routing of a sequence of requests. computedTokens counts the prompt tokens
// of cache misses, and peakLoad is the highest ratio of busy slots to slots of an engine.
type routingResult struct {
	sent            int
	refused         map[admission.Kind]int
	cacheHits       int
	computedTokens  int
	firstTokenTimes []time.Duration
	peakLoad        float64
	active          []activeRequest
}

var requestKinds = []admission.Kind{admission.Alert, admission.Lookup, admission.Chat, admission.Summary, admission.Draft}

// generate returns the requests. The same seed gives the same requests.
func (o traffic) generate(dcs []string) []request {
	d := rand.New(rand.NewPCG(uint64(o.seed), 7))
	z := rand.NewZipf(d, 1.2, 4, uint64(max(o.prefixes-1, 1)))
	rs := make([]request, int(o.count))
	for i := range rs {
		k := requestKinds[d.IntN(len(requestKinds))]
		rs[i] = request{
			kind: k, workloadIndex: d.IntN(workloadIndexRange), dc: dcs[d.IntN(len(dcs))], prefix: z.Uint64(),
			prompt: int(o.prompt/2) + d.IntN(int(o.prompt)), tokens: int(o.tokens/2) + d.IntN(int(o.tokens)),
		}
	}
	return rs
}

// route admits each request with the given urgent reserve, and assigns it to an engine by policy p. A
// request ends when o.hold more have arrived.
func (s *state) route(o traffic, p router.Policy, reserve float64) routingResult {
	r := routingResult{refused: map[admission.Kind]int{}}
	gates := map[string]*admission.Gate{}
	for _, dc := range s.dataCentres {
		gates[dc] = &admission.Gate{Reserve: reserve}
	}
	cachedOn := map[uint64]string{}
	now := time.Unix(0, 0)
	ws := s.document.Workloads()
	for i, q := range o.generate(s.dataCentres) {
		now = now.Add(time.Millisecond)
		for len(r.active) > 0 && i-r.active[0].arrivalIndex >= int(o.hold) {
			r.active[0].engine.busySlots--
			r.active[0].release()
			r.active = r.active[1:]
		}
		release, err := gates[q.dc].Enter(admission.Request{Account: "a", Kind: q.kind, Weight: 1, Rate: 1e9}, s.slotLimit(q.dc), now)
		if err != nil {
			r.refused[q.kind]++
			continue
		}
		s.assign(&r, activeRequest{request: q, arrivalIndex: i, workload: ws[q.workloadIndex%len(ws)], release: release}, p, cachedOn)
	}
	return r
}

// slotLimit returns the admission limits of a data centre. Its slots are scaled to the share of all
// slots that remains after the reclaim of the data centre with the most reclaimable slots.
func (s *state) slotLimit(dc string) admission.Limits {
	all, own, lost := 0, 0, map[string]int{}
	for _, e := range s.engines {
		all += e.Slots
		if e.Reclaimable {
			lost[e.DataCentre] += e.Slots
		}
		if e.DataCentre == dc {
			own += e.Slots
		}
	}
	worst := 0
	for _, n := range lost {
		worst = max(worst, n)
	}
	return admission.Limits{Slots: float64(own) * float64(all-worst) / float64(max(all, 1)), RateShare: 1}
}

// assign routes one request and adds its cost on the chosen engine to r. cachedOn maps each prefix to
// the last box that computed it.
func (s *state) assign(r *routingResult, u activeRequest, p router.Policy, cachedOn map[uint64]string) {
	q, workload := u.request, u.workload
	prefix := q.prefix ^ rendezvous.Hash(workload)
	var ts []router.Target
	var es []*engine
	for _, e := range s.engines {
		if e.DataCentre != q.dc || !e.Serves(workload) {
			continue
		}
		es = append(es, e)
		ts = append(ts, router.Target{
			Box: e.Name, Hash: e.hash, Busy: e.busySlots, Slots: e.Slots, TokensPerSecond: e.TokensPerSecond,
			Preference: s.document.Preference(workload, e.Box), PrefixCached: cachedOn[prefix] == e.Name,
		})
	}
	c := p.Pick(ts, router.Query{Prefix: prefix, PromptTokens: q.prompt, AnswerTokens: q.tokens, Urgent: q.kind.Urgent()})
	if c.Index < 0 {
		u.release()
		r.refused[q.kind]++
		return
	}
	e := es[c.Index]
	r.sent++
	r.firstTokenTimes = append(r.firstTokenTimes, r.simulateFirstToken(e, q, prefix))
	cachedOn[prefix] = e.Name
	e.busySlots++
	r.peakLoad = max(r.peakLoad, float64(e.busySlots)/float64(e.Slots))
	u.engine = e
	r.active = append(r.active, u)
}

// simulateFirstToken returns the time to the first token on an engine in its current state: the
// wait for a slot, the prefill unless the prefix is cached, and one token. It also counts the cache hit
// or the computed tokens, and adds the prefix to the cache.
func (r *routingResult) simulateFirstToken(e *engine, q request, prefix uint64) time.Duration {
	token := float64(time.Second) / e.TokensPerSecond
	var d float64
	if over := e.busySlots + 1 - e.Slots; over > 0 {
		d += token * float64(q.tokens) * float64(over) / float64(e.Slots)
	}
	if e.cache.Contains(prefix) {
		r.cacheHits++
	} else {
		r.computedTokens += q.prompt
		d += token * float64(q.prompt) / prefillFactor
	}
	e.cache.Add(prefix, true)
	return time.Duration(d + token)
}

// p95 returns the 95th percentile of the time to the first token, or 0 without requests.
func (r *routingResult) p95() time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	s := slices.Clone(r.firstTokenTimes)
	slices.Sort(s)
	return s[len(s)*95/100]
}

// shareWithin returns the share of requests whose time to the first token is within the target.
func (r *routingResult) shareWithin(target time.Duration) float64 {
	n := 0
	for _, d := range r.firstTokenTimes {
		if d <= target {
			n++
		}
	}
	return float64(n) / float64(max(len(r.firstTokenTimes), 1))
}

// reclaimResult sums up the reclaim of boxes. streams is the number of streams affected, followed by
// the number that finish, transfer and replay. loadAfter is the ratio of busy slots to slots after it.
type reclaimResult struct {
	streams, finished, transferred, replayed int
	recomputedTokens                         int
	loadAfter                                float64
}

// simulateReclaim removes the reclaimable boxes of a data centre and plans how their streams continue.
// Without transfers, every stream either finishes in time or is replayed.
func (s *state) simulateReclaim(dc string, notice time.Duration, rs []activeRequest, transfers bool, seed uint64) reclaimResult {
	removed := s.removeReclaimable(dc)
	l := reclaim.Limits{Notice: notice, Margin: notice / 4, BytesPerSecond: transferBytesPerSecond}
	if !transfers {
		l.BytesPerSecond = 1 // too slow for any transfer
	}
	d := rand.New(rand.NewPCG(seed, 9))
	var ss []reclaim.Stream
	for i, r := range rs {
		n := d.IntN(r.tokens + 1)
		if !slices.Contains(removed, r.engine) {
			continue
		}
		computed := r.prompt + n
		ss = append(ss, reclaim.Stream{
			ID: string(rune('a'+i%26)) + r.workload, Workload: r.workload, ComputedTokens: computed, RemainingTokens: r.tokens - n,
			TokensPerSecond: r.engine.TokensPerSecond, CacheBytes: int64(computed) * kvBytesPerToken,
		})
	}
	var ds []reclaim.Destination
	busy, slots := 0, 0
	for _, e := range s.engines {
		busy, slots = busy+e.busySlots, slots+e.Slots
		if free := e.Slots - e.busySlots; e.DataCentre == dc && free > 0 {
			ds = append(ds, reclaim.Destination{Box: e.Name, Workloads: e.Loaded, FreeSlots: free})
		}
	}
	w := reclaimResult{streams: len(ss)}
	for _, m := range reclaim.Plan(ss, ds, l) {
		switch m.Action {
		case reclaim.Finish:
			w.finished++
		case reclaim.Transfer:
			w.transferred++
		case reclaim.Replay:
			w.replayed++
			w.recomputedTokens += m.RecomputeTokens
		}
	}
	w.loadAfter = float64(busy+w.transferred+w.replayed) / float64(max(slots, 1))
	return w
}
