package gossip

import (
	"context"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/rollout"
)

// localStatus returns the report of this box alone.
func (g *Gossip) localStatus() Status {
	s := g.LocalStatus()
	s.Boxes = 1
	return s
}

// includesStats reports whether the statuses of this round carry endpoint statistics.
func (g *Gossip) includesStats() bool { return g.rounds.Load()%statsRounds == 0 }

// relayStatus returns the report of this relay for itself and its members.
func (g *Gossip) relayStatus() Status {
	s := emptyStatus(g.Box, g.DataCentre, g.Address)
	self := g.localStatus()
	s.add(self)
	s.Words = rollout.MergeProgress(nil, self.Words, 0)
	s.Leaving = g.isLeaving()
	s.Resting = g.isResting()
	s.Watching, s.AnswersView, s.ViewAge = g.state.IsWatching(), true, g.state.ReportedAge() // before the revision, which may be newer
	s.Revision, s.Silent = g.state.Revision(), g.session.StoreUnresponsiveFor()
	s.Suspects = g.relaySuspects(boottime.Now()) // before the lock is taken, as the quarantine calls sendsTrials
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.members {
		if boottime.Since(h.receivedAt) < unreachableAfter {
			s.add(h.Status)
			s.addProgress(h, boottime.Now())
			s.Members = append(s.Members, h.Address)
		}
	}
	if !g.includesStats() {
		s.Speeds = nil
	}
	s.Orders = g.Rollouts.Orders()
	return s
}

// othersTotal returns the sum of the reports of all other boxes.
func (g *Gossip) othersTotal() Status {
	s := emptyStatus(g.Box, g.DataCentre, g.Address)
	isRelay := g.holdsSlot()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if !isRelay {
		if now.Sub(g.repliedAt) < forgetAfter {
			return g.reply.Others
		}
		return s
	}
	for _, h := range g.members {
		if now.Sub(h.receivedAt) < unreachableAfter {
			s.add(h.Status)
		}
	}
	for _, h := range g.otherRelays {
		if now.Sub(h.receivedAt) < unreachableAfter {
			s.add(h.Status)
		}
	}
	return s
}

// handleMember answers a box of this data centre, or one that has lost its relays. This relay
// represents the box only if the box has chosen it; a box that is looking for another relay still
// counts at its old one.
func (g *Gossip) handleMember(_ context.Context, in Status) (MemberReply, error) {
	now := boottime.Now()
	g.Quarantine.Merge(in.Suspects, now)
	g.mergeReports(&in.Leavers, &in.Rates, &in.Numbering)
	g.Rollouts.MergeReports(in.Words, now)
	in.Suspects = nil
	isRelay := g.holdsSlot()
	represented := isRelay && in.Relay == g.Box
	hasStats := in.Speeds != nil
	g.mu.Lock()
	old, known := g.members[in.Box]
	in.keepEndpointSet(old.Status)
	if represented {
		g.addMemberSamples(in.SpeedSamples)
		in.SpeedSamples = nil
		in.keepStats(old.Status)
		g.members[in.Box] = receivedStatus{Status: in, receivedAt: now}
	}
	g.lastContact = now
	g.mu.Unlock()
	g.catchUp(in.Address, in.Version, in.Revision) // a member that this relay can't keep up to date reads the store itself
	if represented && !known {
		g.log.Info().Str("event", "member").Str("other", in.Box).Uint64("version", in.Version).Msg("member joined")
	}
	w := MemberReply{
		Relay: isRelay, Vacant: isRelay && g.countLocalRelays() < relaysPerDataCentre,
		ViewAge: g.state.ReportedAge(), ViewLag: g.ViewLag(), Revision: g.state.Revision(), Silent: g.session.StoreUnresponsiveFor(), Now: g.Clock.Now(),
		Records: g.missingRecords(in.Revision),
	}
	if isRelay {
		g.fillReply(&w, in)
	} else {
		w.Others, w.Peers, w.Arbiters, w.Counts = g.othersTotal(), g.allPeers(), g.arbiters(), g.reachableBoxes()
	}
	if w.Peers.Sum == in.Knows {
		w.Peers.Near, w.Peers.Far = nil, nil
	}
	if d := g.Quota.Division(); d.Version > in.Divided {
		w.Division = d
	}
	verdicts := g.Quarantine.Verdicts(now)
	if w.Judged = quarantine.Sum(verdicts); w.Judged != in.Judged {
		w.Verdicts = verdicts
	}
	w.Leavers = g.state.Roster.DrainingSet(in.Leavers.Sum)
	w.Rates = g.Rates.Report(in.Rates.Sum, now)
	w.Numbering = g.Numbering.Report(in.Numbering.Sum)
	w.Orders = g.Rollouts.Orders()
	w.Others.Version, _ = g.state.RawConfig()
	w.Others.Usage = nil
	if !hasStats {
		w.Others.Speeds = nil
	}
	return w, nil
}

// handleRelay merges the status of another relay, and answers with this relay's.
func (g *Gossip) handleRelay(_ context.Context, in Status) (Status, error) {
	g.mergeRelayStatus(in)
	s := g.relayStatus()
	s.Limits, s.Now = g.Quota.IssueLease(in.Box, boottime.Now()), g.Clock.Now()
	s.Leavers = g.state.Roster.DrainingSet(in.Leavers.Sum)
	s.Rates = g.Rates.Report(in.Rates.Sum, boottime.Now())
	s.Numbering = g.Numbering.Report(in.Numbering.Sum)
	s.SpeedSamples = g.takeSamples(in.Box)
	s.Records = g.missingRecords(in.Revision)
	return s, nil
}

func (g *Gossip) mergeRelayStatus(in Status) {
	now := boottime.Now()
	g.Quota.AcceptLease(in.Limits, now)
	g.Quarantine.Merge(in.Suspects, now)
	g.mergeReports(&in.Leavers, &in.Rates, &in.Numbering)
	g.mergeRollouts(in.Orders, in.Words)
	g.addRelaySamples(in.SpeedSamples)
	g.mergeMissing(in.Records)
	in.Records = nil
	g.state.Announce(in.Version, in.Revision)
	if in.Watching && !in.AnswersView { // a box of earlier software, which can't be asked
		g.state.ConfirmView(in.Version, in.Revision, in.ViewAge)
	}
	in.SpeedSamples = nil
	in.Suspects = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	in.keepStats(g.otherRelays[in.Box].Status)
	g.otherRelays[in.Box] = receivedStatus{in, now, in.Now.Sub(g.Clock.Now())}
	g.lastContact = now
}

// handleUpdate applies the records that a relay sends, and starts to fetch what it announces.
func (g *Gossip) handleUpdate(_ context.Context, in update) (bool, error) {
	if in.Records != nil {
		g.state.Merge(*in.Records)
	}
	g.catchUp(in.Address, in.Version, in.Revision)
	return true, nil
}

// exchangeWithRelays calls the relays whose box names sort after this one's, so that each pair
// exchanges statuses once per round, and catches up with newer data. The others that watch the store
// are asked for their views: how old these were is known of what was asked for only.
func (g *Gossip) exchangeWithRelays(c context.Context) {
	status := g.relayStatus()
	local, remote := g.relayTargets()
	var w sync.WaitGroup
	for _, s := range append(local, remote...) {
		if s.box < g.Box {
			if g.lastRelayStatus(s.box).Watching {
				w.Go(func() { g.askForView(c, s.address) })
			}
			continue
		}
		w.Go(func() {
			var in Status
			out := status
			out.Limits, out.Now = g.Quota.IssueLease(s.box, boottime.Now()), g.Clock.Now()
			last := g.lastRelayStatus(s.box)
			out.Leavers = g.state.Roster.DrainingSet(last.Leavers.Sum)
			out.Rates = g.Rates.Report(last.Rates.Sum, boottime.Now())
			out.Numbering = g.Numbering.Report(last.Numbering.Sum)
			out.SpeedSamples = g.takeSamples(s.box)
			asked := boottime.Now()
			if err := g.call(c, s.address, "gossip.relay", out, &in); err != nil {
				g.returnSamples(s.box, out.SpeedSamples)
				return
			}
			took := boottime.Since(asked)
			g.mergeRelayStatus(in)
			g.confirmView(viewReport{in.Watching, in.Version, in.Revision, in.ViewAge}, took)
		})
	}
	w.Wait()
	g.catchUpFromRelays()
	g.forgetUnreachable()
}

// lastRelayStatus returns the latest status of another relay.
func (g *Gossip) lastRelayStatus(box string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.otherRelays[box].Status
}

// forgetUnreachable drops boxes that have been unreachable for forgetAfter.
func (g *Gossip) forgetUnreachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	cutoff := boottime.Now().Add(-forgetAfter)
	for n, h := range g.members {
		if h.receivedAt.Before(cutoff) {
			delete(g.members, n)
		}
	}
	for n, h := range g.otherRelays {
		if h.receivedAt.Before(cutoff) {
			delete(g.otherRelays, n)
			g.Quota.Forget(n)
		}
	}
}

// pushUpdate sends an update immediately to the members and, if this relay watches the store, to the
// other relays. A box to which maxUpdatesInFlight are under way is left out.
func (g *Gossip) pushUpdate(c context.Context, u update) {
	if !g.holdsSlot() {
		return
	}
	to := g.reachableMembers()
	if g.state.IsWatching() {
		to = append(to, g.reachableRelays()...)
	}
	u.Address = g.Address
	to = slices.DeleteFunc(to, func(a string) bool { return !g.updates.enter(a) })
	g.broadcastThen(c, to, "gossip.update", u, g.updates.leave)
}

// broadcast makes the same call to several boxes, encoded once. A box that isn't reached catches up
// in its next round.
func (g *Gossip) broadcast(c context.Context, to []string, method string, in any) {
	g.broadcastThen(c, to, method, in, func(string) {})
}

// broadcastThen calls done with the address of each box once its call of a broadcast has ended.
func (g *Gossip) broadcastThen(c context.Context, to []string, method string, in any, done func(address string)) {
	if len(to) == 0 {
		return
	}
	b, err := msgpack.Marshal(in)
	if err != nil {
		g.log.Error().Str("event", "told").Str("method", method).Err(err).Msg("not sent; others fetch it")
		for _, a := range to {
			done(a)
		}
		return
	}
	for _, a := range to {
		g.spawn(func() {
			defer done(a)
			var accepted bool
			if err := g.call(c, a, method, msgpack.RawMessage(b), &accepted); err != nil {
				g.log.Debug().Str("event", "told").Str("method", method).Str("to", a).Err(err).Msg("not reached")
			}
		})
	}
}

// reachableMembers returns the addresses of the members that have reported recently.
func (g *Gossip) reachableMembers() []string { return g.reachableAddresses(g.members) }

// reachableRelays returns the addresses of the other relays that have reported recently.
func (g *Gossip) reachableRelays() []string { return g.reachableAddresses(g.otherRelays) }

func (g *Gossip) reachableAddresses(statuses map[string]receivedStatus) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, h := range statuses {
		if boottime.Since(h.receivedAt) < unreachableAfter {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}
