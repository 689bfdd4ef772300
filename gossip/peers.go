package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/boottime"
)

// Limits on which boxes exchange hints. In a fleet of up to maxBoxesAllNear boxes, each box sends
// hints of long prompts to all others; in a larger one, only to those of its data centre. Up to
// maxBoxesWithFar boxes, all exchange hints of very long prompts too: if these are one in nine of 420
// requests per second, each box receives 45 datagrams or 2.6 KB per second. In larger fleets a box
// receives no more than this.
const (
	maxBoxesAllNear = 12
	maxBoxesWithFar = 100
)

// Peers holds the addresses of boxes that exchange hints: Near those for all long prompts, Far
// those for very long ones only. Sum is a checksum of both lists.
type Peers struct {
	Sum  uint64
	Near []string
	Far  []string
}

// Peers returns the other boxes to which this box sends hints.
func (g *Gossip) Peers() Peers {
	p := g.allPeers()
	isOwn := func(a string) bool { return a == g.Address }
	p.Near = slices.DeleteFunc(slices.Clone(p.Near), isOwn)
	p.Far = slices.DeleteFunc(slices.Clone(p.Far), isOwn)
	return p
}

// PeersOrSeeds returns the other boxes as Peers does or, if this box knows none, the seeds as nearby ones.
func (g *Gossip) PeersOrSeeds() Peers {
	p := g.Peers()
	if len(p.Near)+len(p.Far) == 0 {
		p.Near = slices.DeleteFunc(slices.Clone(g.Seeds), func(a string) bool { return a == g.Address })
	}
	return p
}

// OtherBoxes returns the addresses of other boxes that this box may call: those with which it exchanges
// all hints, and others, which in a large fleet are the relays. A box that knows none yet gets the
// seeds.
func (g *Gossip) OtherBoxes() (near, far []string) {
	p := g.Peers()
	far = p.Far
	for _, a := range g.arbiters() {
		far = append(far, a.Address)
	}
	if len(p.Near)+len(far) == 0 {
		far = append(far, g.Seeds...)
	}
	isKnown := func(a string) bool { return a == g.Address || slices.Contains(p.Near, a) }
	return p.Near, slices.DeleteFunc(distinct(far), isKnown)
}

// RemoteRelays returns the addresses of the relays of other data centres.
func (g *Gossip) RemoteRelays() []string {
	var out []string
	for _, a := range g.arbiters() {
		if a.DataCentre != g.DataCentre {
			out = append(out, a.Address)
		}
	}
	return out
}

// RelayAddress returns the address of the relay that represents this box; empty if none does.
func (g *Gossip) RelayAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.relayAddress
}

// allPeers returns the boxes that exchange hints, this one included, as a relay sees them or as its
// relay has reported them.
func (g *Gossip) allPeers() Peers {
	isRelay := g.holdsSlot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if isRelay {
		return g.reachablePeers()
	}
	if boottime.Since(g.repliedAt) < forgetAfter {
		return g.reply.Peers
	}
	return Peers{}
}

// reachablePeers returns the peers among the boxes that report to this relay or to another. The
// lock must be held.
func (g *Gossip) reachablePeers() Peers {
	local, remote := []string{g.Address}, []string{}
	for _, m := range g.members {
		if boottime.Since(m.receivedAt) < unreachableAfter {
			local = append(local, m.Address)
		}
	}
	for _, o := range g.otherRelays {
		switch {
		case boottime.Since(o.receivedAt) >= unreachableAfter:
		case o.DataCentre == g.DataCentre:
			local = append(append(local, o.Address), o.Members...)
		default:
			remote = append(append(remote, o.Address), o.Members...)
		}
	}
	local, remote = distinct(local), distinct(remote)
	p := Peers{Near: local, Far: remote}
	switch n := len(local) + len(remote); {
	case n <= maxBoxesAllNear:
		p = Peers{Near: distinct(append(local, remote...))}
	case n > maxBoxesWithFar:
		p = Peers{Near: local}
	}
	p.Sum = p.checksum()
	return p
}

// distinct sorts addresses and removes duplicates: two relays may represent a box that has just
// switched.
func distinct(as []string) []string {
	slices.Sort(as)
	return slices.Compact(as)
}

// checksum returns a hash of both lists.
func (p Peers) checksum() uint64 {
	var d xxhash.Digest
	for _, list := range [][]string{p.Near, p.Far} {
		for _, a := range list {
			_, _ = d.WriteString(a + " ") // never fails
		}
		_, _ = d.WriteString("/")
	}
	return d.Sum64()
}
