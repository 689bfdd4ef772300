package balance

import (
	"time"

	"birchlink.dev/birchlink/estimate"
)

// Model returns the latency model of a service's endpoints.
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

// Restore adds the statistics that another box observed before this one started, by service.
func (b *Balancer) Restore(stats map[string]estimate.Stats, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range stats {
		b.model(n).Restore(s, now)
	}
}

// OwnStats returns the statistics that this box has observed, by service.
func (b *Balancer) OwnStats(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.Local(now)
	}
	return out
}

// Stats returns the statistics that all boxes have observed, by service.
func (b *Balancer) Stats(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.All(now)
	}
	return out
}

// SetRemoteStats replaces the statistics that the other boxes have observed, by service.
func (b *Balancer) SetRemoteStats(sum map[string]estimate.Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range sum {
		b.model(n).SetRemote(s)
	}
}
