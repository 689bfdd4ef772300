package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/store"
)

// Times of the snapshot in the store, which processes read when all start at once. A process
// tries to read it until snapshotReadTimeout after its start, and longer while it doesn't know how
// many boxes there are. It writes nothing before snapshotWriteDelay, when it has received the
// reports of the others.
//
// The snapshot is written immediately when the set of refused contents or of versions changes, or when the number
// of boxes has differed from the stored one by more than the ratio minBoxCountChange for
// boxCountChangeDelay; rolling restarts therefore cause no writes. While an account is short, or
// was, it is written at most once per snapshotWriteInterval. Endpoint statistics are written once
// per statsWriteInterval.
const (
	snapshotReadTimeout   = 3 * time.Second
	snapshotWriteDelay    = 1500 * time.Millisecond
	snapshotWriteInterval = time.Second
	minBoxCountChange     = 0.1
	boxCountChangeDelay   = 5 * time.Second
	statsWriteInterval    = 10 * time.Second
)

// snapshot is the stored value: the state of the quotas, the statistics of the endpoints of each
// service, the contents that are refused because endpoints crash under them, the versions of each service that had
// endpoints lately, and those of them that have some and are settled.
type snapshot struct {
	quota.Before
	Speeds   map[string]estimate.Stats
	Contents []quarantine.Suspect
	Versions map[string][]string
	Settled  map[string][]string
	Partial  bool // Versions may lack some
}

// maxSnapshotBytes bounds the snapshot. A value in the store may have up to a megabyte, and all boxes that start at once read
// the snapshot.
const maxSnapshotBytes = 512 << 10

// encode returns the value to be stored. One that is too large leaves out the statistics, which are soon collected again, and
// then the contents; the state of the quotas and the versions are never left out.
func (s snapshot) encode() ([]byte, error) {
	b, err := json.Marshal(s)
	for _, drop := range []func(){func() { s.Speeds = nil }, func() { s.Contents = nil }} {
		if err != nil || len(b) <= maxSnapshotBytes {
			return b, err
		}
		drop()
		b, err = json.Marshal(s)
	}
	if err == nil && len(b) > maxSnapshotBytes {
		err = fmt.Errorf("the snapshot has %d bytes of at most %d", len(b), maxSnapshotBytes)
	}
	return b, err
}

// snapshotRead is the result of a read of the snapshot.
type snapshotRead struct {
	item store.Item
	err  error
}

// snapshotState is what this box knows of the snapshot in the store.
type snapshotState struct {
	startedAt         time.Time
	read              bool
	pending           <-chan snapshotRead // of the read in progress; nil if there is none
	stored            quota.Before
	revision          uint64 // of stored; zero for none
	writtenAt         time.Time
	countDiffersSince time.Time           // zero while the number of boxes agrees with stored
	refusedSum        uint64              // checksum of the refused contents in stored
	versions, settled map[string][]string // in stored
}

// readSnapshot restores the snapshot after a process start.
func (g *Gossip) readSnapshot(c context.Context) {
	s := &g.snapshot
	if s.startedAt.IsZero() {
		s.startedAt = boottime.Now()
	}
	late := boottime.Since(s.startedAt) > snapshotReadTimeout
	if g.FirstStart && !late {
		s.read = true
		g.RestoreQuota(quota.Before{})
		g.restoreVersions(snapshot{Versions: map[string][]string{}}) // nothing was before
		return
	}
	if s.read || late && (g.session.StoreLost() || g.Quota.Division().Version > 0 && !g.holdsFirstSlot()) {
		return
	}
	i, ok := g.snapshotItem(c)
	if !ok {
		return
	}
	s.read, s.revision = true, i.Revision
	if i.Revision == 0 {
		g.state.Roster.Versions.RestoreNone()
		g.RestoreQuota(quota.Before{})
		return
	}
	var p snapshot
	if err := json.Unmarshal(i.Value, &p); err != nil {
		g.log.Error().Str("event", "before").Str("key", i.Key).Err(err).Msg("not read; counting boxes as they report")
		return
	}
	p.Division.Version = i.Revision
	s.stored, s.refusedSum, s.versions, s.settled = p.Before, quarantine.Sum(p.Contents), p.Versions, p.Settled
	g.restoreVersions(p)
	g.logSnapshot(p.Before, "read from the store")
	g.Quarantine.Merge(p.Contents, boottime.Now())
	if late {
		g.Quota.Adopt(p.Division, boottime.Now())
		return
	}
	g.RestoreQuota(p.Before)
	for n, v := range p.Speeds {
		p.Speeds[n] = v.Scaled(1 / float64(max(p.Boxes, 1)))
	}
	g.RestoreEndpointStats(p.Speeds)
}

// snapshotItem returns the stored snapshot, if it is read within the time limit of a call in a round. Otherwise the read goes on,
// and a later call returns its result, so that a slow link to the store doesn't hold up the rounds.
func (g *Gossip) snapshotItem(c context.Context) (store.Item, bool) {
	s := &g.snapshot
	if s.pending == nil {
		pending := make(chan snapshotRead, 1)
		s.pending = pending
		g.spawn(func() {
			i, err := g.Store.Get(g.ctx, g.SnapshotKey)
			pending <- snapshotRead{i, err}
		})
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	select {
	case r := <-s.pending:
		s.pending = nil
		return r.item, r.err == nil
	case <-x.Done():
		return store.Item{}, false
	}
}

// writeSnapshot writes the snapshot if it has changed. Only the relay with the first slot writes.
func (g *Gossip) writeSnapshot(c context.Context, others int) {
	s := &g.snapshot
	now := boottime.Now()
	if others == 0 || now.Sub(s.startedAt) < snapshotWriteDelay || !s.read || !g.holdsFirstSlot() {
		return
	}
	p := g.Snapshot(others + 1)
	refused := g.Quarantine.Lasting(now)
	sum := quarantine.Sum(refused)
	versions, settled := g.state.Roster.Versions.Snapshot(now)
	isSame := sum == s.refusedSum && maps.EqualFunc(versions, s.versions, slices.Equal) && maps.EqualFunc(settled, s.settled, slices.Equal)
	if isSame && !s.boxCountChanged(p, g.session.StoreUnresponsiveFor() > maxStoreSilence, now) {
		same := maps.Equal(p.Short, s.stored.Short) && now.Sub(s.writtenAt) < statsWriteInterval
		if same || now.Sub(s.writtenAt) < snapshotWriteInterval {
			return
		}
		p.Boxes = max(s.stored.Boxes, p.Boxes)
	}
	s.writtenAt = now
	var at uint64
	b, err := snapshot{p, g.EndpointStats(), refused, versions, settled, !g.state.Roster.Versions.IsUnbroken()}.encode()
	if err == nil {
		at, err = g.Store.Commit(c, store.Change{
			If:  []store.Condition{{Key: g.SnapshotKey, Revision: s.revision}},
			Put: []store.Put{{Key: g.SnapshotKey, Value: b}},
		})
	}
	if err != nil {
		s.read = false // another box may have written, or this write may have taken effect
		g.log.Info().Str("event", "before").Int("boxes", p.Boxes).Err(err).Msg("not written; retrying")
		return
	}
	p.Division.Version, s.revision = at, at
	g.Quota.Adopt(p.Division, now)
	g.logSnapshot(p, "written")
	s.stored, s.refusedSum, s.versions, s.settled, s.countDiffersSince = p, sum, versions, settled, time.Time{}
}

// restoreVersions adds the versions that were known before this process started. A snapshot of earlier software has none.
func (g *Gossip) restoreVersions(s snapshot) {
	if s.Versions != nil {
		g.state.Roster.Versions.Restore(s.Versions, s.Settled, !s.Partial, boottime.Now())
	}
}

// logSnapshot logs the state of the quotas in the snapshot.
func (g *Gossip) logSnapshot(p quota.Before, message string) {
	g.log.Info().Str("event", "before").Int("boxes", p.Boxes).Interface("short", p.Short).Uint64("revision", p.Division.Version).
		Interface("counts", p.Division.Boxes).Interface("weights", p.Division.Weights).Msg(message)
}

// boxCountChanged reports whether the number of boxes has differed for long enough. It ignores
// changes while the store is unreachable: this box may be partitioned and reach few others.
func (s *snapshotState) boxCountChanged(p quota.Before, storeDown bool, now time.Time) bool {
	d := float64(p.Boxes - s.stored.Boxes)
	if storeDown || max(d, -d) <= minBoxCountChange*float64(s.stored.Boxes) {
		s.countDiffersSince = time.Time{}
		return false
	}
	if s.countDiffersSince.IsZero() {
		s.countDiffersSince = now
	}
	return now.Sub(s.countDiffersSince) >= boxCountChangeDelay
}

// holdsFirstSlot reports whether this box holds the relay slot with the lowest key.
func (g *Gossip) holdsFirstSlot() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := relaySlot{}
	for k, s := range g.slots {
		if first.key == "" || k < first.key {
			first = s
		}
	}
	return first.key != "" && first.box == g.Box && first.address == g.Address
}
