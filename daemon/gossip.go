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
	"birchlink.dev/birchlink/usage"
)

// connectGossip connects gossip to the components that provide this box's status and use the
// statuses of the other boxes.
func (p *platformComponents) connectGossip() {
	g, s := p.gossip, p.settings
	g.Box, g.DataCentre, g.Address, g.Prefix, g.Seeds, g.Store = s.Box, s.DataCentre, s.Advertise, relaysPrefix, s.Seeds, p.store
	g.FirstStart, g.LinkMbps, g.UsedEndpoints = s.FirstStart, s.LinkMbps, p.state.Roster.UsedEndpoints
	g.LocalStatus = func() gossip.Status {
		now := boottime.Now()
		v, _ := p.state.RawConfig()
		d := map[string]map[string]demand.Stats{}
		for n, f := range p.meter.Snapshot(now) {
			d[n] = map[string]demand.Stats{s.DataCentre: f}
		}
		return gossip.Status{
			Box: s.Box, DataCentre: s.DataCentre, Address: s.Advertise, Version: v,
			Words: p.rollouts.CurrentProgress(), Evidence: p.gossip.Rollouts.LocalEvidence(),
			Load: p.balancer.OwnLoad(), Failing: p.balancer.FailureReport(now), Demand: d, Speeds: p.balancer.OwnStats(now),
			Usage: []usage.Report{p.tally.Recent(s.Box+"."+p.incarnation, p.tally.WindowAt(p.clock.At(now))-broadcastWindows)},
		}
	}
	g.OnRound, g.Quota, g.Clock = p.mergeStatus, p.quota, p.clock
	g.SnapshotKey, g.RestoreQuota = snapshotKey, p.quota.Restore
	g.RestoreEndpointStats = func(s map[string]estimate.Stats) { p.balancer.Restore(s, boottime.Now()) }
	g.EndpointStats = func() map[string]estimate.Stats { return p.balancer.Stats(boottime.Now()) }
	g.Snapshot = func(boxes int) quota.Before {
		t := p.state.Table()
		if t == nil {
			return quota.Before{Boxes: boxes}
		}
		return p.quota.Snapshot(boxes, t.Document.Accounts, boottime.Now())
	}
}

// mergeStatus updates the components with the sum of the other boxes' statuses after each round.
func (p *platformComponents) mergeStatus(others gossip.Status) {
	now := boottime.Now()
	p.reachableBoxes.Store(int64(others.Boxes + 1))
	p.budget.SetBoxes(p.quota.MaxBoxes())
	p.updateHintPeers()
	known := func(id string) bool { _, ok := p.state.Roster.Get(id); return ok }
	p.balancer.Forget(known)
	p.links.Links.Forget(known)
	p.pool.Sweep()
	if p.tunnels.Leaving() {
		go p.tunnels.Leave()
	}
	p.balancer.Availability.Rates.Forget(func(incarnation string) bool {
		e, ok := p.state.Roster.Get(endpoint.IDOf(incarnation))
		return ok && e.Incarnation() == incarnation
	}, now)
	if p.reporter != nil {
		for _, u := range others.Usage {
			p.reporter.Merge(u)
		}
	}
	p.updateSpeeds(now)
	// A round without a message of another box brings no new load reports.
	reported := p.gossip.LastContact()
	if reported.IsZero() {
		reported = now
	}
	if p.gossip.IsIsolated() {
		p.balancer.SetRemoteLoad(nil, others.Boxes, reported)
		p.balancer.SetRemoteFailures(nil, now)
		return
	}
	p.mu.Lock()
	p.remoteDemand, p.remoteEvidence = others.Demand, others.Evidence
	p.evidenceBoxes, p.evidenceAt = others.Boxes, now
	p.mu.Unlock()
	p.balancer.SetRemoteLoad(others.Load, others.Boxes, reported)
	p.balancer.SetRemoteFailures(others.Failing, now)
	p.balancer.SetRemoteStats(others.Speeds)
}

// updateSpeeds recomputes the speed factors of the endpoints from the samples of all boxes.
func (p *platformComponents) updateSpeeds(now time.Time) {
	if p.balancer.Speeds == nil {
		return
	}
	roster := &p.state.Roster
	var services [][]endpoint.Endpoint
	for _, s := range roster.Services() {
		services = append(services, roster.Serving(s))
	}
	p.balancer.Speeds.Update(services, now)
	roster.SetClasses(p.balancer.Speeds.Class)
}

// countBySpeed returns how many endpoints are known to be faster and slower than the mean of their
// service.
func (p *platformComponents) countBySpeed() (faster, slower int64) {
	if p.balancer.Speeds == nil {
		return 0, 0
	}
	for _, r := range p.balancer.Speeds.Ratings() {
		switch {
		case r.Factor < 1:
			faster++
		case r.Factor > 1:
			slower++
		}
	}
	return faster, slower
}

// recordReachable records that this box can connect to an endpoint again.
func (p *platformComponents) recordReachable(id string) {
	if e, ok := p.state.Roster.Get(id); ok {
		p.balancer.RecordReachable(e, boottime.Now())
	}
}

// recordCrash records a crash of an endpoint that another box reported. It ignores the report if
// another process has started under the endpoint's ID since.
func (p *platformComponents) recordCrash(incarnation string) {
	id := endpoint.IDOf(incarnation)
	if e, ok := p.state.Roster.Get(id); ok && e.Incarnation() == incarnation {
		p.balancer.RecordCrash(id, boottime.Now())
	}
}

// sendHint sends a hint of a long prompt to other boxes.
func (p *platformComponents) sendHint(e endpoint.Endpoint, tokens int) {
	h := hint.Hint{Endpoint: e.ID, Tokens: tokens}
	near, far := p.hintPeers()
	switch p.balancer.HintScope(e.Service, tokens, boottime.Now()) {
	case balance.HintAll:
		p.hints.Send(h, near)
		p.hints.Send(h, far)
	case balance.HintNearby:
		p.hints.Send(h, near)
	case balance.HintNone:
	}
}

// countRequest counts a request of an account that an endpoint began to run at the given time.
func (p *platformComponents) countRequest(account string, at time.Time) {
	p.tally.Add(account, p.clock.At(at))
}

// receiveHint adds a hint from another box to the load of an endpoint.
func (p *platformComponents) receiveHint(h hint.Hint) {
	if e, ok := p.state.Roster.Get(h.Endpoint); ok {
		p.balancer.AddHint(e, h.Tokens, boottime.Now())
	}
}

// hintPeers returns the addresses of the boxes that receive hints of all long prompts (near), and
// of very long prompts only (far).
func (p *platformComponents) hintPeers() (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nearbyPeers, p.distantPeers
}

// updateHintPeers updates the boxes that receive hints.
func (p *platformComponents) updateHintPeers() {
	l := p.gossip.Peers()
	near, far := parseAddresses(l.Near), parseAddresses(l.Far)
	p.mu.Lock()
	p.nearbyPeers, p.distantPeers = near, far
	p.mu.Unlock()
	p.balancer.SetPeers(len(near), len(far))
}

func parseAddresses(as []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range as {
		if x, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, x)
		}
	}
	return out
}

// demandByDataCentre returns the demand for a service on all boxes, by data centre.
func (p *platformComponents) demandByDataCentre(service string) map[string]demand.Stats {
	out := map[string]demand.Stats{}
	p.mu.Lock()
	maps.Copy(out, p.remoteDemand[service])
	p.mu.Unlock()
	local := p.meter.Snapshot(boottime.Now())[service]
	f := out[p.settings.DataCentre]
	out[p.settings.DataCentre] = demand.Stats{Tokens: f.Tokens + local.Tokens, Running: f.Running + local.Running}
	return out
}

// writesUsage reports whether this box writes its counts of requests to the store itself: as a
// relay, or while no relay represents it.
func (p *platformComponents) writesUsage() bool { return p.gossip.IsRelay() || p.state.IsWatching() }
