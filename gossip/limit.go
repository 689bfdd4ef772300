package gossip

import (
	"cmp"
	"slices"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/quota"
)

// limit tells the accounts' limits what this box knows of the fleet.
func (g *Gossip) limit() {
	t := g.known.Table()
	if t == nil {
		return
	}
	v := quota.View{Arbiters: g.arbiters(), Boxes: g.counts()}
	relay := g.holds()
	g.mu.Lock()
	switch {
	case relay:
		v.Represented = g.counted()
	case boottime.Since(g.at) >= recent || g.forItself():
		v.Represented = 1
	}
	v.Division = g.world.Division
	g.mu.Unlock()
	g.Quota.Update(v, t.Document.Accounts, boottime.Now())
}

// forItself reports whether this process has just started, and speaks for itself alone:
// when all boxes start at once, relays need a second or two to have heard their members
// and to lease what they have.
func (g *Gossip) forItself() bool { return boottime.Since(g.began) < selfFor }

// counted returns for how many boxes of its data centre this relay speaks. The lock
// must be held.
func (g *Gossip) counted() int {
	n := 1
	for _, h := range g.members {
		if boottime.Since(h.at) < lost && h.DataCentre == g.DataCentre && !h.ForItself {
			n++
		}
	}
	return n
}

// counts returns how many boxes of each data centre are heard. One that has just moved
// to another relay is counted once.
func (g *Gossip) counts() map[string]int {
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case relay:
		return g.countAll()
	case boottime.Since(g.at) < lost:
		return g.world.Counts
	default:
		return map[string]int{g.DataCentre: 1}
	}
}

// countAll counts the boxes that this relay and the others hear. The lock must be held.
func (g *Gossip) countAll() map[string]int {
	heard := map[string]map[string]bool{g.DataCentre: {g.Address: true}}
	enter := func(dc, address string) {
		if heard[dc] == nil {
			heard[dc] = map[string]bool{}
		}
		heard[dc][address] = true
	}
	for _, h := range g.members {
		if boottime.Since(h.at) < lost {
			enter(h.DataCentre, h.Address)
		}
	}
	for _, h := range g.others {
		if boottime.Since(h.at) >= lost {
			continue
		}
		enter(h.DataCentre, h.Address)
		for _, a := range h.Members {
			enter(h.DataCentre, a)
		}
	}
	out := map[string]int{}
	for dc, boxes := range heard {
		out[dc] = len(boxes)
	}
	return out
}

// arbiters returns the relays that may be asked for accounts: those that this one
// hears, or those that the relay of this box named, in the order of their names.
func (g *Gossip) arbiters() []quota.Arbiter {
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !relay {
		if boottime.Since(g.at) < forgotten {
			return g.world.Arbiters
		}
		return nil
	}
	out := []quota.Arbiter{{Box: g.Box, DataCentre: g.DataCentre, Address: g.Address, Leaving: g.leaves()}}
	for _, h := range g.others {
		if boottime.Since(h.at) < recent {
			out = append(out, quota.Arbiter{Box: h.Box, DataCentre: h.DataCentre, Address: h.Address, Leaving: h.Leaving})
		}
	}
	slices.SortFunc(out, func(a, b quota.Arbiter) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// leaves reports whether this box stops.
func (g *Gossip) leaves() bool { return g.Leaving != nil && g.Leaving() }
