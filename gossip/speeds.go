package gossip

import (
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/speed"
)

// ownRelay stands for the relay of this box, whichever it is, as the receiver of samples.
const ownRelay = ""

// setSampleReceivers sets the boxes to which this box sends samples of endpoints' speeds: its relay,
// or as a relay the other relays.
func (g *Gossip) setSampleReceivers() {
	if g.EndpointSpeeds == nil {
		return
	}
	if !g.holdsSlot() {
		g.EndpointSpeeds.SetReceivers(ownRelay)
		g.EndpointSpeeds.ForgetMembers(func(string) bool { return false })
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	relays := make([]string, 0, len(g.otherRelays))
	for n := range g.otherRelays {
		relays = append(relays, n)
	}
	g.EndpointSpeeds.SetReceivers(relays...)
	g.EndpointSpeeds.ForgetMembers(func(name string) bool { _, ok := g.members[name]; return ok })
}

// takeSamples removes and returns new samples for a receiver.
func (g *Gossip) takeSamples(receiver string) []speed.Entry {
	if g.EndpointSpeeds == nil {
		return nil
	}
	return g.EndpointSpeeds.Take(receiver)
}

// returnSamples takes back samples that a receiver didn't get.
func (g *Gossip) returnSamples(receiver string, entries []speed.Entry) {
	if g.EndpointSpeeds != nil {
		g.EndpointSpeeds.Return(receiver, entries)
	}
}

// addMemberSamples adds the new samples of a member.
func (g *Gossip) addMemberSamples(entries []speed.Entry) {
	if g.EndpointSpeeds != nil {
		g.EndpointSpeeds.AddMember(entries, boottime.Now())
	}
}

// addRelaySamples adds the new samples of another relay and its members.
func (g *Gossip) addRelaySamples(entries []speed.Entry) {
	if g.EndpointSpeeds != nil {
		g.EndpointSpeeds.AddRelay(entries, boottime.Now())
	}
}

// acceptSamples takes what the relay of this box knows.
func (g *Gossip) acceptSamples(r *speed.Reply) {
	if g.EndpointSpeeds != nil && r != nil {
		g.EndpointSpeeds.Accept(*r, ownRelay, boottime.Now())
	}
}

// samplesFor returns what a box is to be told about the speeds of endpoints: nothing unless this relay
// represents it.
func (g *Gossip) samplesFor(member Status) *speed.Reply {
	if g.EndpointSpeeds == nil || member.Relay != g.Box {
		return nil
	}
	used := make([]speed.Key, 0, len(member.Works.IDs))
	for _, id := range member.Works.IDs {
		if e, ok := g.state.Roster.Get(id); ok {
			used = append(used, speed.KeyOf(&e))
		}
	}
	r := g.EndpointSpeeds.ReplyTo(member.Box, member.SpeedsSeen, used, boottime.Now())
	return &r
}
