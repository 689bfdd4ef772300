package gossip

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
)

// What a relay tells its members is summed up for all that ask within sumAge for each of them,
// sumAgeMost at most: made anew for each, the work of a relay grew with the square of its
// members. With 16 members a sum is 16 ms old at most, of the 500 ms that pass between two
// tellings.
const (
	sumAge     = time.Millisecond
	sumAgeMost = 100 * time.Millisecond
)

// sums keeps the last sum. Its zero value is ready.
type sums struct {
	mu   sync.Mutex
	last *sum
}

// sum is all boxes together as a relay hears them at a moment. It is not changed once it is made.
type sum struct {
	at       time.Time
	all      Status            // without usage
	parts    map[string]Status // what its members told of it
	peers    Peers
	counts   map[string]int
	arbiters []quota.Arbiter
}

// total returns the sum that members are told now.
func (g *Gossip) total() *sum {
	g.sums.mu.Lock()
	defer g.sums.mu.Unlock()
	now := boottime.Now()
	g.mu.Lock()
	age := min(time.Duration(len(g.members))*sumAge, sumAgeMost)
	g.mu.Unlock()
	if l := g.sums.last; l != nil && now.Sub(l.at) < age {
		return l
	}
	s := &sum{
		at: now, all: empty(g.Box, g.DataCentre, g.Address), parts: map[string]Status{},
		peers: g.peers(), counts: g.counts(), arbiters: g.arbiters(),
	}
	self := g.self()
	s.all.add(self)
	s.all.Words = rollout.MergeProgress(nil, self.Words, 0)
	g.mu.Lock()
	for n, h := range g.members {
		if now.Sub(h.at) < lost {
			s.all.add(h.Status)
			s.all.addWords(h, now)
			s.parts[n] = h.Status
		}
	}
	for _, h := range g.others {
		if now.Sub(h.at) < lost {
			s.all.add(h.Status)
			s.all.addWords(h, now)
		}
	}
	g.mu.Unlock()
	s.all.Usage, s.all.Evidence = nil, nil
	g.sums.last = s
	return s
}

// answer enters what a relay tells a member of all boxes.
func (g *Gossip) answer(w *World, to Status) {
	t := g.total()
	w.Others = t.without(to)
	w.Peers, w.Counts, w.Arbiters = t.peers, t.counts, t.arbiters
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Works = g.members[to.Box].Works.Sum
}

// without returns the sum of all boxes but one, as that is told: load of the endpoints that it
// works with.
func (t *sum) without(member Status) Status {
	s := t.all
	p, counted := t.parts[member.Box]
	if counted {
		s.Boxes -= p.Boxes
	}
	s.Load = t.loads(p, member.Works)
	s.Failing = t.failing(p)
	s.Words = rollout.MergeProgress(nil, t.all.Words, boottime.Since(t.at))
	s.Demand = t.demand(p)
	if member.Speeds != nil {
		s.Speeds = t.speeds(p)
	}
	return s
}

func (t *sum) loads(without Status, works Works) map[string]balance.Load {
	out := map[string]balance.Load{}
	enter := func(id string, l balance.Load) {
		p := without.Load[id]
		if l.Running -= p.Running; l.Running > 0 {
			l.Tokens -= p.Tokens
			out[id] = l
		}
	}
	if works.Sum == 0 {
		for id, l := range t.all.Load {
			enter(id, l)
		}
		return out
	}
	for _, id := range works.IDs {
		enter(id, t.all.Load[id])
	}
	return out
}

func (t *sum) failing(without Status) map[string]balance.CallCounts {
	out := map[string]balance.CallCounts{}
	for id, c := range t.all.Failing {
		p := without.Failing[id]
		if c.Total -= p.Total; c.Total > 0 {
			out[id] = balance.CallCounts{Total: c.Total, Failed: max(c.Failed-p.Failed, 0)}
		}
	}
	return out
}

func (t *sum) demand(without Status) map[string]map[string]demand.Stats {
	out := make(map[string]map[string]demand.Stats, len(t.all.Demand))
	for n, by := range t.all.Demand {
		out[n] = make(map[string]demand.Stats, len(by))
		for dc, f := range by {
			p := without.Demand[n][dc]
			out[n][dc] = demand.Stats{Tokens: max(f.Tokens-p.Tokens, 0), Running: max(f.Running-p.Running, 0)}
		}
	}
	return out
}

func (t *sum) speeds(without Status) map[string]estimate.Stats {
	out := make(map[string]estimate.Stats, len(t.all.Speeds))
	for n, all := range t.all.Speeds {
		out[n] = all.Without(without.Speeds[n])
	}
	return out
}

// worksOf names endpoints with their sum, which is zero for none.
func worksOf(ids []string) Works {
	w := Works{IDs: ids}
	for _, id := range ids {
		w.Sum += xxhash.Sum64String(id)
	}
	return w
}
