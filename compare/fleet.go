package compare

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/placement"
	"birchlink.dev/birchlink/rendezvous"
)

// maxRounds bounds the rounds of planning until a placement is stable.
const maxRounds = 60

// engine is one box of the fleet. busySlots counts the requests assigned to it, which may exceed its
// slots, and cache holds the prefixes that it has computed.
type engine struct {
	fleet.Endpoint
	hash      uint64
	busySlots int
	cache     *lru.Cache[uint64, bool]
}

// state is the state of the fleet after the steps so far. demand is the number of streams of each
// workload, and started the number of boxes started, which numbers their names.
type state struct {
	document    *config.Document
	classes     map[string]hardwareClass
	prices      []cloud.Price
	demand      map[string]float64
	dataCentres []string
	engines     []*engine
	started     int
}

// hardwareClass is a class of hardware. CacheSize is the number of prefixes that fit into its memory.
type hardwareClass struct {
	placement.Class
	CacheSize int
}

// placementResult sums up a placement. loads counts the workloads loaded, boxes the boxes in use,
// reclaimable those that may be reclaimed. cost is per hour.
type placementResult struct {
	loads          int
	rounds         int
	boxes          int
	reclaimable    int
	cost           float64
	unmetWorkloads int
}

// place plans and applies the plans of all data centres until nothing changes.
func (s *state) place(p placement.Planner) placementResult {
	var r placementResult
	for r.rounds < maxRounds {
		r.rounds++
		changed := false
		r.unmetWorkloads = 0
		for _, dc := range s.dataCentres {
			n := p.Plan(s.input(dc))
			r.unmetWorkloads += len(n.Unmet)
			loads, c := s.apply(n)
			r.loads += loads
			changed = changed || c
		}
		if !changed {
			break
		}
	}
	for _, e := range s.engines {
		r.boxes++
		r.cost += s.hourlyCost(e)
		if e.Reclaimable {
			r.reclaimable++
		}
	}
	return r
}

func (s *state) input(dc string) placement.Input {
	in := placement.Input{
		DataCentre: dc, Document: s.document, Prices: s.prices, Demand: map[string]float64{}, MaxLoads: 4,
		Classes: map[string]placement.Class{},
	}
	for n, c := range s.classes {
		in.Classes[n] = c.Class
	}
	for w, d := range s.demand {
		in.Demand[w] = d / float64(len(s.dataCentres))
	}
	for _, e := range s.engines {
		in.Endpoints = append(in.Endpoints, e.Endpoint)
	}
	return in
}

// apply applies a plan. It returns the number of workloads loaded and whether anything changed.
func (s *state) apply(p placement.Plan) (loads int, changed bool) {
	for _, a := range p.Assignments {
		i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.Name == a.Box })
		changed = changed || !slices.Equal(s.engines[i].Loaded, a.Workloads)
		s.engines[i].Loaded = a.Workloads
		loads += len(a.Load)
	}
	for _, b := range p.Start {
		s.start(b)
		changed = true
	}
	for _, n := range p.Stop {
		i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.Name == n })
		s.adjustSupply(s.engines[i], 1)
		s.engines = slices.Delete(s.engines, i, i+1)
		changed = true
	}
	return loads, changed
}

func (s *state) start(b cloud.Start) {
	s.started++
	c := s.classes[b.Class]
	n := fmt.Sprintf("%s-%s-%03d", b.DataCentre, b.Class, s.started)
	m, err := lru.New[uint64, bool](max(c.CacheSize, 1))
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	e := &engine{hash: rendezvous.Hash(n), cache: m, Endpoint: fleet.Endpoint{
		Box:  fleet.Box{Name: n, DataCentre: b.DataCentre, Role: fleet.EngineRole, Class: b.Class, Reclaimable: b.Reclaimable, State: fleet.Live},
		Load: fleet.Load{Incarnation: n, Slots: c.Slots, TokensPerSecond: c.TokensPerSecond},
	}}
	s.engines = append(s.engines, e)
	s.adjustSupply(e, -1)
}

// priceOf returns the price of the kind of box e, or nil if it has none.
func (s *state) priceOf(e *engine) *cloud.Price {
	i := slices.IndexFunc(s.prices, func(p cloud.Price) bool {
		return p.DataCentre == e.DataCentre && p.Class == e.Class && p.Reclaimable == e.Reclaimable
	})
	if i < 0 {
		return nil
	}
	return &s.prices[i]
}

// adjustSupply adds n to the supply of the kind of box e.
func (s *state) adjustSupply(e *engine, n int) {
	if p := s.priceOf(e); p != nil {
		p.Supply += n
	}
}

// hourlyCost returns the price of e per hour, or 0 if its kind has none.
func (s *state) hourlyCost(e *engine) float64 {
	if p := s.priceOf(e); p != nil {
		return p.PerHour
	}
	return 0
}

// setPrice adds a price, or replaces that of the same kind of box.
func (s *state) setPrice(p cloud.Price) {
	for i, q := range s.prices {
		if q.DataCentre == p.DataCentre && q.Class == p.Class && q.Reclaimable == p.Reclaimable {
			s.prices[i] = p
			return
		}
	}
	s.prices = append(s.prices, p)
	if !slices.Contains(s.dataCentres, p.DataCentre) {
		s.dataCentres = append(s.dataCentres, p.DataCentre)
	}
}

// answersPerHour returns the number of answers of a length in tokens that the fleet can compute per
// hour. Boxes too slow for the target time between tokens are not counted.
func (s *state) answersPerHour(tokens float64) float64 {
	var tokensPerSecond float64
	for _, e := range s.engines {
		if between := time.Duration(float64(time.Second) / e.TokensPerSecond); between <= s.document.Targets.BetweenTokens {
			tokensPerSecond += float64(e.Slots) * e.TokensPerSecond
		}
	}
	return tokensPerSecond * time.Hour.Seconds() / tokens
}

// removeReclaimable removes the reclaimable boxes of a data centre and sets their supply to 0. It
// returns them sorted by name.
func (s *state) removeReclaimable(dc string) []*engine {
	var removed []*engine
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		if e.DataCentre != dc || !e.Reclaimable {
			return false
		}
		removed = append(removed, e)
		return true
	})
	for i := range s.prices {
		if s.prices[i].DataCentre == dc && s.prices[i].Reclaimable {
			s.prices[i].Supply = 0
		}
	}
	slices.SortFunc(removed, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	return removed
}
