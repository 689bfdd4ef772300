package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/newest"
)

// fetchTimeout limits a fetch of a configuration or of records, including the time in the sender's
// queue. In this time a relay with a link of 20 Mbit/s sends 240 KB to each of a hundred members.
const fetchTimeout = 10 * time.Second

// maxConcurrentSends limits how many fetches of a kind a box answers at once; others queue.
const maxConcurrentSends = 4

// A fetch of which nothing comes for stallTime is joined by one from another box, and has failed after giveUpTime. In that time
// it may also wait in the sender's queue.
const (
	stallTime  = 400 * time.Millisecond
	giveUpTime = 2 * time.Second
)

// newFetchers sets up the fetches of the configuration and of the records. They don't block the rounds: within the time
// limit of a round, no member received its records when all asked at once, and their relay sent them repeatedly.
func (g *Gossip) newFetchers() {
	configVersion := func() uint64 {
		v, _ := g.state.RawConfig()
		return v
	}
	g.configFetcher = g.newFetcher("configuration", configVersion, g.fetchConfiguration)
	g.recordsFetcher = g.newFetcher("records", g.state.Revision, g.fetchRecords)
}

func (g *Gossip) newFetcher(kind string, version func() uint64, fetch func(c context.Context, from newest.Source, onBytes func(int)) error) *newest.Fetcher {
	f := newest.New(g.ctx)
	f.Kind, f.Version, f.Fetch, f.Log = kind, version, fetch, g.log
	f.Others, f.StallTime, f.GiveUp, f.Timeout = g.otherSources, stallTime, giveUpTime, fetchTimeout
	return f
}

// catchUp fetches the configuration and the records from a box that has newer ones.
func (g *Gossip) catchUp(from string, version, revision uint64) {
	g.state.Announce(version, revision)
	g.configFetcher.Announce(version, from)
	g.recordsFetcher.Announce(revision, from)
}

// otherSources returns the addresses of relays that may have what another box announced, those of this data centre first.
func (g *Gossip) otherSources() []string {
	local, remote := g.relayTargets()
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	addresses := make([]string, 0, len(local)+len(remote))
	for _, s := range append(local, remote...) {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// fetchConfiguration fetches a configuration newer than this box's.
func (g *Gossip) fetchConfiguration(c context.Context, from newest.Source, onBytes func(int)) error {
	v, _ := g.state.RawConfig()
	var zip []byte
	if err := g.node.Bulk.Transfer(c, from.Address, "gossip.configuration", v, &zip, from.Renew, onBytes); err != nil {
		return err
	}
	if len(zip) == 0 {
		return nil // it has none that is newer
	}
	raw, err := unpack(zip)
	if err != nil {
		return err
	}
	return g.state.Install(raw, from.Address)
}

// fetchRecords fetches the endpoint records that this box lacks.
func (g *Gossip) fetchRecords(c context.Context, from newest.Source, onBytes func(int)) error {
	var zip []byte
	if err := g.node.Bulk.Transfer(c, from.Address, "gossip.records", g.state.Revision(), &zip, from.Renew, onBytes); err != nil {
		return err
	}
	r, err := unpackRecords(zip)
	if err != nil {
		return err
	}
	g.state.Merge(r)
	return nil
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
