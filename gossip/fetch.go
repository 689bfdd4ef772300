package gossip

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetstate"
)

// fetchTimeout limits a fetch of a configuration or of records, including the time in the sender's
// queue. In this time a relay with a link of 20 Mbit/s sends 240 KB to each of a hundred members.
const fetchTimeout = 10 * time.Second

// maxConcurrentSends limits how many fetches of a kind a box answers at once; others queue.
const maxConcurrentSends = 4

// staleFetchAge is the age from which a fetch is cancelled if its source is unreachable. A connection
// stalled by a partition reports no error, and another box has the same data.
const staleFetchAge = time.Second

// announcement is a version of state that the box at an address has.
type announcement struct {
	version uint64
	address string
}

// fetch fetches one kind of state from other boxes. Versions that are announced while one is being fetched are not
// fetched one by one: after it, the newest one is. The zero value is ready to use.
type fetch struct {
	newest    announcement
	failures  int // in a row
	number    int // of the last fetch
	from      string
	startedAt time.Time
	cancel    context.CancelFunc // nil while no fetch is in progress
}

// catchUp fetches the configuration and the records from a box that has newer ones. It doesn't block
// the rounds: within the time limit of a round, no member received its records when all asked at
// once, and their relay sent them repeatedly.
func (g *Gossip) catchUp(from string, version, revision uint64) {
	if v, _ := g.state.RawConfig(); version > v {
		g.startFetch(&g.configFetch, announcement{version, from}, g.fetchConfiguration)
	}
	if revision > g.state.Revision() {
		g.startFetch(&g.recordsFetch, announcement{revision, from}, g.fetchRecords)
	}
}

// fetchFunc fetches from a box what is newer there, and returns this box's version then.
type fetchFunc func(c context.Context, from string) (uint64, error)

// startFetch starts a fetch, unless one from the same box or from a reachable one is in progress.
func (g *Gossip) startFetch(f *fetch, a announcement, run fetchFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.version > f.newest.version {
		f.newest = a
	}
	if f.cancel != nil {
		if f.from == a.address || boottime.Since(f.startedAt) < staleFetchAge || g.isReachableRelay(f.from) {
			return
		}
		f.cancel()
	}
	g.beginFetch(f, a, run)
}

// beginFetch starts a fetch, and further ones after it while newer versions are announced. The lock must be held.
func (g *Gossip) beginFetch(f *fetch, a announcement, run fetchFunc) {
	if g.stopped {
		return
	}
	c, cancel := context.WithTimeout(g.ctx, fetchTimeout)
	f.number++
	number := f.number
	f.from, f.startedAt, f.cancel = a.address, boottime.Now(), cancel
	g.group.Go(func() {
		defer cancel()
		version, err := run(c, a.address)
		g.mu.Lock()
		defer g.mu.Unlock()
		if f.number != number {
			return // another one has taken its place
		}
		f.cancel = nil
		g.logFetch(f, a, version, err)
		// A box that doesn't have what it announced is asked again in the next round only.
		if err == nil && version >= a.version && f.newest.version > version {
			g.beginFetch(f, f.newest, run)
		}
	})
}

// logFetch logs the first failed fetch of a series, further ones at long intervals, and the end of the series. The lock must be
// held.
func (g *Gossip) logFetch(f *fetch, a announcement, version uint64, err error) {
	const interval = 20
	if err == nil && f.failures == 0 {
		return
	}
	message := "fetched again"
	if err != nil {
		f.failures++
		message = "not fetched; retried in the next round"
	}
	if err == nil || f.failures%interval == 1 {
		g.log.Info().Str("event", "fetch").Str("from", a.address).Uint64("announced", a.version).Uint64("newest", f.newest.version).
			Uint64("version", version).Int("failures", f.failures).Dur("took", boottime.Since(f.startedAt)).Err(err).Msg(message)
	}
	if err == nil {
		f.failures = 0
	}
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
func (g *Gossip) fetchConfiguration(c context.Context, from string) (uint64, error) {
	v, _ := g.state.RawConfig()
	var zip []byte
	err := g.node.Bulk.Call(c, from, "gossip.configuration", v, &zip)
	if err == nil && len(zip) > 0 {
		var raw []byte
		if raw, err = unpack(zip); err == nil {
			err = g.state.Install(raw, from)
		}
	}
	v, _ = g.state.RawConfig()
	return v, err
}

// fetchRecords fetches the endpoint records that this box lacks.
func (g *Gossip) fetchRecords(c context.Context, from string) (uint64, error) {
	var zip []byte
	err := g.node.Bulk.Call(c, from, "gossip.records", g.state.Revision(), &zip)
	if err == nil {
		var r fleetstate.Records
		if r, err = unpackRecords(zip); err == nil {
			g.state.Merge(r)
		}
	}
	return g.state.Revision(), err
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
