package endpoint

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Roster is the set of endpoints known to one box. Its zero value is empty.
type Roster struct {
	mu      sync.Mutex
	all     map[string]Endpoint
	serving map[string][]Endpoint // by service, those that take work, by ID
	version uint64
	removed func(Endpoint)
}

// OnLeave sets what is called, outside the lock, when an endpoint drains or goes.
func (r *Roster) OnLeave(f func(Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = f
}

// Put enters or replaces an endpoint. One that drains never serves again.
func (r *Roster) Put(e Endpoint) {
	r.mu.Lock()
	old, had := r.all[e.ID]
	e.Draining = e.Draining || had && old.Draining
	if r.all == nil {
		r.all = map[string]Endpoint{}
	}
	r.all[e.ID] = e
	r.index()
	f := r.removed
	r.mu.Unlock()
	if e.Draining && (!had || !old.Draining) && f != nil {
		f(e)
	}
}

// Remove takes an endpoint out.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	e, had := r.all[id]
	delete(r.all, id)
	r.index()
	f := r.removed
	r.mu.Unlock()
	if had && !e.Draining && f != nil {
		f(e)
	}
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

// Serving returns the endpoints of a service that take work. The slice is
// shared and must not be changed.
func (r *Roster) Serving(service string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving[service]
}

// All returns every endpoint, also those that drain.
func (r *Roster) All() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.all), func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
}

// Version changes with each change of the roster.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Roster) index() {
	r.version++
	r.serving = map[string][]Endpoint{}
	for _, id := range slices.Sorted(maps.Keys(r.all)) {
		if e := r.all[id]; !e.Draining {
			r.serving[e.Service] = append(r.serving[e.Service], e)
		}
	}
}
