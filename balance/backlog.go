package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// backlog is prompts of other boxes that an endpoint has to read, as those boxes said
// when they sent them.
type backlog struct {
	tokens float64
	at     time.Time
}

// remaining returns the tokens that are still to be read, where an endpoint reads so many
// a second.
func (l *backlog) remaining(perSecond float64, now time.Time) float64 {
	if l.tokens <= 0 {
		return 0
	}
	return max(l.tokens-perSecond*now.Sub(l.at).Seconds(), 0)
}

// SetPeers sets how many of the other boxes tell this one at once of their long prompts, and
// how many of the very long ones only.
func (b *Balancer) SetPeers(near, far int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nearPeers, b.farPeers = near, far
}

// AddHint takes in that another box sends an endpoint a prompt.
func (b *Balancer) AddHint(e endpoint.Endpoint, tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.model(e.Service).View(now)
	h := &b.state(e.ID).hinted
	h.tokens = h.remaining(v.Pace(), now) + float64(tokens)
	h.at = now
}

// UnobservedFraction returns the part of the other boxes' prompts that is not heard of at once.
func (b *Balancer) UnobservedFraction() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unobservedFraction()
}

func (b *Balancer) unobservedFraction() float64 {
	if b.boxes <= 1 {
		return 0
	}
	near := 1.0
	if b.nearPeers > maxFullHintPeers {
		near = b.long.fraction()
	}
	heard := near*float64(b.nearPeers) + float64(b.farPeers)*b.veryLong.fraction()
	return max(1-heard/float64(b.boxes-1), 0)
}
