package gossip

import (
	"slices"
	"strings"

	"birchlink.dev/birchlink/boottime"
)

// watches reports whether this relay is one of those that watch the store for all.
func (g *Gossip) watches() bool {
	own := g.session.StoreUnresponsiveFor() <= stale
	g.mu.Lock()
	defer g.mu.Unlock()
	var hear []seat
	for _, h := range g.others {
		if boottime.Since(h.at) < watcherLost && h.Silent <= stale {
			hear = append(hear, seat{dataCentre: h.DataCentre, box: h.Box})
		}
	}
	if !own {
		return len(hear) == 0
	}
	hear = append(hear, seat{dataCentre: g.DataCentre, box: g.Box})
	return slices.ContainsFunc(pickWatchers(hear), func(s seat) bool { return s.box == g.Box })
}

// pickWatchers returns the relays that watch the store, of those that it answers: the
// first by name, and the first of another data centre if there is one.
func pickWatchers(among []seat) []seat {
	slices.SortFunc(among, func(a, b seat) int { return strings.Compare(a.box, b.box) })
	if len(among) < 2 {
		return among
	}
	second := slices.IndexFunc(among, func(s seat) bool { return s.dataCentre != among[0].dataCentre })
	return []seat{among[0], among[max(second, 1)]}
}
