package endpoint

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/versionhistory"
)

// Roster is the set of endpoints known to one box. The zero value is an empty roster ready to use.
// It is safe for concurrent use.
//
// The lists of serving endpoints are built on demand, because a box that reads all records would
// otherwise build one per record: adding 3,000 endpoints takes 2.0 ms and 2.3 MB, and 1.5 s and
// 1.65 GB with a list for each (BenchmarkFill).
type Roster struct {
	// Box and DataCentre identify this box. Boxes use different subsets of the endpoints,
	// selected by these fields. They must be set before the first endpoint is added.
	Box        string
	DataCentre string

	// Versions is told which software versions have endpoints.
	Versions versionhistory.History

	mu            sync.Mutex
	all           map[string]Endpoint
	pools         map[string]*pool                 // by service, without draining endpoints
	drainMarks    *simplelru.LRU[string, struct{}] // incarnations that announced draining before their records did
	departures    *simplelru.LRU[string, Departure]
	onUnavailable func(Endpoint)
	onReplaced    func(Endpoint)
}

// OnUnavailable sets the function that is called when an endpoint starts to drain, or is removed
// while it is not draining. It is called without the lock held.
func (r *Roster) OnUnavailable(f func(Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onUnavailable = f
}

// OnReplaced sets the function that is called with the old endpoint when a new process has started
// under its ID. It is called without the lock held.
func (r *Roster) OnReplaced(f func(old Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onReplaced = f
}

// Put adds or updates an endpoint. A draining endpoint stays draining until a new process starts
// under its ID; that process is a different endpoint.
func (r *Roster) Put(e Endpoint) {
	r.mu.Lock()
	old, exists := r.all[e.ID]
	restarted := exists && old.StartMillis != e.StartMillis
	exists = exists && !restarted
	e.Draining = r.isDraining(e) || exists && old.Draining
	if r.all == nil {
		r.all = map[string]Endpoint{}
	}
	if e != old {
		r.recordVersion(old, e)
		r.all[e.ID] = e
		r.updatePools(old, e)
		r.updateDepartures(old, e)
	}
	f, onReplaced := r.onUnavailable, r.onReplaced
	r.mu.Unlock()
	if restarted && onReplaced != nil {
		onReplaced(old)
	}
	if e.Draining && (!exists || !old.Draining) && f != nil {
		f(e)
	}
}

// Remove deletes an endpoint.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	e, exists := r.all[id]
	if exists {
		r.recordDeparture(e)
	}
	delete(r.all, id)
	r.recordVersion(e, Endpoint{})
	r.pool(e.Service).remove(id)
	f := r.onUnavailable
	r.mu.Unlock()
	if exists && !e.Draining && f != nil {
		f(e)
	}
}

// recordVersion records that an endpoint was replaced by another. Either of them may be the zero Endpoint.
func (r *Roster) recordVersion(old, e Endpoint) {
	if old.Service == e.Service && old.Version == e.Version {
		return
	}
	now := boottime.Now()
	if e.ID != "" {
		r.Versions.Add(e.Service, e.Version, now)
	}
	if old.ID != "" {
		r.Versions.Remove(old.Service, old.Version, now)
	}
}

// Len returns the number of endpoints, including draining ones.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// IDs returns the IDs of all endpoints in ascending order.
func (r *Roster) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.all))
}

// Get returns the endpoint with an ID.
func (r *Roster) Get(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.all[id]
	return e, ok
}

// Others returns up to n endpoints other than the one with an ID, at random. None of them drains.
func (r *Roster) Others(id string, n int) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Endpoint
	for k, e := range r.all {
		if len(out) == n {
			break
		}
		if k != id && !e.Draining {
			out = append(out, e)
		}
	}
	return out
}

// updatePools applies a change of an endpoint to the pools of its services. The caller holds r.mu.
func (r *Roster) updatePools(old, e Endpoint) {
	if old.ID != "" && (old.Service != e.Service || old.DataCentre != e.DataCentre || e.Draining) {
		r.pool(old.Service).remove(e.ID)
	}
	if !e.Draining {
		r.pool(e.Service).put(member{e.ID, e.DataCentre == r.DataCentre}, rendezvous.Hash(r.Box))
	}
}

// pool returns the pool of a service, creating it if needed. The caller holds r.mu.
func (r *Roster) pool(service string) *pool {
	if r.pools == nil {
		r.pools = map[string]*pool{}
	}
	p := r.pools[service]
	if p == nil {
		p = &pool{index: map[string]int{}}
		r.pools[service] = p
	}
	return p
}

// Serving returns all endpoints of a service that are not draining, ordered by ID. The slice is
// shared and must not be modified.
func (r *Roster) Serving(service string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	if p.serving == nil {
		ids := make([]string, len(p.members))
		for i, m := range p.members {
			ids[i] = m.id
		}
		slices.Sort(ids)
		p.serving = r.lookup(ids)
	}
	return p.serving
}

// Subset returns the endpoints of a service that this box uses, ordered by ID, and reports whether
// these are all that take work. The slice is shared and must not be modified.
func (r *Roster) Subset(service string) (subset []Endpoint, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	if p.subset == nil {
		p.subset = r.lookup(p.chooseSubset(rendezvous.Hash(r.Box)))
	}
	return p.subset, len(p.subset) == len(p.members)
}

// Preferred returns the endpoint of a service that all boxes prefer for a key, and false if none
// takes work.
func (r *Roster) Preferred(service, key string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.all[r.pool(service).preferred(rendezvous.Hash(key))]
	return e, ok
}

// SetClasses sets the speed classes by which Preferred weighs endpoints. They apply until the next
// call, also to a process that starts under the same ID meanwhile; other new endpoints have class 0.
func (r *Roster) SetClasses(class func(*Endpoint) int8) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		for i, m := range p.members {
			e := r.all[m.id]
			if c := class(&e); c != p.classes[i] {
				p.classes[i], p.preferredIDs = c, nil
			}
		}
	}
}

// UsedEndpoints returns the IDs of the endpoints of all services that this box uses, or nil if it
// uses all that take work.
func (r *Roster) UsedEndpoints() []string {
	var ids []string
	all := true
	for _, s := range r.Services() {
		subset, complete := r.Subset(s)
		all = all && complete
		for i := range subset {
			ids = append(ids, subset[i].ID)
		}
	}
	if all {
		return nil
	}
	return ids
}

// Services returns the names of the services that have had endpoints, in ascending order.
func (r *Roster) Services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.pools))
}

// lookup returns the endpoints with the given IDs. The caller holds r.mu.
func (r *Roster) lookup(ids []string) []Endpoint {
	es := make([]Endpoint, len(ids))
	for i, id := range ids {
		es[i] = r.all[id]
	}
	return es
}

// All returns all endpoints, including draining ones, ordered by ID.
func (r *Roster) All() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.all), byID)
}

func byID(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) }
