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

// left returns the tokens that are still to be read, where an endpoint reads so many
// a second.
func (l *backlog) left(perSecond float64, now time.Time) float64 {
	if l.tokens <= 0 {
		return 0
	}
	return max(l.tokens-perSecond*now.Sub(l.at).Seconds(), 0)
}

// Peers sets how many of the other boxes tell this one at once of their long prompts, and
// how many of the very long ones only.
func (b *Book) Peers(near, far int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.near, b.far = near, far
}

// Hear takes in that another box sends an endpoint a prompt.
func (b *Book) Hear(e endpoint.Endpoint, tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.model(e.Service).Predict(now)
	h := &b.page(e.ID).heard
	h.tokens = h.left(v.PrefillRate(), now) + float64(tokens)
	h.at = now
}

// Blind returns the part of the other boxes' prompts that is not heard of at once.
func (b *Book) Blind() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blind()
}

func (b *Book) blind() float64 {
	if b.boxes <= 1 {
		return 0
	}
	near := 1.0
	if b.near > fullNear {
		near = b.told.part()
	}
	heard := near*float64(b.near) + float64(b.far)*b.sent.part()
	return max(1-heard/float64(b.boxes-1), 0)
}
