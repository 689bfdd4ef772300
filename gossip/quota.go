package gossip

import (
	"cmp"
	"slices"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/quota"
)

// updateQuota passes this box's view of the fleet to the quotas of the accounts.
func (g *Gossip) updateQuota() {
	if t := g.state.Table(); t != nil {
		g.updateQuotaOf(t.Document)
	}
}

// updateQuotaOf is updateQuota for the accounts of a configuration.
func (g *Gossip) updateQuotaOf(d *catalog.Document) {
	v := quota.View{Arbiters: g.arbiters(), Boxes: g.reachableBoxes()}
	isRelay := g.holdsSlot()
	g.mu.Lock()
	switch {
	case isRelay:
		v.Represented = g.countRepresented()
	case boottime.Since(g.repliedAt) >= arbiterTimeout || g.representsItself():
		v.Represented = 1
	}
	v.Division = g.reply.Division
	g.mu.Unlock()
	g.Quota.Update(v, d.Accounts, boottime.Now())
}

// representsItself reports whether this process has just started and no relay represents it yet.
// When all boxes start at once, relays need a second or two to receive their members' reports and to
// lease out their shares.
func (g *Gossip) representsItself() bool { return boottime.Since(g.startedAt) < selfRepresentedFor }

// countRepresented returns how many boxes of its data centre this relay represents, itself
// included. The lock must be held.
func (g *Gossip) countRepresented() int {
	n := 1
	for _, h := range g.members {
		if boottime.Since(h.receivedAt) < unreachableAfter && h.DataCentre == g.DataCentre && !h.ForItself {
			n++
		}
	}
	return n
}

// reachableBoxes returns the number of reachable boxes by data centre. A box that has just switched
// to another relay counts once.
func (g *Gossip) reachableBoxes() map[string]int {
	isRelay := g.holdsSlot()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isRelay:
		return g.countReachable()
	case boottime.Since(g.repliedAt) < unreachableAfter:
		return g.reply.Counts
	default:
		return map[string]int{g.DataCentre: 1}
	}
}

// countReachable counts the boxes that report to this relay or to another. The lock must be held.
func (g *Gossip) countReachable() map[string]int {
	reachable := map[string]map[string]bool{g.DataCentre: {g.Address: true}}
	add := func(dc, address string) {
		if reachable[dc] == nil {
			reachable[dc] = map[string]bool{}
		}
		reachable[dc][address] = true
	}
	for _, h := range g.members {
		if boottime.Since(h.receivedAt) < unreachableAfter {
			add(h.DataCentre, h.Address)
		}
	}
	for _, h := range g.otherRelays {
		if boottime.Since(h.receivedAt) >= unreachableAfter {
			continue
		}
		add(h.DataCentre, h.Address)
		for _, a := range h.Members {
			add(h.DataCentre, a)
		}
	}
	out := map[string]int{}
	for dc, boxes := range reachable {
		out[dc] = len(boxes)
	}
	return out
}

// arbiters returns the relays that can be asked to admit requests of accounts, sorted by box: on a
// relay the reachable ones, elsewhere those that this box's relay reported.
func (g *Gossip) arbiters() []quota.Arbiter {
	isRelay := g.holdsSlot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isRelay {
		if boottime.Since(g.repliedAt) < forgetAfter {
			return g.reply.Arbiters
		}
		return nil
	}
	out := []quota.Arbiter{{Box: g.Box, DataCentre: g.DataCentre, Address: g.Address, Leaving: g.isLeaving()}}
	for _, h := range g.otherRelays {
		if boottime.Since(h.receivedAt) < arbiterTimeout {
			out = append(out, quota.Arbiter{Box: h.Box, DataCentre: h.DataCentre, Address: h.Address, Leaving: h.Leaving})
		}
	}
	slices.SortFunc(out, func(a, b quota.Arbiter) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// isLeaving reports whether this box is stopping.
func (g *Gossip) isLeaving() bool { return g.Leaving != nil && g.Leaving() }
