package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"birchlink.dev/birchlink/boottime"
)

// maxAskedBoxes is the number of boxes that a member asks per round while it gets no answer from the
// store or from a relay of its data centre.
const maxAskedBoxes = 2

// runMemberRound reports to the relay that represents this box. If the relay doesn't answer, is no
// longer a relay, gets no answer from the store or has an old view of it, the box switches to another relay that does. If
// there is none and the store answers this box, the box watches the store itself and tries to claim a
// slot. It also watches the store while others don't send what they have. While the store answers no box, a box stays with its relay.
func (g *Gossip) runMemberRound(c context.Context) {
	g.setSlotWatch(c, false)
	local, remote := g.relayTargets()
	answered, fresh := g.reportToRelay(c)
	g.slotVacant = g.slotVacant || !answered || len(local) < relaysPerDataCentre
	if !fresh || g.relay.dataCentre != g.DataCentre {
		fresh = g.switchRelay(c, local) || fresh
	}
	switch {
	case fresh:
		g.state.SetWatching(g.readsItself())
		if g.slotVacant {
			g.claimSlot(c)
		}
		return
	case g.inStartupGrace() && !g.session.StoreUnreachable():
		g.claimSlot(c)
	case g.storeAnswers(c):
		g.state.SetWatching(true)
		g.claimSlot(c)
	}
	if !answered && g.session.StoreUnresponsiveFor() > askAnyAfter {
		g.askOtherBoxes(c, remote)
	}
}

// storeAnswers reports whether the store answers this box now, regardless of the relays. In an outage
// of the store, all boxes find no usable relay at the same time. Without this check, each of them
// would request everything from the store until its own next lease renewal, seconds later.
func (g *Gossip) storeAnswers(c context.Context) bool {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return g.session.PingStore(x)
}

// reportToRelay sends this box's status to its relay. It returns whether the box there answers as a
// relay, and whether that relay can keep this box up to date.
func (g *Gossip) reportToRelay(c context.Context) (answered, fresh bool) {
	if g.relay.address == "" || g.relay.box == g.Box {
		return false, false
	}
	var w MemberReply
	status := g.memberStatus()
	status.SpeedSamples = g.takeSamples(ownRelay)
	asked := boottime.Now()
	if err := g.call(c, g.relay.address, "gossip.member", status, &w); err != nil || !w.Relay {
		g.returnSamples(ownRelay, status.SpeedSamples)
		g.log.Debug().Str("event", "relay").Str("other", g.relay.box).Bool("relay", w.Relay).Err(err).Msg("relay not usable")
		return false, false
	}
	if w.SpeedSamples == nil { // it doesn't represent this box or has no exchange of samples
		g.returnSamples(ownRelay, status.SpeedSamples)
	}
	g.mergeMissing(w.Records)
	w.Records = nil
	g.applyReply(w)
	took := boottime.Since(asked)
	g.session.MergeReport(w.Silent + took)
	g.state.ConfirmView(w.Others.Version, w.Revision, w.ViewAge+took)
	g.slotVacant = g.slotVacant || w.Vacant && g.relay.dataCentre == g.DataCentre
	g.catchUp(g.relay.address, w.Others.Version, w.Revision)
	return true, w.isFresh()
}

// isFresh reports whether the relay that answered can keep a member up to date: the store answers it, and its view of the store
// is not old.
func (w *MemberReply) isFresh() bool {
	return w.Silent <= maxStoreSilence && w.ViewLag <= maxRelayViewLag
}

// switchRelay looks for another relay that gets answers from the store, and lets it represent this
// box from the next round on.
func (g *Gossip) switchRelay(c context.Context, candidates []relaySlot) bool {
	for _, s := range candidates {
		if s.box == g.relay.box && s.address == g.relay.address {
			continue
		}
		var w MemberReply
		if err := g.call(c, s.address, "gossip.member", g.memberStatus(), &w); err != nil || !w.Relay || !w.isFresh() {
			continue
		}
		g.joinRelay(s, w)
		g.mergeMissing(w.Records)
		g.catchUp(s.address, w.Others.Version, w.Revision)
		return true
	}
	return false
}

func (g *Gossip) joinRelay(s relaySlot, w MemberReply) {
	g.log.Info().Str("event", "relay").Str("other", s.box).Str("before", g.relay.box).Dur("silent", w.Silent).Msg("tells this box from now on")
	g.setRelay(s)
}

// askOtherBoxes catches up from random boxes while neither the store nor a relay of this data centre
// answers. A relay among them or among those that they name represents this box from then on, one of this data centre if there is any.
func (g *Gossip) askOtherBoxes(c context.Context, candidates []relaySlot) {
	for _, a := range g.Seeds {
		candidates = append(candidates, relaySlot{address: a})
	}
	candidates = slices.DeleteFunc(candidates, func(s relaySlot) bool { return s.address == g.Address })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var relays []relaySlot
	for _, s := range candidates[:min(len(candidates), maxAskedBoxes)] {
		w, named := g.askOtherBox(c, s)
		relays = append(relays, named...)
		if w.Relay && s.box != "" {
			relays = append(relays, s)
		}
		i := slices.IndexFunc(named, func(r relaySlot) bool { return r.address == s.address })
		if w.Relay && i >= 0 && named[i].dataCentre == g.DataCentre {
			g.joinRelay(named[i], w)
			return
		}
	}
	isRemote := func(s relaySlot) int {
		if s.dataCentre == g.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(relays, func(a, b relaySlot) int { return cmp.Compare(isRemote(a), isRemote(b)) })
	for _, s := range relays[:min(len(relays), maxAskedBoxes)] {
		if w, _ := g.askOtherBox(c, s); w.Relay {
			g.joinRelay(s, w)
			return
		}
	}
}

// askOtherBox catches up from a box. It returns the box's reply, and the relays that the reply names, which may be the box itself.
func (g *Gossip) askOtherBox(c context.Context, s relaySlot) (w MemberReply, relays []relaySlot) {
	if err := g.call(c, s.address, "gossip.member", g.memberStatus(), &w); err != nil {
		return MemberReply{}, nil
	}
	g.mergeMissing(w.Records)
	g.catchUp(s.address, w.Others.Version, w.Revision)
	for _, a := range w.Arbiters {
		if a.Address != g.Address {
			relays = append(relays, relaySlot{box: a.Box, dataCentre: a.DataCentre, address: a.Address})
		}
	}
	return w, relays
}

// memberStatus returns what this box reports to its relay.
func (g *Gossip) memberStatus() Status {
	s := g.localStatus()
	if !g.includesStats() {
		s.Speeds = nil
	}
	s.Relay, s.Revision = g.relay.box, g.state.Revision()
	// One round longer than representsItself, so that this box isn't counted twice.
	s.ForItself = boottime.Since(g.startedAt) < selfRepresentedFor+startupRoundPeriod
	s.Divided = g.Quota.Division().Version
	s.Suspects = g.Quarantine.Local(boottime.Now())
	s.Works = newEndpointSet(g.UsedEndpoints())
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Knows, s.Judged = g.reply.Peers.Sum, g.reply.Judged
	if r := g.reply.SpeedSamples; r != nil {
		s.SpeedsSeen = r.Sequence
	}
	s.Leavers = g.state.Roster.DrainingSet(g.reply.Leavers.Sum)
	s.Rates = g.Rates.Report(g.reply.Rates.Sum, boottime.Now())
	s.Numbering = g.Numbering.Report(g.reply.Numbering.Sum)
	if s.Works.Sum == g.reply.Works {
		s.Works.IDs = nil
	}
	return s
}
