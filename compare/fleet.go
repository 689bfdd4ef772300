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

// maxRounds bounds the plans until a placement is at rest.
const maxRounds = 60

// engine is one box of the fleet, with what it was given to do.
type engine struct {
	fleet.Endpoint
	hash  uint64
	busy  int
	cache *lru.Cache[uint64, bool]
}

// state is the fleet as the steps so far left it.
type state struct {
	document *config.Document
	classes  map[string]class
	prices   []cloud.Price
	demand   map[string]float64
	dcs      []string
	engines  []*engine
	started  int
}

// class is a kind of hardware: Cache counts the prefixes that its memory holds.
type class struct {
	placement.Class
	Cache int
}

// placed is what placing came to.
type placed struct {
	loads  int
	rounds int
	boxes  int
	spot   int
	cost   float64
	unmet  int
}

// place plans and carries out until nothing changes.
func (s *state) place(p placement.Planner) placed {
	var r placed
	for r.rounds < maxRounds {
		r.rounds++
		changed := false
		r.unmet = 0
		for _, dc := range s.dcs {
			n := p.Plan(s.input(dc))
			r.unmet += len(n.Unmet)
			loads, c := s.carryOut(n)
			r.loads += loads
			changed = changed || c
		}
		if !changed {
			break
		}
	}
	for _, e := range s.engines {
		r.boxes++
		r.cost += s.cost(e)
		if e.Reclaimable {
			r.spot++
		}
	}
	return r
}

func (s *state) input(dc string) placement.Input {
	in := placement.Input{DataCentre: dc, Document: s.document, Prices: s.prices, Demand: map[string]float64{}, MaxLoads: 4, Classes: map[string]placement.Class{}}
	for n, c := range s.classes {
		in.Classes[n] = c.Class
	}
	for w, d := range s.demand {
		in.Demand[w] = d / float64(len(s.dcs))
	}
	for _, e := range s.engines {
		in.Endpoints = append(in.Endpoints, e.Endpoint)
	}
	return in
}

// carryOut does what a plan says, and returns the loads and whether anything
// changed.
func (s *state) carryOut(p placement.Plan) (loads int, changed bool) {
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
		s.supply(s.engines[i], 1)
		s.engines = slices.Delete(s.engines, i, i+1)
		changed = true
	}
	return loads, changed
}

func (s *state) start(b cloud.Start) {
	s.started++
	c := s.classes[b.Class]
	n := fmt.Sprintf("%s-%s-%03d", b.DataCentre, b.Class, s.started)
	m, err := lru.New[uint64, bool](max(c.Cache, 1))
	if err != nil {
		panic(err) // the size is above zero
	}
	e := &engine{hash: rendezvous.Hash(n), cache: m, Endpoint: fleet.Endpoint{
		Box:  fleet.Box{Name: n, DataCentre: b.DataCentre, Role: fleet.EngineRole, Class: b.Class, Reclaimable: b.Reclaimable, State: fleet.Live},
		Load: fleet.Load{Incarnation: n, Slots: c.Slots, TokensPerSecond: c.TokensPerSecond},
	}}
	s.engines = append(s.engines, e)
	s.supply(e, -1)
}

// priceOf returns the price of an engine's kind, or nil.
func (s *state) priceOf(e *engine) *cloud.Price {
	i := slices.IndexFunc(s.prices, func(p cloud.Price) bool {
		return p.DataCentre == e.DataCentre && p.Class == e.Class && p.Reclaimable == e.Reclaimable
	})
	if i < 0 {
		return nil
	}
	return &s.prices[i]
}

func (s *state) supply(e *engine, n int) {
	if p := s.priceOf(e); p != nil {
		p.Supply += n
	}
}

func (s *state) cost(e *engine) float64 {
	if p := s.priceOf(e); p != nil {
		return p.PerHour
	}
	return 0
}

// setPrice takes a price, in place of an older one of the same kind.
func (s *state) setPrice(p cloud.Price) {
	for i, q := range s.prices {
		if q.DataCentre == p.DataCentre && q.Class == p.Class && q.Reclaimable == p.Reclaimable {
			s.prices[i] = p
			return
		}
	}
	s.prices = append(s.prices, p)
	if !slices.Contains(s.dcs, p.DataCentre) {
		s.dcs = append(s.dcs, p.DataCentre)
	}
}

// answersAnHour is how many answers of a length the fleet can carry at the
// target between tokens; boxes that are too slow for it count nothing.
func (s *state) answersAnHour(tokens float64) float64 {
	var v float64
	for _, e := range s.engines {
		if between := time.Duration(float64(time.Second) / e.TokensPerSecond); between <= s.document.Targets.BetweenTokens {
			v += float64(e.Slots) * e.TokensPerSecond
		}
	}
	return v * time.Hour.Seconds() / tokens
}

// takeAway removes the reclaimable boxes of a data centre and returns them.
func (s *state) takeAway(dc string) []*engine {
	var gone []*engine
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		if e.DataCentre != dc || !e.Reclaimable {
			return false
		}
		gone = append(gone, e)
		return true
	})
	for i := range s.prices {
		if s.prices[i].DataCentre == dc && s.prices[i].Reclaimable {
			s.prices[i].Supply = 0
		}
	}
	slices.SortFunc(gone, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	return gone
}
