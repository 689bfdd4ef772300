package balance

import (
	"math"
	"time"
)

// Reach says which other boxes are to be told of a prompt at once.
type Reach int

// A prompt is told to none, to the boxes nearby, or to all.
const (
	ToNone Reach = iota
	ToNear
	ToAll
)

// A prompt is long from the reading time longPrompt on: a shorter one keeps nobody waiting
// for long. A veryLongPrompt is one prompt in six where drafts are mixed with short
// answers, and half of all tokens that are read (counted in the log of a day). Where more than
// fullNear boxes are nearby, a prompt is long from as many times longPrompt on as there are times
// more boxes, so that what each is told does not grow with them.
const (
	longPrompt     = 10 * time.Millisecond
	veryLongPrompt = 120 * time.Millisecond
	fullNear       = 32
)

// long is the reading time from which on a prompt is told to the boxes nearby.
func (b *Book) long() time.Duration {
	return max(longPrompt, longPrompt*time.Duration(b.near)/fullNear)
}

// Reach returns which other boxes are to be told of a prompt that this one sends.
func (b *Book) Reach(service string, tokens int, now time.Time) Reach {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens <= 0 {
		return ToNone
	}
	v := b.model(service).Predict(now)
	d := v.PrefillTime(tokens)
	b.sent.add(float64(tokens), d >= veryLongPrompt, now)
	b.told.add(float64(tokens), d >= b.long(), now)
	switch {
	case d >= veryLongPrompt:
		return ToAll
	case d >= b.long():
		return ToNear
	default:
		return ToNone
	}
}

// share is the part of what this box sends that is in very long prompts, by tokens. What
// other boxes send is taken to be alike.
type share struct {
	all, long float64
	at        time.Time
}

// shareHalf is the half-life of what is counted: some dozens of requests at each box.
const shareHalf = 10 * time.Second

func (s *share) add(tokens float64, long bool, now time.Time) {
	fade := math.Exp2(-float64(now.Sub(s.at)) / float64(shareHalf))
	s.all, s.long, s.at = s.all*fade+tokens, s.long*fade, now
	if long {
		s.long += tokens
	}
}

// part is zero before anything was sent.
func (s *share) part() float64 {
	if s.all <= 0 {
		return 0
	}
	return s.long / s.all
}
