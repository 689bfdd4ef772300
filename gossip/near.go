package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/boottime"
)

// nearBoxes is up to how many boxes all tell each other at once of every long prompt; in
// a larger fleet those of a data centre do. farBoxes is up to how many all tell each other
// of very long prompts: where those are one in nine of 420 requests a second, each box is
// sent 45 datagrams a second, 2.6 KB/s. What a box hears does not grow with the fleet beyond
// that.
const (
	nearBoxes = 12
	farBoxes  = 100
)

// Peers are the addresses of the boxes that tell each other at once what they send: Near
// of long prompts, Far of very long ones too. Sum tells one list from another.
type Peers struct {
	Sum  uint64
	Near []string
	Far  []string
}

// Peers returns the other boxes that are told at once what this one sends.
func (g *Gossip) Peers() Peers {
	p := g.peers()
	own := func(a string) bool { return a == g.Address }
	p.Near = slices.DeleteFunc(slices.Clone(p.Near), own)
	p.Far = slices.DeleteFunc(slices.Clone(p.Far), own)
	return p
}

// peers returns all boxes that tell each other, this one included, as a relay hears them
// or has told this box.
func (g *Gossip) peers() Peers {
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	if relay {
		return g.peersHeard()
	}
	if boottime.Since(g.at) < forgotten {
		return g.world.Peers
	}
	return Peers{}
}

// peersHeard returns the boxes that this relay hears, and those that other relays hear.
// The lock must be held.
func (g *Gossip) peersHeard() Peers {
	own, far := []string{g.Address}, []string{}
	for _, m := range g.members {
		if boottime.Since(m.at) < lost {
			own = append(own, m.Address)
		}
	}
	for _, o := range g.others {
		switch {
		case boottime.Since(o.at) >= lost:
		case o.DataCentre == g.DataCentre:
			own = append(append(own, o.Address), o.Members...)
		default:
			far = append(append(far, o.Address), o.Members...)
		}
	}
	own, far = distinct(own), distinct(far)
	p := Peers{Near: own, Far: far}
	switch n := len(own) + len(far); {
	case n <= nearBoxes:
		p = Peers{Near: distinct(append(own, far...))}
	case n > farBoxes:
		p = Peers{Near: own}
	}
	p.Sum = p.sum()
	return p
}

// distinct sorts addresses and drops the second of two: a box that has just moved may be
// counted by two relays.
func distinct(as []string) []string {
	slices.Sort(as)
	return slices.Compact(as)
}

// sum is a hash of both lists.
func (p Peers) sum() uint64 {
	var d xxhash.Digest
	for _, list := range [][]string{p.Near, p.Far} {
		for _, a := range list {
			_, _ = d.WriteString(a + " ") // a hash takes whatever it is given
		}
		_, _ = d.WriteString("/")
	}
	return d.Sum64()
}
