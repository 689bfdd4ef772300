package gossip

import (
	"slices"
	"strings"

	"birchlink.dev/birchlink/boottime"
)

// isWatcher reports whether this relay is one of those that watch the store.
func (g *Gossip) isWatcher() bool {
	mayWatch := g.session.StoreUnresponsiveFor() <= maxStoreSilence && !g.isResting()
	g.mu.Lock()
	defer g.mu.Unlock()
	var answered []relaySlot
	for _, h := range g.otherRelays {
		if boottime.Since(h.receivedAt) < watcherTimeout && h.Silent <= maxStoreSilence && !h.Resting {
			answered = append(answered, relaySlot{dataCentre: h.DataCentre, box: h.Box})
		}
	}
	if !mayWatch {
		return len(answered) == 0
	}
	answered = append(answered, relaySlot{dataCentre: g.DataCentre, box: g.Box})
	return slices.ContainsFunc(pickWatchers(answered), func(s relaySlot) bool { return s.box == g.Box })
}

// pickWatchers selects the relays that watch the store from those that can: the first
// by name and, if possible, the first of another data centre.
func pickWatchers(candidates []relaySlot) []relaySlot {
	slices.SortFunc(candidates, func(a, b relaySlot) int { return strings.Compare(a.box, b.box) })
	if len(candidates) < 2 {
		return candidates
	}
	second := slices.IndexFunc(candidates, func(s relaySlot) bool { return s.dataCentre != candidates[0].dataCentre })
	return []relaySlot{candidates[0], candidates[max(second, 1)]}
}
