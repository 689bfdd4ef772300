package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// backlog is the number of prompt tokens of other boxes that an endpoint still has to prefill,
// according to the hints that those boxes sent.
type backlog struct {
	tokens float64
	at     time.Time
}

// remaining returns the tokens that are still to be prefilled at time now by an endpoint that
// prefills perSecond tokens a second.
func (l *backlog) remaining(perSecond float64, now time.Time) float64 {
	if l.tokens <= 0 {
		return 0
	}
	return max(l.tokens-perSecond*now.Sub(l.at).Seconds(), 0)
}

// SetPeers sets how many other boxes send this one hints of all long prompts (near), and of very
// long prompts only (far).
func (b *Balancer) SetPeers(near, far int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nearPeers, b.farPeers = near, far
}

// AddHint records that another box sends an endpoint a prompt.
func (b *Balancer) AddHint(e endpoint.Endpoint, tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.model(e.Service).Predict(now)
	l := &b.state(e.ID).hinted
	l.tokens = l.remaining(v.PrefillRate()/b.speedFactor(&e), now) + float64(tokens)
	l.at = now
}

// UnobservedFraction returns the fraction of the other boxes' prompts, by tokens, of which this box
// gets no hints.
func (b *Balancer) UnobservedFraction() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unobservedFraction()
}

func (b *Balancer) unobservedFraction() float64 {
	if b.boxes <= 1 {
		return 0
	}
	nearFraction := 1.0
	if b.nearPeers > maxFullHintPeers {
		nearFraction = b.long.fraction()
	}
	observed := nearFraction*float64(b.nearPeers) + float64(b.farPeers)*b.veryLong.fraction()
	return max(1-observed/float64(b.boxes-1), 0)
}
