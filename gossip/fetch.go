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

// staleFetch is the age from which on a fetch is given up if its source is not heard any more: a
// connection that a cut holds up says nothing, and another box has what is asked for.
const staleFetch = time.Second

// fetch is one fetch under way; its zero value is none.
type fetch struct {
	from   string
	began  time.Time
	cancel context.CancelFunc
}

// catchUp fetches from another box what it knows and this box does not, without holding up the
// rounds: with the limit of a round no member got its records while all asked, and their relay sent
// them again and again.
func (g *Gossip) catchUp(from string, version, revision uint64) {
	if v, _ := g.known.RawConfig(); version > v {
		g.begin(&g.configFetch, from, g.takeConfiguration)
	}
	if revision > g.known.Revision() {
		g.begin(&g.recordsFetch, from, g.takeRecords)
	}
}

// begin fetches from a box, unless that is under way from it or from one that is still heard.
func (g *Gossip) begin(f *fetch, from string, take func(c context.Context, from string)) {
	g.mu.Lock()
	if f.cancel != nil {
		if f.from == from || boottime.Since(f.began) < staleFetch || g.hears(f.from) {
			g.mu.Unlock()
			return
		}
		f.cancel()
	}
	c, cancel := context.WithTimeout(g.life, fetchLimit)
	began := boottime.Now()
	*f = fetch{from: from, began: began, cancel: cancel}
	g.mu.Unlock()
	g.spawn(func() {
		defer cancel()
		take(c, from)
		g.mu.Lock()
		defer g.mu.Unlock()
		if f.began.Equal(began) {
			*f = fetch{}
		}
	})
}

// hears reports whether a box is the relay of this one, or a relay that it has lately heard. The
// lock must be held.
func (g *Gossip) hears(address string) bool {
	if g.relayAddress == address {
		return true
	}
	for _, h := range g.others {
		if h.Address == address && boottime.Since(h.at) < lost {
			return true
		}
	}
	return false
}

// takeConfiguration fetches a configuration that is newer than this box's.
func (g *Gossip) takeConfiguration(c context.Context, from string) {
	v, _ := g.known.RawConfig()
	var raw []byte
	if err := g.node.Bulk.Call(c, from, "gossip.configuration", v, &raw); err != nil || len(raw) == 0 {
		g.log.Debug().Str("event", "configuration").Str("from", from).Err(err).Msg("not fetched; asked for again in the next round")
		return
	}
	g.install(raw, from)
}

// takeRecords fetches the endpoints' records that another box has and this one lacks.
func (g *Gossip) takeRecords(c context.Context, from string) {
	var zip []byte
	if err := g.node.Bulk.Call(c, from, "gossip.records", g.known.Revision(), &zip); err != nil {
		g.log.Debug().Str("event", "endpoints").Str("from", from).Err(err).Msg("not fetched; asked for again in the next round")
		return
	}
	r, err := unpackRecords(zip)
	if err != nil {
		g.log.Error().Str("event", "endpoints").Str("from", from).Err(err).Msg("records not taken; asked for again in the next round")
		return
	}
	g.known.Merge(r)
}

// fetchNewer takes what a relay knows that has a newer configuration or newer records: what it told of
// a change may have been lost.
func (g *Gossip) fetchNewer() {
	v, _ := g.known.RawConfig()
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
