package gossip

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// fetchLimit bounds how long it may take to fetch a configuration and records, its turn included:
// a relay with a link of 20 Mbit/s sends a hundred members 240 KB each in it.
const fetchLimit = 10 * time.Second

// sendsAtOnce is to how many boxes a box sends such answers at once; the others wait their turn.
const sendsAtOnce = 4

// catchUp fetches from another box what it knows and this box does not, without holding up the
// rounds: with the limit of a round no member got its records while all asked, and their relay sent
// them again and again.
func (g *Gossip) catchUp(address string, version, revision uint64) {
	if v, _ := g.known.Raw(); version <= v && revision <= g.known.Revision() {
		return
	}
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	g.spawn(func() {
		defer g.fetching.Store(false)
		c, cancel := context.WithTimeout(g.life, fetchLimit)
		defer cancel()
		g.takeConfiguration(c, address, version)
		g.takeRecords(c, address, revision)
	})
}

// takeConfiguration fetches a configuration that is newer than this box's.
func (g *Gossip) takeConfiguration(c context.Context, address string, version uint64) {
	v, _ := g.known.Raw()
	if version <= v {
		return
	}
	var raw []byte
	if err := g.node.Bulk.Call(c, address, "gossip.configuration", v, &raw); err != nil || len(raw) == 0 {
		g.log.Debug().Str("event", "configuration").Str("from", address).Err(err).Msg("not fetched; asked for again in the next round")
		return
	}
	g.install(raw, address)
}

// takeRecords fetches the endpoints' records that another box has and this one lacks.
func (g *Gossip) takeRecords(c context.Context, address string, revision uint64) {
	at := g.known.Revision()
	if revision <= at {
		return
	}
	var zip []byte
	if err := g.node.Bulk.Call(c, address, "gossip.records", at, &zip); err != nil {
		g.log.Debug().Str("event", "endpoints").Str("from", address).Err(err).Msg("not fetched; asked for again in the next round")
		return
	}
	r, err := unpackRecords(zip)
	if err != nil {
		g.log.Error().Str("event", "endpoints").Str("from", address).Err(err).Msg("records not taken; asked for again in the next round")
		return
	}
	g.known.Tell(r)
}

// fetch takes what a relay knows that has a newer configuration or newer records: what it told of
// a change may have been lost.
func (g *Gossip) fetch() {
	v, _ := g.known.Raw()
	at := g.known.Revision()
	var from Status
	g.mu.Lock()
	for _, h := range g.others {
		if boottime.Since(h.at) < lost && (h.Version > v || h.Revision > at) {
			from, v, at = h.Status, max(v, h.Version), max(at, h.Revision)
		}
	}
	g.mu.Unlock()
	if from.Address != "" {
		g.catchUp(from.Address, from.Version, from.Revision)
	}
}
