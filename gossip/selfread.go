package gossip

import (
	"math/rand/v2"
	"time"

	"birchlink.dev/birchlink/boottime"
)

const (
	// maxLag is how long a box may know of newer state than its own before it reads the store itself. Until then it asks other
	// boxes, of which it reaches at least one unless all connections to them have stalled.
	maxLag = time.Second

	// selfReadTime is how long a box goes on to read the store after that.
	selfReadTime = 5 * time.Second

	// maxSelfReaders bounds the boxes of a fleet that begin to read the store in the same round, on average. If the relays are
	// overloaded, all boxes are behind.
	maxSelfReaders = 20
)

// readsItself reports whether this box reads the store because others could not give it what they have.
func (g *Gossip) readsItself() bool {
	now, lag := boottime.Now(), max(g.state.ConfigLag(), g.state.RecordsLag())
	isReading := now.Before(g.selfReadUntil)
	if lag <= maxLag || g.session.StoreUnresponsiveFor() > maxStoreSilence {
		return isReading
	}
	if boxes := g.othersTotal().Boxes + 1; !isReading && rand.IntN(boxes) >= maxSelfReaders {
		return false
	}
	if !isReading {
		g.log.Info().Str("event", "view").Dur("configuration_lag", g.state.ConfigLag()).Dur("records_lag", g.state.RecordsLag()).
			Str("relay", g.relay.box).Msg("reads the store itself, as other boxes don't send what they have")
	}
	g.selfReadUntil = now.Add(selfReadTime)
	return true
}
