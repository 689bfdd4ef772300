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

// Maximum age of the total from which a relay answers its members: totalAgePerMember for each of
// them, up to maxTotalAge. A total computed for each answer makes a relay's work grow with the square
// of its members. With 16 members a total is up to 16 ms old, while members report every 500 ms.
const (
	totalAgePerMember = time.Millisecond
	maxTotalAge       = 100 * time.Millisecond
)

// totalCache caches the last total. The zero value is ready to use.
type totalCache struct {
	mu   sync.Mutex
	last *fleetTotal
}

// fleetTotal is the sum over all boxes that a relay knows at one moment. It is immutable.
type fleetTotal struct {
	at       time.Time
	all      Status            // without Usage and Evidence
	byMember map[string]Status // the members' statuses included in all
	peers    Peers
	counts   map[string]int
	arbiters []quota.Arbiter
}

// currentTotal returns the total for answers to members, recomputed if it is too old.
func (g *Gossip) currentTotal() *fleetTotal {
	g.totals.mu.Lock()
	defer g.totals.mu.Unlock()
	now := boottime.Now()
	g.mu.Lock()
	age := min(time.Duration(len(g.members))*totalAgePerMember, maxTotalAge)
	g.mu.Unlock()
	if l := g.totals.last; l != nil && now.Sub(l.at) < age {
		return l
	}
	s := &fleetTotal{
		at: now, all: emptyStatus(g.Box, g.DataCentre, g.Address), byMember: map[string]Status{},
		peers: g.allPeers(), counts: g.reachableBoxes(), arbiters: g.arbiters(),
	}
	self := g.localStatus()
	s.all.add(self)
	s.all.Words = rollout.MergeProgress(nil, self.Words, 0)
	g.mu.Lock()
	for n, h := range g.members {
		if now.Sub(h.receivedAt) < unreachableAfter {
			s.all.add(h.Status)
			s.all.addProgress(h, now)
			s.byMember[n] = h.Status
		}
	}
	for _, h := range g.otherRelays {
		if now.Sub(h.receivedAt) < unreachableAfter {
			s.all.add(h.Status)
			s.all.addProgress(h, now)
		}
	}
	g.mu.Unlock()
	s.all.Usage, s.all.Evidence = nil, nil
	g.totals.last = s
	return s
}

// fillReply sets the fields of a relay's reply that describe all boxes.
func (g *Gossip) fillReply(w *MemberReply, to Status) {
	t := g.currentTotal()
	w.Others = t.excluding(to)
	w.Peers, w.Counts, w.Arbiters = t.peers, t.counts, t.arbiters
	w.SpeedSamples = g.samplesFor(to)
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Works = g.members[to.Box].Works.Sum
}

// excluding returns the sum of all boxes but one, with the load of only the endpoints that this
// box uses.
func (t *fleetTotal) excluding(member Status) Status {
	s := t.all
	p, counted := t.byMember[member.Box]
	if counted {
		s.Boxes -= p.Boxes
	}
	s.Load = t.loadsExcluding(p, member.Works)
	s.Failing = t.failingExcluding(p)
	s.Words = rollout.MergeProgress(nil, t.all.Words, boottime.Since(t.at))
	s.Demand = t.demandExcluding(p)
	if member.Speeds != nil {
		s.Speeds = t.statsExcluding(p)
	}
	return s
}

func (t *fleetTotal) loadsExcluding(member Status, endpoints EndpointSet) map[string]balance.Load {
	out := map[string]balance.Load{}
	add := func(id string, l balance.Load) {
		p := member.Load[id]
		if l.Running -= p.Running; l.Running > 0 {
			l.Tokens -= p.Tokens
			out[id] = l
		}
	}
	if endpoints.Sum == 0 {
		for id, l := range t.all.Load {
			add(id, l)
		}
		return out
	}
	for _, id := range endpoints.IDs {
		add(id, t.all.Load[id])
	}
	return out
}

func (t *fleetTotal) failingExcluding(member Status) map[string]balance.CallCounts {
	out := map[string]balance.CallCounts{}
	for id, c := range t.all.Failing {
		p := member.Failing[id]
		if c.Total -= p.Total; c.Total > 0 {
			out[id] = balance.CallCounts{Total: c.Total, Failed: max(c.Failed-p.Failed, 0)}
		}
	}
	return out
}

func (t *fleetTotal) demandExcluding(member Status) map[string]map[string]demand.Stats {
	out := make(map[string]map[string]demand.Stats, len(t.all.Demand))
	for n, by := range t.all.Demand {
		out[n] = make(map[string]demand.Stats, len(by))
		for dc, f := range by {
			p := member.Demand[n][dc]
			out[n][dc] = demand.Stats{Tokens: max(f.Tokens-p.Tokens, 0), Running: max(f.Running-p.Running, 0)}
		}
	}
	return out
}

func (t *fleetTotal) statsExcluding(member Status) map[string]estimate.Stats {
	out := make(map[string]estimate.Stats, len(t.all.Speeds))
	for n, all := range t.all.Speeds {
		out[n] = all.Without(member.Speeds[n])
	}
	return out
}

// newEndpointSet returns the set with its checksum, which is zero for no endpoints.
func newEndpointSet(ids []string) EndpointSet {
	w := EndpointSet{IDs: ids}
	for _, id := range ids {
		w.Sum += xxhash.Sum64String(id)
	}
	return w
}
