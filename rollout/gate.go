package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A report on an order in progress is ignored once it is older than progressTimeout, so that a box
// that is unreachable or was suspended sends nothing to the new version. The controller renews its
// reports twice a second, and they reach all boxes within two seconds. The timeout of a canary is
// longer, so that the canary continues until a successor takes over the duty. Its share is one that
// a bad version may receive.
const (
	progressTimeout = 3 * time.Second
	canaryTimeout   = 4500 * time.Millisecond
)

// completeFilterFor is how long requests are restricted to the new version after its roll-out is
// complete. The previous versions have stopped by then, and a later version may start without an
// order.
const completeFilterFor = 10 * time.Second

// Gate decides for one box which version of a service each request may go to, and collects evidence
// on the answers. Its zero value has no orders. It is safe for concurrent use.
type Gate struct {
	// Rand returns random numbers in [0, 1). If it is nil, the first requests of all boxes may go
	// to a new version at the same time. It must be set before the Gate is used.
	Rand func() float64

	mu       sync.Mutex
	orders   Orders
	services map[string]*service
}

// service is the state of one service.
type service struct {
	order      Order
	progress   Progress
	reportedAt time.Time      // when the controller made the report
	credit     float64        // fraction of a request that is due to the new version
	inFlight   map[string]int // requests in flight, by version
	evidence   Evidence
}

// VersionFilter restricts the versions that a request may go to. The zero value allows all.
type VersionFilter struct {
	Only   string // the only version allowed, or empty
	Except string // a version that is not allowed, or empty
}

// Allows reports whether the request may go to endpoints of a version.
func (v VersionFilter) Allows(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

// AllowsAny reports whether the request may go to all versions.
func (v VersionFilter) AllowsAny() bool { return v == VersionFilter{} }

// service returns the state of a service, which it creates if necessary. The caller holds g.mu.
func (g *Gate) service(name string) *service {
	if g.services == nil {
		g.services = map[string]*service{}
	}
	s := g.services[name]
	if s == nil {
		s = &service{inFlight: map[string]int{}}
		g.services[name] = s
	}
	return s
}

// SetOrders replaces the orders, unless o is not newer than those known. It reports whether it has
// replaced them.
func (g *Gate) SetOrders(o Orders) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Revision <= g.orders.Revision {
		return false
	}
	g.orders = Orders{Revision: o.Revision, List: slices.Clone(o.List)}
	ordered := map[string]bool{}
	for _, x := range o.List {
		ordered[x.Service] = true
		s := g.service(x.Service)
		if s.order.Revision == x.Revision {
			continue
		}
		s.order, s.credit = x, 0
		if g.Rand != nil {
			s.credit = g.Rand() // so that the boxes do not all send their first request at the same time
		}
		s.evidence = Evidence{Revision: x.Revision, Routes: map[string]RouteCounts{}}
	}
	for n, s := range g.services {
		if !ordered[n] {
			s.order, s.progress = Order{}, Progress{}
		}
	}
	return true
}

// Orders returns the current orders.
func (g *Gate) Orders() Orders {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Orders{Revision: g.orders.Revision, List: slices.Clone(g.orders.List)}
}

// MergeReports merges a controller's reports, by service, into the known ones. It returns those
// that report a new order or stage.
func (g *Gate) MergeReports(reports map[string]Progress, now time.Time) map[string]Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed map[string]Progress
	for n, p := range reports {
		s := g.service(n)
		if !p.supersedes(s.progress) || s.progress.Revision == p.Revision && s.progress.Stage.Final() {
			continue
		}
		if s.progress.Revision != p.Revision || s.progress.Stage != p.Stage {
			changed = MergeProgress(changed, map[string]Progress{n: p}, 0)
		}
		s.progress, s.reportedAt = p, now.Add(-p.Age)
	}
	return changed
}

// stage returns the stage of the order and the share of the new version, as known to this box. They
// are Closed and zero if there is no valid report.
func (s *service) stage(now time.Time) (Stage, float64) {
	p := s.progress
	if p.Revision != s.order.Revision {
		return Closed, 0
	}
	limit := progressTimeout
	if p.Stage == Canary {
		limit = canaryTimeout
	}
	if !p.Stage.Final() && now.Sub(s.reportedAt) > limit {
		return Closed, 0
	}
	return p.Stage, p.Share
}

// PickVersion returns the versions that a request to the service called name may go to. Until all
// requests go to the new version, a retry goes to the other versions. Requests that a bad version
// has failed are thereby served, and the new version receives no more than its share.
func (g *Gate) PickVersion(name string, retry bool, now time.Time) VersionFilter {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order.Revision == 0 {
		return VersionFilter{}
	}
	stage, share := s.stage(now)
	v := s.order.Version
	switch {
	case stage == Complete && now.Sub(s.reportedAt) > completeFilterFor:
		return VersionFilter{}
	case stage == Complete || stage == Whole:
		return VersionFilter{Only: v}
	case retry || share <= 0:
		return VersionFilter{Except: v}
	}
	if s.credit += share; s.credit >= 1 {
		s.credit--
		return VersionFilter{Only: v}
	}
	return VersionFilter{Except: v}
}

// Stage returns the version that is ordered for a service, and the stage of the order as known to
// this box. The version is empty if there is no order.
func (g *Gate) Stage(name string, now time.Time) (version string, s Stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.services[name]
	if x == nil || x.order.Revision == 0 {
		return "", Closed
	}
	s, _ = x.stage(now)
	return x.order.Version, s
}

// Begin counts a request as in flight at a version until the function that it returns is called.
func (g *Gate) Begin(name, version string) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name)
	s.inFlight[version]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if s.inFlight[version]--; s.inFlight[version] == 0 {
			delete(s.inFlight, version)
		}
	}
}

// RecordAnswer counts an answer of an endpoint as evidence if an order is in progress.
func (g *Gate) RecordAnswer(name, route, version string, failed, slow bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order.Revision == 0 || s.progress.Revision == s.order.Revision && s.progress.Stage.Final() {
		return
	}
	c := Counts{Answers: 1}
	if failed {
		c.Failed = 1
	}
	if slow {
		c.Slow = 1
	}
	counts := s.evidence.Routes[route]
	if version == s.order.Version {
		counts.New = counts.New.plus(c)
	} else {
		counts.Old = counts.Old.plus(c)
	}
	s.evidence.Routes[route] = counts
}

// LocalEvidence returns the evidence of this box on the orders in progress, by service.
func (g *Gate) LocalEvidence() map[string]Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out map[string]Evidence
	for n, s := range g.services {
		if s.order.Revision == 0 || s.progress.Revision == s.order.Revision && s.progress.Stage.Final() {
			continue
		}
		e := Evidence{Revision: s.evidence.Revision, Routes: maps.Clone(s.evidence.Routes)}
		for v, count := range s.inFlight {
			if v != s.order.Version {
				e.Busy += float64(count)
			}
		}
		if out == nil {
			out = map[string]Evidence{}
		}
		out[n] = e
	}
	return out
}
