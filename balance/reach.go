package balance

import (
	"math"
	"time"
)

// HintScope says which other boxes are to be told of a prompt at once.
type HintScope int

// A prompt is told to none, to the boxes nearby, or to all.
const (
	HintNone HintScope = iota
	HintNearby
	HintAll
)

// A prompt is long from the reading time longPrompt on: a shorter one keeps nobody waiting
// for long. A veryLongPrompt is one prompt in six where drafts are mixed with short
// answers, and half of all tokens that are read (counted in the log of a day). Where more than
// fullNear boxes are nearby, a prompt is long from as many times longPrompt on as there are times
// more boxes, so that what each is told does not grow with them.
const (
	longPromptReading     = 10 * time.Millisecond
	veryLongPromptReading = 120 * time.Millisecond
	maxFullHintPeers      = 32
)

// longReading is the reading time from which on a prompt is told to the boxes nearby.
func (b *Balancer) longReading() time.Duration {
	return max(longPromptReading, longPromptReading*time.Duration(b.nearPeers)/maxFullHintPeers)
}

// HintScope returns which other boxes are to be told of a prompt that this one sends.
func (b *Balancer) HintScope(service string, tokens int, now time.Time) HintScope {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens <= 0 {
		return HintNone
	}
	v := b.model(service).View(now)
	d := v.Reading(tokens)
	b.veryLong.add(float64(tokens), d >= veryLongPromptReading, now)
	b.long.add(float64(tokens), d >= b.longReading(), now)
	switch {
	case d >= veryLongPromptReading:
		return HintAll
	case d >= b.longReading():
		return HintNearby
	default:
		return HintNone
	}
}

// longShare is the part of what this box sends that is in very long prompts, by tokens. What
// other boxes send is taken to be alike.
type longShare struct {
	total, long float64
	at          time.Time
}

// longShareHalfLife is the half-life of what is counted: some dozens of requests at each box.
const longShareHalfLife = 10 * time.Second

func (s *longShare) add(tokens float64, long bool, now time.Time) {
	fade := math.Exp2(-float64(now.Sub(s.at)) / float64(longShareHalfLife))
	s.total, s.long, s.at = s.total*fade+tokens, s.long*fade, now
	if long {
		s.long += tokens
	}
}

// fraction is zero before anything was sent.
func (s *longShare) fraction() float64 {
	if s.total <= 0 {
		return 0
	}
	return s.long / s.total
}
