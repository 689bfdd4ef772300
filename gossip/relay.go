package gossip

import (
	"context"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/rollout"
)

// self returns what this box alone tells.
func (g *Gossip) self() Status {
	s := g.Own()
	s.Boxes = 1
	return s
}

// tellsSpeeds reports whether this round's statuses carry what was observed of speeds.
func (g *Gossip) tellsSpeeds() bool { return g.rounds.Load()%speedsRounds == 0 }

// together returns what this box tells for itself and its members.
func (g *Gossip) together() Status {
	s := empty(g.Box, g.DataCentre, g.Address)
	self := g.self()
	s.add(self)
	s.Words = rollout.MergeProgress(nil, self.Words, 0)
	s.Leaving = g.leaves()
	s.Revision, s.Silent = g.known.Revision(), g.session.StoreUnresponsiveFor()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.members {
		if boottime.Since(h.at) < lost {
			s.add(h.Status)
			s.addWords(h, boottime.Now())
			s.Members = append(s.Members, h.Address)
		}
	}
	if !g.tellsSpeeds() {
		s.Speeds = nil
	}
	s.Suspects = g.suspects(boottime.Now())
	s.Orders = g.Rollouts.Orders()
	return s
}

// sum returns all others together as this box sees them.
func (g *Gossip) sum() Status {
	s := empty(g.Box, g.DataCentre, g.Address)
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if !relay {
		if now.Sub(g.at) < forgotten {
			return g.world.Others
		}
		return s
	}
	for _, h := range g.members {
		if now.Sub(h.at) < lost {
			s.add(h.Status)
		}
	}
	for _, h := range g.others {
		if now.Sub(h.at) < lost {
			s.add(h.Status)
		}
	}
	return s
}

// fromMember answers a box of this data centre, or one that has lost its relays.
// It is counted only if this is the relay that it has chosen: a box that asks
// around for one is counted where it was.
func (g *Gossip) fromMember(_ context.Context, in Status) (World, error) {
	now := boottime.Now()
	g.Quarantine.Merge(in.Suspects, now)
	g.hearLeavers(in.Leavers)
	g.hearRates(in.Rates.Words)
	g.Rollouts.UpdateProgress(in.Words, now)
	in.Suspects, in.Leavers.Incarnations, in.Rates.Words = nil, nil, nil
	relay := g.holds()
	counted := relay && in.Relay == g.Box
	told := in.Speeds != nil
	g.mu.Lock()
	old, had := g.members[in.Box]
	in.keepWorks(old.Status)
	if counted {
		in.keepSpeeds(old.Status)
		g.members[in.Box] = heard{Status: in, at: now}
	}
	g.last = now
	g.mu.Unlock()
	if counted && !had {
		g.log.Info().Str("event", "member").Str("other", in.Box).Uint64("version", in.Version).Msg("in touch")
	}
	w := World{Relay: relay, Vacant: relay && g.places() < relays, Revision: g.known.Revision(), Silent: g.session.StoreUnresponsiveFor(), Now: g.Clock.Now()}
	if relay {
		g.answer(&w, in)
	} else {
		w.Others, w.Peers, w.Arbiters, w.Counts = g.sum(), g.peers(), g.arbiters(), g.counts()
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
	w.Leavers = g.known.Roster.Leavers(in.Leavers.Sum)
	w.Rates = g.Rates.Report(in.Rates.Sum, now)
	w.Orders = g.Rollouts.Orders()
	w.Others.Version, _ = g.known.Raw()
	w.Others.Usage = nil
	if !told {
		w.Others.Speeds = nil
	}
	return w, nil
}

// fromRelay takes what another relay tells, and answers with this one's.
func (g *Gossip) fromRelay(_ context.Context, in Status) (Status, error) {
	g.hearRelay(in)
	s := g.together()
	s.Limits, s.Now = g.Quota.Tell(in.Box, boottime.Now()), g.Clock.Now()
	s.Leavers = g.known.Roster.Leavers(in.Leavers.Sum)
	s.Rates = g.Rates.Report(in.Rates.Sum, boottime.Now())
	return s, nil
}

func (g *Gossip) hearRelay(in Status) {
	now := boottime.Now()
	g.Quota.Hear(in.Limits, now)
	g.Quarantine.Merge(in.Suspects, now)
	g.hearLeavers(in.Leavers)
	g.hearRates(in.Rates.Words)
	g.hearRollouts(in.Orders, in.Words)
	in.Suspects, in.Leavers.Incarnations, in.Rates.Words = nil, nil, nil
	g.mu.Lock()
	defer g.mu.Unlock()
	in.keepSpeeds(g.others[in.Box].Status)
	g.others[in.Box] = heard{in, now, in.Now.Sub(g.Clock.Now())}
	g.last = now
}

// fromOwn takes what this box's relay learnt from the store.
func (g *Gossip) fromOwn(_ context.Context, in update) (bool, error) {
	if len(in.Configuration) > 0 {
		g.install(in.Configuration, in.From)
	}
	if len(in.Packed) > 0 {
		r, err := unpackRecords(in.Packed)
		if err != nil {
			return false, err
		}
		in.Records = &r
	}
	if in.Records != nil {
		return g.known.Tell(*in.Records), nil
	}
	return true, nil
}

// exchange tells the other relays whose names come after this one's, and hears
// them; a newer configuration there is fetched.
func (g *Gossip) exchange(c context.Context) {
	status := g.together()
	own, far := g.targets()
	var w sync.WaitGroup
	for _, s := range append(own, far...) {
		if s.box < g.Box {
			continue
		}
		w.Go(func() {
			var in Status
			out := status
			out.Limits, out.Now = g.Quota.Tell(s.box, boottime.Now()), g.Clock.Now()
			told := g.otherRelay(s.box)
			out.Leavers = g.known.Roster.Leavers(told.Leavers.Sum)
			out.Rates = g.Rates.Report(told.Rates.Sum, boottime.Now())
			if err := g.call(c, s.address, "gossip.relay", out, &in); err == nil {
				g.hearRelay(in)
			}
		})
	}
	w.Wait()
	g.fetchNewer()
	g.forget()
}

// otherRelay returns what another relay last told.
func (g *Gossip) otherRelay(box string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.others[box].Status
}

// forget drops boxes that have been away for long.
func (g *Gossip) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := boottime.Now().Add(-forgotten)
	for n, h := range g.members {
		if h.at.Before(before) {
			delete(g.members, n)
		}
	}
	for n, h := range g.others {
		if h.at.Before(before) {
			delete(g.others, n)
			g.Quota.Forget(n)
		}
	}
}

// push tells the members of a change at once, and a relay that watches the store the
// other relays too.
func (g *Gossip) push(c context.Context, u update) {
	if !g.holds() {
		return
	}
	to := g.membersHeard()
	if g.known.Follows() {
		to = append(to, g.relaysHeard()...)
	}
	g.tellAll(c, to, "gossip.update", u)
}

// tellAll makes the same call to some boxes, encoded once for all. One that is not reached finds
// out in its next round.
func (g *Gossip) tellAll(c context.Context, to []string, method string, in any) {
	if len(to) == 0 {
		return
	}
	b, err := msgpack.Marshal(in)
	if err != nil {
		g.log.Error().Str("event", "told").Str("method", method).Err(err).Msg("not told; others ask for it")
		return
	}
	for _, a := range to {
		g.spawn(func() {
			var took bool
			if err := g.call(c, a, method, msgpack.RawMessage(b), &took); err != nil {
				g.log.Debug().Str("event", "told").Str("method", method).Str("to", a).Err(err).Msg("not reached")
			}
		})
	}
}

// membersHeard returns the addresses of the members that this relay has lately heard.
func (g *Gossip) membersHeard() []string { return g.addresses(g.members) }

// relaysHeard returns the addresses of the other relays that this one has lately heard.
func (g *Gossip) relaysHeard() []string { return g.addresses(g.others) }

func (g *Gossip) addresses(of map[string]heard) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var to []string
	for _, h := range of {
		if boottime.Since(h.at) < lost {
			to = append(to, h.Address)
		}
	}
	return to
}
