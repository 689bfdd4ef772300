package endpoint

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/rendezvous"
)

// Roster is the set of endpoints known to one box. Its zero value is empty.
//
// Lists of those that serve are made when they are asked for: a box that reads all
// records would otherwise make one for each. Entering 3,000 endpoints takes 2.0 ms
// and 2.3 MB so, and 1.5 s and 1.65 GB with a list for each (BenchmarkFill).
type Roster struct {
	// Box and DataCentre are those of the box: by them it works with other endpoints than
	// its neighbours. They are set before the first endpoint is entered.
	Box        string
	DataCentre string

	mu       sync.Mutex
	all      map[string]Endpoint
	pools    map[string]*pool                 // by service, those that take work
	marks    *simplelru.LRU[string, struct{}] // incarnations that said that they leave, ahead of their records
	removed  func(Endpoint)
	replaced func(Endpoint)
}

// OnLeave sets what is called, outside the lock, when an endpoint drains or goes.
func (r *Roster) OnLeave(f func(Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = f
}

// OnReplaced sets what is called, outside the lock, with an endpoint in whose place another
// has started under its ID.
func (r *Roster) OnReplaced(f func(old Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaced = f
}

// Put enters or replaces an endpoint. One that drains never serves again; one that has
// started anew is another.
func (r *Roster) Put(e Endpoint) {
	r.mu.Lock()
	old, had := r.all[e.ID]
	anew := had && old.Born != e.Born
	had = had && !anew
	e.Draining = r.drains(e) || had && old.Draining
	if r.all == nil {
		r.all = map[string]Endpoint{}
	}
	if e != old {
		r.all[e.ID] = e
		r.enter(old, e)
	}
	f, replaced := r.removed, r.replaced
	r.mu.Unlock()
	if anew && replaced != nil {
		replaced(old)
	}
	if e.Draining && (!had || !old.Draining) && f != nil {
		f(e)
	}
}

// Remove takes an endpoint out.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	e, had := r.all[id]
	delete(r.all, id)
	r.pool(e.Service).remove(id)
	f := r.removed
	r.mu.Unlock()
	if had && !e.Draining && f != nil {
		f(e)
	}
}

// Len returns how many endpoints are known.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// IDs returns the endpoints known.
func (r *Roster) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.all))
}

// Get returns an endpoint by ID.
func (r *Roster) Get(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.all[id]
	return e, ok
}

// enter takes over a change of an endpoint into its service's pool. The lock is held.
func (r *Roster) enter(old, e Endpoint) {
	if old.ID != "" && (old.Service != e.Service || old.DataCentre != e.DataCentre || e.Draining) {
		r.pool(old.Service).remove(e.ID)
	}
	if !e.Draining {
		r.pool(e.Service).put(member{e.ID, e.DataCentre == r.DataCentre}, rendezvous.Hash(r.Box))
	}
}

// pool returns the pool of a service. The lock is held.
func (r *Roster) pool(service string) *pool {
	if r.pools == nil {
		r.pools = map[string]*pool{}
	}
	p := r.pools[service]
	if p == nil {
		p = &pool{at: map[string]int{}}
		r.pools[service] = p
	}
	return p
}

// Serving returns all endpoints of a service that take work, by ID. The slice is
// shared and must not be changed.
func (r *Roster) Serving(service string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	if p.list == nil {
		ids := make([]string, len(p.members))
		for i, m := range p.members {
			ids[i] = m.id
		}
		slices.Sort(ids)
		p.list = r.named(ids)
	}
	return p.list
}

// Part returns the endpoints of a service that this box works with, and whether that is all that
// take work. The slice is shared and must not be changed.
func (r *Roster) Part(service string) (part []Endpoint, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	if p.part == nil {
		p.part = r.named(p.choose(rendezvous.Hash(r.Box)))
	}
	return p.part, len(p.part) == len(p.members)
}

// Home returns the endpoint of a service that all boxes prefer for what a key names, and false if
// none takes work.
func (r *Roster) Home(service, key string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.all[r.pool(service).home(rendezvous.Hash(key))]
	return e, ok
}

// WorksWith returns the IDs of the endpoints that this box works with, of all services; none if
// these are all that take work.
func (r *Roster) WorksWith() []string {
	r.mu.Lock()
	services := slices.Sorted(maps.Keys(r.pools))
	r.mu.Unlock()
	var ids []string
	all := true
	for _, s := range services {
		part, whole := r.Part(s)
		all = all && whole
		for i := range part {
			ids = append(ids, part[i].ID)
		}
	}
	if all {
		return nil
	}
	return ids
}

// named returns endpoints by their IDs. The lock is held.
func (r *Roster) named(ids []string) []Endpoint {
	es := make([]Endpoint, len(ids))
	for i, id := range ids {
		es[i] = r.all[id]
	}
	return es
}

// All returns every endpoint, also those that drain.
func (r *Roster) All() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.all), byID)
}

func byID(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) }
