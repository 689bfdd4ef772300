package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// stale is the age from which on a word of an order under way is no longer believed: the holder
// of the duty says it anew twice a second, and tells all boxes within two. A box that has not
// heard it, or that was suspended, sends nothing to the new version. A canary goes on for
// canaryStale, until a successor has the duty: its part is one that a bad version may get.
const (
	progressTimeout = 3 * time.Second
	canaryTimeout   = 4500 * time.Millisecond
)

// doneAfter is how long after its completion an order says nothing more: the versions before have
// stopped by then, and a later one may come without an order.
const completeFilterFor = 10 * time.Second

// Gate is what one box knows of roll-outs: which of its requests may go to which version, and
// what became of them. Its zero value knows of none. Chance returns numbers from 0 to 1.
type Gate struct {
	Random func() float64

	mu       sync.Mutex
	orders   Orders
	services map[string]*service
}

// service is one service with an order.
type service struct {
	order      Order
	progress   Progress
	reportedAt time.Time // when the word was said
	credit     float64   // the part of a request that the new version is owed
	running    map[string]int
	evidence   Evidence
}

// Pass says which version a request may go to. The zero value is any.
type VersionFilter struct {
	Only   string // this version; empty for any
	Except string // any but this one; empty for any
}

// Takes reports whether an endpoint's version is one that the request may go to.
func (p VersionFilter) Allows(version string) bool {
	return (p.Only == "" || version == p.Only) && (p.Except == "" || version != p.Except)
}

// Any reports whether the request may go to all versions.
func (p VersionFilter) AllowsAny() bool { return p == VersionFilter{} }

func (g *Gate) service(name string) *service {
	if g.services == nil {
		g.services = map[string]*service{}
	}
	s := g.services[name]
	if s == nil {
		s = &service{running: map[string]int{}}
		g.services[name] = s
	}
	return s
}

// TakeOrders takes all orders that stand, unless newer ones are known. It reports whether they are
// news.
func (g *Gate) SetOrders(o Orders) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Revision <= g.orders.Revision {
		return false
	}
	g.orders = Orders{Revision: o.Revision, List: slices.Clone(o.List)}
	standing := map[string]bool{}
	for _, x := range o.List {
		standing[x.Service] = true
		s := g.service(x.Service)
		if s.order.Revision == x.Revision {
			continue
		}
		s.order, s.credit = x, 0
		if g.Random != nil {
			s.credit = g.Random() // so that the boxes do not all send their first one at once
		}
		s.evidence = Evidence{Revision: x.Revision, Routes: map[string]RouteCounts{}}
	}
	for n, s := range g.services {
		if !standing[n] {
			s.order, s.progress = Order{}, Progress{}
		}
	}
	return true
}

// Orders returns the orders that stand.
func (g *Gate) Orders() Orders {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Orders{Revision: g.orders.Revision, List: slices.Clone(g.orders.List)}
}

// Hear takes in words, and returns those that are news of a stage.
func (g *Gate) UpdateProgress(words map[string]Progress, now time.Time) map[string]Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	var news map[string]Progress
	for n, w := range words {
		s := g.service(n)
		if !w.supersedes(s.progress) || s.progress.Revision == w.Revision && s.progress.Stage.Final() {
			continue
		}
		if s.progress.Revision != w.Revision || s.progress.Stage != w.Stage {
			news = MergeProgress(news, map[string]Progress{n: w}, 0)
		}
		s.progress, s.reportedAt = w, now.Add(-w.Age)
	}
	return news
}

// stage returns the stage and the share of an order, as far as this box knows them.
func (s *service) stage(now time.Time) (Stage, float64) {
	w := s.progress
	if w.Revision != s.order.Revision {
		return Closed, 0
	}
	limit := progressTimeout
	if w.Stage == Canary {
		limit = canaryTimeout
	}
	if !w.Stage.Final() && now.Sub(s.reportedAt) > limit {
		return Closed, 0
	}
	return w.Stage, w.Share
}

// Admit says which version a request may go to. A request that has been sent to an endpoint before
// goes to the other versions while the order is under way: one that a bad version failed is
// served, and the version gets no more than its share.
func (g *Gate) PickVersion(name string, repeat bool, now time.Time) VersionFilter {
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
	case repeat || share <= 0:
		return VersionFilter{Except: v}
	}
	if s.credit += share; s.credit >= 1 {
		s.credit--
		return VersionFilter{Only: v}
	}
	return VersionFilter{Except: v}
}

// Stage returns how far a service's order has been carried out, as far as this box knows, and its
// version; empty for none.
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

// Begin notes that a request is under way at a version until the function that it returns is
// called.
func (g *Gate) Begin(name, version string) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name)
	s.running[version]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if s.running[version]--; s.running[version] == 0 {
			delete(s.running, version)
		}
	}
}

// Saw notes an answer of an endpoint: whether it was a failure, and whether it was slow.
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
	p := s.evidence.Routes[route]
	if version == s.order.Version {
		p.New = p.New.plus(c)
	} else {
		p.Old = p.Old.plus(c)
	}
	s.evidence.Routes[route] = p
}

// Evidence returns what this box has seen of the orders under way, by service.
func (g *Gate) Evidence() map[string]Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out map[string]Evidence
	for n, s := range g.services {
		if s.order.Revision == 0 || s.progress.Revision == s.order.Revision && s.progress.Stage.Final() {
			continue
		}
		e := Evidence{Revision: s.evidence.Revision, Routes: maps.Clone(s.evidence.Routes)}
		for v, running := range s.running {
			if v != s.order.Version {
				e.Busy += float64(running)
			}
		}
		if out == nil {
			out = map[string]Evidence{}
		}
		out[n] = e
	}
	return out
}
