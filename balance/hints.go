package balance

import (
	"math"
	"time"
)

// HintScope selects the other boxes that get a hint of a prompt.
type HintScope int

// Scopes of a hint: no box, the nearby boxes, or all boxes.
const (
	HintNone HintScope = iota
	HintNearby
	HintAll
)

// Minimum prefill times of long and very long prompts. A prompt with a time below minLongPrefill does
// not delay others noticeably. Where drafts are mixed with short answers, one prompt in six is very
// long, and these prompts have half of all prefilled tokens. With more than maxFullHintPeers boxes nearby, the
// threshold for long prompts grows in proportion to their number, so that the rate of hints to each
// box stays bounded.
const (
	minLongPrefill     = 10 * time.Millisecond
	minVeryLongPrefill = 120 * time.Millisecond
	maxFullHintPeers   = 32
)

// longPrefill returns the least prefill time of the prompts of which nearby boxes get hints.
func (b *Balancer) longPrefill() time.Duration {
	return max(minLongPrefill, minLongPrefill*time.Duration(b.nearPeers)/maxFullHintPeers)
}

// HintScope returns the scope of the hint of a prompt that this box sends, and counts the prompt for
// UnobservedFraction.
func (b *Balancer) HintScope(service string, tokens int, now time.Time) HintScope {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens <= 0 {
		return HintNone
	}
	v := b.model(service).Predict(now)
	d := v.PrefillTime(tokens)
	b.veryLong.add(float64(tokens), d >= minVeryLongPrefill, now)
	b.long.add(float64(tokens), d >= b.longPrefill(), now)
	switch {
	case d >= minVeryLongPrefill:
		return HintAll
	case d >= b.longPrefill():
		return HintNearby
	default:
		return HintNone
	}
}

// longShare tracks which fraction of the tokens sent by this box belongs to long prompts. The
// prompts of other boxes are assumed to be similar.
type longShare struct {
	total, long float64
	at          time.Time
}

// longShareHalfLife is the half-life of the counts. It covers some dozens of requests at each box.
const longShareHalfLife = 10 * time.Second

func (l *longShare) add(tokens float64, long bool, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(l.at)) / float64(longShareHalfLife))
	l.total, l.long, l.at = l.total*decay+tokens, l.long*decay, now
	if long {
		l.long += tokens
	}
}

// fraction returns 0 before anything was sent.
func (l *longShare) fraction() float64 {
	if l.total <= 0 {
		return 0
	}
	return l.long / l.total
}
