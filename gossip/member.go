package gossip

import (
	"context"
	"math/rand/v2"
	"slices"

	"birchlink.dev/birchlink/boottime"
)

// askAtOnce is how many boxes a member asks in one round while neither the store
// nor a relay of its data centre tells it anything.
const askAtOnce = 2

// asMember tells the relay that counts this box. One that does not answer, is no
// relay any more, or does not hear the store is left for one that does. Without
// one, a box that the store answers watches it itself and looks for a free place;
// while the store answers nobody, a box stays with the relay that it has.
func (g *Gossip) asMember(c context.Context) {
	g.followPlaces(c, false)
	own, far := g.targets()
	answered, fresh := g.tell(c)
	g.vacant = g.vacant || !answered || len(own) < relays
	if !fresh || g.relay.dataCentre != g.DataCentre {
		fresh = g.join(c, own) || fresh
	}
	switch {
	case fresh:
		g.known.Follow(false)
		if g.vacant {
			g.enlist(c)
		}
		return
	case g.young() && !g.session.StoreUnreachable():
		g.enlist(c)
	case g.reaches(c):
		g.known.Follow(true)
		g.enlist(c)
	}
	if !answered && g.session.StoreUnresponsiveFor() > quiet {
		g.ask(c, far)
	}
}

// reaches reports whether the store answers this box, whatever the relays say. Where it
// answers nobody all boxes find no relay of use at once: without the check each then asks
// the store for everything until its own next renewal, seconds later.
func (g *Gossip) reaches(c context.Context) bool {
	x, cancel := context.WithTimeout(c, callLimit)
	defer cancel()
	return g.session.PingStore(x)
}

// tell tells the relay that counts this box. It reports whether it answers as one,
// and whether it hears the store.
func (g *Gossip) tell(c context.Context) (answered, fresh bool) {
	if g.relay.address == "" || g.relay.box == g.Box {
		return false, false
	}
	var w World
	status := g.status()
	if err := g.call(c, g.relay.address, "gossip.member", status, &w); err != nil || !w.Relay {
		g.log.Debug().Str("event", "relay").Str("other", g.relay.box).Bool("relay", w.Relay).Err(err).Msg("no longer of use")
		return false, false
	}
	g.heardWorld(w)
	g.session.MergeReport(w.Silent)
	g.vacant = g.vacant || w.Vacant && g.relay.dataCentre == g.DataCentre
	g.catchUp(g.relay.address, w.Others.Version, w.Revision)
	return true, w.Silent <= stale
}

// join looks for another relay that hears the store among some, and makes it the
// one that counts this box from the next round on.
func (g *Gossip) join(c context.Context, among []seat) bool {
	for _, s := range among {
		if s.box == g.relay.box && s.address == g.relay.address {
			continue
		}
		var w World
		if err := g.call(c, s.address, "gossip.member", g.status(), &w); err != nil || !w.Relay || w.Silent > stale {
			continue
		}
		g.joinRelay(s, w)
		g.catchUp(s.address, w.Others.Version, w.Revision)
		return true
	}
	return false
}

func (g *Gossip) joinRelay(s seat, w World) {
	g.log.Info().Str("event", "relay").Str("other", s.box).Str("before", g.relay.box).Dur("silent", w.Silent).Msg("tells this box from now on")
	g.setRelay(s)
}

// ask takes what some other box knows while neither the store nor a relay of this
// data centre answers; a relay that does then counts this box.
func (g *Gossip) ask(c context.Context, far []seat) {
	for _, a := range g.Seeds {
		far = append(far, seat{address: a})
	}
	far = slices.DeleteFunc(far, func(s seat) bool { return s.address == g.Address })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	for _, s := range far[:min(len(far), askAtOnce)] {
		var w World
		if err := g.call(c, s.address, "gossip.member", g.status(), &w); err != nil {
			continue
		}
		g.catchUp(s.address, w.Others.Version, w.Revision)
		if w.Relay && s.box != "" {
			g.joinRelay(s, w)
			return
		}
	}
}

// status returns what this box tells as a member.
func (g *Gossip) status() Status {
	s := g.self()
	if !g.tellsSpeeds() {
		s.Speeds = nil
	}
	s.Relay = g.relay.box
	s.ForItself = boottime.Since(g.began) < selfFor+startPeriod // until the round after its last as such
	s.Divided = g.Quota.Division().Version
	s.Suspects = g.Quarantine.Local(boottime.Now())
	s.Works = worksOf(g.WorksWith())
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Knows, s.Judged = g.world.Peers.Sum, g.world.Judged
	s.Leavers = g.known.Roster.Leavers(g.world.Leavers.Sum)
	s.Rates = g.Rates.Report(g.world.Rates.Sum, boottime.Now())
	if s.Works.Sum == g.world.Works {
		s.Works.IDs = nil
	}
	return s
}
