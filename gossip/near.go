package gossip

import (
	"slices"
	"time"
)

// nearBoxes is up to how many boxes all tell each other at once what they send; in a
// larger fleet those of a data centre do, so that what a box hears does not grow with
// the fleet.
const nearBoxes = 12

// Near returns the addresses of the other boxes that are told at once what this one
// sends.
func (g *Gossip) Near() []string {
	near := slices.DeleteFunc(g.nearby(), func(a string) bool { return a == g.Address })
	slices.Sort(near) // a box that has just moved may be counted by two relays
	return slices.Compact(near)
}

// nearby returns the addresses of all boxes that tell each other, as a relay knows
// them or has told this box.
func (g *Gossip) nearby() []string {
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !relay {
		if time.Since(g.at) < forgotten {
			return slices.Clone(g.world.Near)
		}
		return nil
	}
	own := []string{g.Address}
	boxes := 1
	for _, m := range g.members {
		if time.Since(m.at) < lost {
			own = append(own, m.Address)
			boxes++
		}
	}
	all := slices.Clone(own)
	for _, o := range g.others {
		if time.Since(o.at) >= lost {
			continue
		}
		boxes += o.Boxes
		all = append(append(all, o.Address), o.Members...)
		if o.DataCentre == g.DataCentre {
			own = append(append(own, o.Address), o.Members...)
		}
	}
	if boxes <= nearBoxes {
		return all
	}
	return own
}
