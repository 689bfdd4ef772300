package gossip

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// fetchTimeout limits a fetch of a configuration or of records, including the time in the sender's
// queue. In this time a relay with a link of 20 Mbit/s sends 240 KB to each of a hundred members.
const fetchTimeout = 10 * time.Second

// maxConcurrentSends limits how many fetches of a kind a box answers at once; others queue.
const maxConcurrentSends = 4

// staleFetchAge is the age from which a fetch is cancelled if its source is unreachable. A connection
// stalled by a partition reports no error, and another box has the same data.
const staleFetchAge = time.Second

// fetch is a fetch in progress. The zero value means none.
type fetch struct {
	from      string
	startedAt time.Time
	cancel    context.CancelFunc
}

// catchUp fetches the configuration and the records from a box that has newer ones. It doesn't block
// the rounds: within the time limit of a round, no member received its records when all asked at
// once, and their relay sent them repeatedly.
func (g *Gossip) catchUp(from string, version, revision uint64) {
	if v, _ := g.state.RawConfig(); version > v {
		g.startFetch(&g.configFetch, from, g.fetchConfiguration)
	}
	if revision > g.state.Revision() {
		g.startFetch(&g.recordsFetch, from, g.fetchRecords)
	}
}

// startFetch starts a fetch, unless one from the same box or from a reachable one is in progress.
func (g *Gossip) startFetch(f *fetch, from string, run func(c context.Context, from string)) {
	g.mu.Lock()
	if f.cancel != nil {
		if f.from == from || boottime.Since(f.startedAt) < staleFetchAge || g.isReachableRelay(f.from) {
			g.mu.Unlock()
			return
		}
		f.cancel()
	}
	c, cancel := context.WithTimeout(g.ctx, fetchTimeout)
	startedAt := boottime.Now()
	*f = fetch{from: from, startedAt: startedAt, cancel: cancel}
	g.mu.Unlock()
	g.spawn(func() {
		defer cancel()
		run(c, from)
		g.mu.Lock()
		defer g.mu.Unlock()
		if f.startedAt.Equal(startedAt) {
			*f = fetch{}
		}
	})
}

// isReachableRelay reports whether an address is that of this box's relay, or of another relay that
// has reported recently. The lock must be held.
func (g *Gossip) isReachableRelay(address string) bool {
	if g.relayAddress == address {
		return true
	}
	for _, h := range g.otherRelays {
		if h.Address == address && boottime.Since(h.receivedAt) < unreachableAfter {
			return true
		}
	}
	return false
}

// fetchConfiguration fetches a configuration newer than this box's.
func (g *Gossip) fetchConfiguration(c context.Context, from string) {
	v, _ := g.state.RawConfig()
	var raw []byte
	if err := g.node.Bulk.Call(c, from, "gossip.configuration", v, &raw); err != nil || len(raw) == 0 {
		g.log.Debug().Str("event", "configuration").Str("from", from).Err(err).Msg("not fetched; retried in the next round")
		return
	}
	g.installConfiguration(raw, from)
}

// fetchRecords fetches the endpoint records that this box lacks.
func (g *Gossip) fetchRecords(c context.Context, from string) {
	var zip []byte
	if err := g.node.Bulk.Call(c, from, "gossip.records", g.state.Revision(), &zip); err != nil {
		g.log.Debug().Str("event", "endpoints").Str("from", from).Err(err).Msg("not fetched; retried in the next round")
		return
	}
	r, err := unpackRecords(zip)
	if err != nil {
		g.log.Error().Str("event", "endpoints").Str("from", from).Err(err).Msg("records not taken; retried in the next round")
		return
	}
	g.state.Merge(r)
}

// catchUpFromRelays fetches from a relay with a newer configuration or newer records, since its
// push of the change may have been lost.
func (g *Gossip) catchUpFromRelays() {
	v, _ := g.state.RawConfig()
	at := g.state.Revision()
	var from Status
	g.mu.Lock()
	for _, h := range g.otherRelays {
		if boottime.Since(h.receivedAt) < unreachableAfter && (h.Version > v || h.Revision > at) {
			from, v, at = h.Status, max(v, h.Version), max(at, h.Revision)
		}
	}
	g.mu.Unlock()
	if from.Address != "" {
		g.catchUp(from.Address, from.Version, from.Revision)
	}
}
