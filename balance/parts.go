package balance

import (
	"time"

	"birchlink.dev/birchlink/call"
)

// Bounds on the record of an endpoint's cache. The endpoint evicts the least recently used parts,
// and other boxes fill its cache as well.
const (
	partTTL  = 30 * time.Second
	maxParts = 4096
)

// cachedParts records which parts of prompts this box sent to an endpoint, and when.
type cachedParts struct {
	sentAt map[string]time.Time
}

func (p *cachedParts) add(ps []call.Part, now time.Time) {
	if p.sentAt == nil || len(p.sentAt) > maxParts {
		p.sentAt = map[string]time.Time{}
	}
	for _, x := range ps {
		p.sentAt[x.ID] = now
	}
}

// cachedTokens returns how many tokens at the start of a prompt are probably cached.
func (p *cachedParts) cachedTokens(ps []call.Part, now time.Time) int {
	n := 0
	for _, x := range ps {
		t, ok := p.sentAt[x.ID]
		if !ok || now.Sub(t) > partTTL {
			break
		}
		n += x.Tokens
	}
	return n
}
