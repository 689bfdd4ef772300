package balance

import (
	"time"

	"birchlink.dev/birchlink/estimate"
)

// Model returns what is known of how fast a service's endpoints are.
func (b *Book) Model(service string) *estimate.Model {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(service)
}

func (b *Book) model(service string) *estimate.Model {
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

// Recall takes in what a box before this one had observed.
func (b *Book) Recall(speeds map[string]estimate.Stats, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range speeds {
		b.model(n).Restore(s, now)
	}
}

// Speeds returns what this box has observed of each service.
func (b *Book) Speeds(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.Local(now)
	}
	return out
}

// AllSpeeds returns what all boxes have observed of each service.
func (b *Book) AllSpeeds(now time.Time) map[string]estimate.Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]estimate.Stats{}
	for n, m := range b.models {
		out[n] = m.All(now)
	}
	return out
}

// TellSpeeds replaces what the other boxes have observed of the services.
func (b *Book) TellSpeeds(sum map[string]estimate.Stats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range sum {
		b.model(n).SetRemote(s)
	}
}
