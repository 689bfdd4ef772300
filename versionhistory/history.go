// Package versionhistory remembers which software versions of each service had endpoints. If there was only one for as
// long as a stream may last, the stream began at it.
package versionhistory

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Window is how long a version is remembered after its last endpoint was seen. Streams that go on longer at an endpoint whose
// record is gone, and that are taken up later, need a record of their own.
const Window = 2 * time.Minute

// History holds the versions of each service. The zero value is empty and ready to use. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	started  time.Time // when the first endpoint was added
	restored bool      // what was known before this process started was added
	services map[string]map[string]*version
}

// version is a version with its known endpoints and, if there is none, the time when there last was one.
type version struct {
	endpoints int
	seen      time.Time
}

// get returns the entry of a version. The caller holds h.mu.
func (h *History) get(service, name string) *version {
	if h.services == nil {
		h.services = map[string]map[string]*version{}
	}
	if h.services[service] == nil {
		h.services[service] = map[string]*version{}
	}
	v := h.services[service][name]
	if v == nil {
		v = &version{}
		h.services[service][name] = v
	}
	return v
}

// Add adds an endpoint of a version, which may be unknown and is then empty.
func (h *History) Add(service, name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started.IsZero() {
		h.started = now
	}
	h.get(service, name).endpoints++
}

// Remove removes an endpoint of a version.
func (h *History) Remove(service, name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.get(service, name)
	v.endpoints = max(v.endpoints-1, 0)
	v.seen = now
}

// Restore adds the versions that were known before this process started.
func (h *History) Restore(versions map[string][]string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restored = true
	for s, names := range versions {
		for _, n := range names {
			h.get(s, n).seen = now
		}
	}
}

// Recent returns the versions of a service that had endpoints within Window, in ascending order. It reports whether
// these are all: the process is older than that, or knows what was known before it.
func (h *History) Recent(service string, now time.Time) (names []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recent(service, now), h.restored || !h.started.IsZero() && now.Sub(h.started) >= Window
}

// recent returns the recent versions and forgets the others. The caller holds h.mu.
func (h *History) recent(service string, now time.Time) []string {
	for n, v := range h.services[service] {
		if v.endpoints == 0 && now.Sub(v.seen) >= Window {
			delete(h.services[service], n)
		}
	}
	return slices.Sorted(maps.Keys(h.services[service]))
}

// Snapshot returns the recent versions of all services.
func (h *History) Snapshot(now time.Time) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]string{}
	for s := range h.services {
		if names := h.recent(s, now); len(names) > 0 {
			out[s] = names
		}
	}
	return out
}
