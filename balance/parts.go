package balance

import (
	"time"

	"birchlink.dev/birchlink/call"
)

// The bounds of what is remembered of an endpoint's cache: the endpoint drops
// what has rested longest, and other boxes fill it as well.
const (
	partKept = 30 * time.Second
	partsMax = 4096
)

// parts is which pieces of prompts this box sent to an endpoint, and when.
type parts struct {
	at map[string]time.Time
}

func (p *parts) sent(ps []call.Part, now time.Time) {
	if p.at == nil || len(p.at) > partsMax {
		p.at = map[string]time.Time{}
	}
	for _, x := range ps {
		p.at[x.ID] = now
	}
}

// held returns how many tokens at the start of a prompt are likely cached.
func (p *parts) held(ps []call.Part, now time.Time) int {
	n := 0
	for _, x := range ps {
		t, ok := p.at[x.ID]
		if !ok || now.Sub(t) > partKept {
			break
		}
		n += x.Tokens
	}
	return n
}
