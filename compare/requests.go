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

// The figures that the engines publish.
const (
	prefillFactor   = 40
	kvBytesPerToken = 100 << 10
	transferRate    = 1 << 30
)

// maxWorkloads is above the number of workloads of any data file.
const maxWorkloads = 1 << 16

// offer is a list of requests: so many, each under way while the next hold of
// them arrive, with prompts that share so many prefixes.
type offer struct {
	count, hold, prefixes, prompt, tokens, seed float64
}

// request is one request of an offer.
type request struct {
	kind   admission.Kind
	which  int
	dc     string
	prefix uint64
	prompt int
	tokens int
}

// running is a request that was given to an engine.
type running struct {
	request
	arrived  int
	engine   *engine
	workload string
	leave    func()
}

// routed is what routing an offer came to.
type routed struct {
	sent     int
	refused  map[admission.Kind]int
	hits     int
	computed int
	first    []time.Duration
	worst    float64
	running  []running
}

var offeredKinds = []admission.Kind{admission.Alert, admission.Lookup, admission.Chat, admission.Summary, admission.Draft}

// make draws the requests of an offer; the same seed draws the same.
func (o offer) make(dcs []string) []request {
	d := rand.New(rand.NewPCG(uint64(o.seed), 7))
	z := rand.NewZipf(d, 1.2, 4, uint64(max(o.prefixes-1, 1)))
	rs := make([]request, int(o.count))
	for i := range rs {
		k := offeredKinds[d.IntN(len(offeredKinds))]
		rs[i] = request{
			kind: k, which: d.IntN(maxWorkloads), dc: dcs[d.IntN(len(dcs))], prefix: z.Uint64(),
			prompt: int(o.prompt/2) + d.IntN(int(o.prompt)), tokens: int(o.tokens/2) + d.IntN(int(o.tokens)),
		}
	}
	return rs
}

// route gives each request to an engine by the policy; each ends when so many
// more have arrived as the offer holds.
func (s *state) route(o offer, p router.Policy, reserve float64) routed {
	r := routed{refused: map[admission.Kind]int{}}
	gates := map[string]*admission.Gate{}
	for _, dc := range s.dcs {
		gates[dc] = &admission.Gate{Reserve: reserve}
	}
	held := map[uint64]string{}
	now := time.Unix(0, 0)
	ws := s.document.Workloads()
	for i, q := range o.make(s.dcs) {
		now = now.Add(time.Millisecond)
		for len(r.running) > 0 && i-r.running[0].arrived >= int(o.hold) {
			r.running[0].engine.busy--
			r.running[0].leave()
			r.running = r.running[1:]
		}
		leave, err := gates[q.dc].Enter(admission.Request{Account: "a", Kind: q.kind, Weight: 1, Rate: 1e9}, s.room(q.dc), now)
		if err != nil {
			r.refused[q.kind]++
			continue
		}
		s.give(&r, running{request: q, arrived: i, workload: ws[q.which%len(ws)], leave: leave}, p, held)
	}
	return r
}

// room is what a data centre may have under way after the worst reclaim.
func (s *state) room(dc string) admission.Limits {
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

// give routes one request, and counts what it costs where it went.
func (s *state) give(r *routed, u running, p router.Policy, held map[uint64]string) {
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
			Box: e.Name, Hash: e.hash, Busy: e.busy, Slots: e.Slots, TokensPerSecond: e.TokensPerSecond,
			Preference: s.document.Preference(workload, e.Box), PrefixCached: held[prefix] == e.Name,
		})
	}
	c := p.Pick(ts, router.Query{Prefix: prefix, PromptTokens: q.prompt, AnswerTokens: q.tokens, Urgent: q.kind.Urgent()})
	if c.Index < 0 {
		u.leave()
		r.refused[q.kind]++
		return
	}
	e := es[c.Index]
	r.sent++
	r.first = append(r.first, r.cost(e, q, prefix))
	held[prefix] = e.Name
	e.busy++
	r.worst = max(r.worst, float64(e.busy)/float64(e.Slots))
	u.engine = e
	r.running = append(r.running, u)
}

// cost returns the time to the first token at an engine as it is: the wait for
// a slot, the prompt unless its prefix is in the cache, and one token.
func (r *routed) cost(e *engine, q request, prefix uint64) time.Duration {
	token := float64(time.Second) / e.TokensPerSecond
	var d float64
	if over := e.busy + 1 - e.Slots; over > 0 {
		d += token * float64(q.tokens) * float64(over) / float64(e.Slots)
	}
	if e.cache.Contains(prefix) {
		r.hits++
	} else {
		r.computed += q.prompt
		d += token * float64(q.prompt) / prefillFactor
	}
	e.cache.Add(prefix, true)
	return time.Duration(d + token)
}

// p95 is the time within which 95 in 100 had their first token.
func (r *routed) p95() time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	s := slices.Clone(r.first)
	slices.Sort(s)
	return s[len(s)*95/100]
}

// within is the share of requests whose first token came within the target.
func (r *routed) within(target time.Duration) float64 {
	n := 0
	for _, d := range r.first {
		if d <= target {
			n++
		}
	}
	return float64(n) / float64(max(len(r.first), 1))
}

// waved is what a wave came to.
type waved struct {
	streams, finish, transfer, replay int
	recompute                         int
	load                              float64
}

// wave takes a data centre's reclaimable boxes and plans for their streams.
func (s *state) wave(dc string, notice time.Duration, rs []running, transfers bool, seed uint64) waved {
	gone := s.takeAway(dc)
	l := reclaim.Limits{Notice: notice, Margin: notice / 4, BytesPerSecond: transferRate}
	if !transfers {
		l.BytesPerSecond = 1
	}
	d := rand.New(rand.NewPCG(seed, 9))
	var ss []reclaim.Stream
	for i, r := range rs {
		n := d.IntN(r.tokens + 1)
		if !slices.Contains(gone, r.engine) {
			continue
		}
		computed := r.prompt + n
		ss = append(ss, reclaim.Stream{
			ID: string(rune('a'+i%26)) + r.workload, Workload: r.workload, Computed: computed, Left: r.tokens - n,
			TokensPerSecond: r.engine.TokensPerSecond, Bytes: int64(computed) * kvBytesPerToken,
		})
	}
	var ds []reclaim.Destination
	busy, slots := 0, 0
	for _, e := range s.engines {
		busy, slots = busy+e.busy, slots+e.Slots
		if free := e.Slots - e.busy; e.DataCentre == dc && free > 0 {
			ds = append(ds, reclaim.Destination{Box: e.Name, Workload: e.Loaded, Free: free})
		}
	}
	w := waved{streams: len(ss)}
	for _, m := range reclaim.Plan(ss, ds, l) {
		switch m.Act {
		case reclaim.Finish:
			w.finish++
		case reclaim.Transfer:
			w.transfer++
		case reclaim.Replay:
			w.replay++
			w.recompute += m.Recompute
		}
	}
	w.load = float64(busy+w.transfer+w.replay) / float64(max(slots, 1))
	return w
}
