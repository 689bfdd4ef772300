package daemon

import (
	"maps"
	"net/netip"
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/hint"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/tally"
)

// tell sets up what this box tells the others, and what it does with theirs.
func (p *entryParts) tell() {
	g, s := p.gossip, p.settings
	g.Box, g.DataCentre, g.Address, g.Prefix, g.Seeds, g.Store = s.Box, s.DataCentre, s.Peers, relaysPrefix, s.Seeds, p.store
	g.FirstStart, g.LinkMbps, g.UsedEndpoints = s.First, s.LinkMbps, p.known.Roster.UsedEndpoints
	g.LocalStatus = func() gossip.Status {
		now := boottime.Now()
		v, _ := p.known.RawConfig()
		d := map[string]map[string]demand.Stats{}
		for n, f := range p.meter.Snapshot(now) {
			d[n] = map[string]demand.Stats{s.DataCentre: f}
		}
		return gossip.Status{
			Box: s.Box, DataCentre: s.DataCentre, Address: s.Peers, Version: v,
			Words: p.rollouts.CurrentProgress(), Evidence: p.gossip.Rollouts.Evidence(),
			Load: p.book.OwnLoad(), Failing: p.book.FailureReport(now), Demand: d, Speeds: p.book.OwnStats(now),
			Usage: []tally.Report{p.tally.Recent(s.Box+"."+p.incarnation, p.tally.WindowAt(p.clock.At(now))-toldWindows)},
		}
	}
	g.OnRound, g.Quota, g.Clock = p.heard, p.quota, p.clock
	g.SnapshotKey, g.RestoreQuota = beforeKey, p.quota.Restore
	g.RestoreEndpointStats = func(s map[string]estimate.Stats) { p.book.Restore(s, boottime.Now()) }
	g.EndpointStats = func() map[string]estimate.Stats { return p.book.Stats(boottime.Now()) }
	g.Snapshot = func(boxes int) quota.Before {
		t := p.known.Table()
		if t == nil {
			return quota.Before{Boxes: boxes}
		}
		return p.quota.Snapshot(boxes, t.Document.Accounts, boottime.Now())
	}
}

// heard takes the other boxes' statuses into this box's decisions.
func (p *entryParts) heard(others gossip.Status) {
	now := boottime.Now()
	p.boxes.Store(int64(others.Boxes + 1))
	p.budget.SetBoxes(p.quota.MaxBoxes())
	p.follow()
	p.book.Forget(func(id string) bool { _, ok := p.known.Roster.Get(id); return ok })
	p.book.Availability.Rates.Forget(func(incarnation string) bool {
		e, ok := p.known.Roster.Get(endpoint.IDOf(incarnation))
		return ok && e.Incarnation() == incarnation
	}, now)
	if p.reporter != nil {
		for _, u := range others.Usage {
			p.reporter.Merge(u)
		}
	}
	if p.gossip.IsIsolated() {
		p.book.SetRemoteLoad(nil, others.Boxes, now)
		p.book.SetRemoteFailures(nil, now)
		return
	}
	p.mu.Lock()
	p.others, p.evidence = others.Demand, others.Evidence
	p.mu.Unlock()
	p.book.SetRemoteLoad(others.Load, others.Boxes, now)
	p.book.SetRemoteFailures(others.Failing, now)
	p.book.SetRemoteStats(others.Speeds)
}

// ended takes in that another box found an endpoint's process to have ended. One that has
// started since under its ID is another.
func (p *entryParts) ended(incarnation string) {
	id := endpoint.IDOf(incarnation)
	if e, ok := p.known.Roster.Get(id); ok && e.Incarnation() == incarnation {
		p.book.RecordCrash(id, boottime.Now())
	}
}

// sent tells other boxes of a long prompt.
func (p *entryParts) sent(e endpoint.Endpoint, tokens int) {
	h := hint.Hint{Endpoint: e.ID, Tokens: tokens}
	near, far := p.peers()
	switch p.book.HintScope(e.Service, tokens, boottime.Now()) {
	case balance.HintAll:
		p.hints.Send(h, near)
		p.hints.Send(h, far)
	case balance.HintNearby:
		p.hints.Send(h, near)
	case balance.HintNone:
	}
}

// began counts a request that an endpoint began to run at a moment.
func (p *entryParts) began(account string, at time.Time) { p.tally.Add(account, p.clock.At(at)) }

// hinted takes in what another box sends.
func (p *entryParts) hinted(s hint.Hint) {
	if e, ok := p.known.Roster.Get(s.Endpoint); ok {
		p.book.AddHint(e, s.Tokens, boottime.Now())
	}
}

// peers returns the boxes that are told of long prompts, and of very long ones.
func (p *entryParts) peers() (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.near, p.far
}

// follow learns anew which boxes are told at once.
func (p *entryParts) follow() {
	l := p.gossip.Peers()
	near, far := addresses(l.Near), addresses(l.Far)
	p.mu.Lock()
	p.near, p.far = near, far
	p.mu.Unlock()
	p.book.SetPeers(len(near), len(far))
}

func addresses(as []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range as {
		if x, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, x)
		}
	}
	return out
}

// demand sums up what each data centre's boxes carry for a service.
func (p *entryParts) demand(service string) map[string]demand.Stats {
	out := map[string]demand.Stats{}
	p.mu.Lock()
	maps.Copy(out, p.others[service])
	p.mu.Unlock()
	own := p.meter.Snapshot(boottime.Now())[service]
	f := out[p.settings.DataCentre]
	out[p.settings.DataCentre] = demand.Stats{Tokens: f.Tokens + own.Tokens, Running: f.Running + own.Running}
	return out
}

// writes reports whether this box writes its counts itself: as a relay, or while
// no relay takes them.
func (p *entryParts) writes() bool { return p.gossip.IsRelay() || p.known.IsWatching() }
