package balance

import (
	"time"

	"birchlink.dev/birchlink/estimate"
)

// Model returns what is known of how fast a service's endpoints are.
func (b *Balancer) Model(service string) *estimate.Model {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(service)
}

func (b *Balancer) model(service string) *estimate.Model {
	if b.models == nil {
		b.models = map[string]*estimate.Model{}
	}
	m := b.models[service]
	if m == nil {
		m = &estimate.Model{}
		b.models[service] = m
	}
	return m
}

// Restore takes in what a box before this one had observed.
func (b *Balancer) Restore(speeds map[string]estimate.Stats, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range speeds {
		b.model(n).Recall(s, now)
	}
}

// OwnStats returns what this box has observed of each service.
func (b *Balancer) OwnStats(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.Own(now)
	}
	return out
}

// Stats returns what all boxes have observed of each service.
func (b *Balancer) Stats(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.All(now)
	}
	return out
}

// SetRemoteStats replaces what the other boxes have observed of the services.
func (b *Balancer) SetRemoteStats(sum map[string]estimate.Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range sum {
		b.model(n).Tell(s)
	}
}
