package gossip

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/store"
)

// What processes that start all at once have to know of the time before is read for
// readFor after the start, until it is known, and longer while nobody tells how many
// boxes there are. It is written at most each writeEvery,
// when an account is or was short, at once when other contents are refused, or when the
// number of boxes has differed from what stands by more than a part of it for countAfter: boxes that restart in turn
// cause no writes. What is known of the endpoints' speeds is written each speedsEvery. A process that has started writes nothing until heardAfter, when
// it has heard the others.
const (
	readFor     = 3 * time.Second
	heardAfter  = 1500 * time.Millisecond
	writeEvery  = time.Second
	countChange = 0.1
	countAfter  = 5 * time.Second
	speedsEvery = 10 * time.Second
)

// record is what is written: what the quotas need to know, how fast the endpoints of each
// service were, and which contents are refused since endpoints end under them.
type record struct {
	quota.Before
	Speeds   map[string]estimate.Stats
	Contents []quarantine.Suspect
}

// before is what this box knows of the record in the store.
type before struct {
	began   time.Time
	read    bool
	stands  quota.Before
	at      uint64 // the revision of what stands; zero for none
	wrote   time.Time
	differs time.Time // since when another number is true; zero while it is not
	refused uint64    // the sum of the refused contents that stand
}

// readBefore tells a process that has just started what was before.
func (g *Gossip) readBefore(c context.Context) {
	s := &g.before
	if s.began.IsZero() {
		s.began = boottime.Now()
	}
	late := boottime.Since(s.began) > readFor
	if g.First && !late {
		s.read = true
		g.Expect(quota.Before{})
		return
	}
	if s.read || late && (g.session.StoreLost() || g.Quota.Division().Version > 0 && !g.firstPlace()) {
		return
	}
	i, err := g.Store.Get(c, g.BeforeKey)
	if err != nil {
		return
	}
	s.read, s.at = true, i.Revision
	if i.Revision == 0 {
		g.Expect(quota.Before{})
		return
	}
	var p record
	if err := json.Unmarshal(i.Value, &p); err != nil {
		g.log.Error().Str("event", "before").Str("key", i.Key).Err(err).Msg("not read; boxes are counted as they are heard")
		return
	}
	p.Division.Version = i.Revision
	s.stands, s.refused = p.Before, quarantine.Sum(p.Contents)
	g.noteBefore(p.Before, "known from the store")
	g.Quarantine.Merge(p.Contents, boottime.Now())
	if late {
		g.Quota.Adopt(p.Division, boottime.Now())
		return
	}
	g.Expect(p.Before)
	for n, v := range p.Speeds {
		p.Speeds[n] = v.Scaled(1 / float64(max(p.Boxes, 1)))
	}
	g.Recall(p.Speeds)
}

// writeBefore writes what has changed. One relay does, the first in the order of
// their places.
func (g *Gossip) writeBefore(c context.Context, others int) {
	s := &g.before
	now := boottime.Now()
	if others == 0 || now.Sub(s.began) < heardAfter || !s.read || !g.firstPlace() {
		return
	}
	p := g.Before(others + 1)
	refused := g.Quarantine.Refused(now)
	sum := quarantine.Sum(refused)
	if sum == s.refused && !s.counts(p, g.session.StoreUnresponsiveFor() > stale, now) {
		same := maps.Equal(p.Short, s.stands.Short) && now.Sub(s.wrote) < speedsEvery
		if same || now.Sub(s.wrote) < writeEvery {
			return
		}
		p.Boxes = max(s.stands.Boxes, p.Boxes)
	}
	s.wrote = now
	var at uint64
	b, err := json.Marshal(record{p, g.Speeds(), refused})
	if err == nil {
		at, err = g.Store.Commit(c, store.Change{
			If:  []store.Condition{{Key: g.BeforeKey, Revision: s.at}},
			Put: []store.Put{{Key: g.BeforeKey, Value: b}},
		})
	}
	if err != nil {
		s.read = false // another may have written, or this change taken effect
		g.log.Info().Str("event", "before").Int("boxes", p.Boxes).Err(err).Msg("not written; tried again")
		return
	}
	p.Division.Version, s.at = at, at
	g.Quota.Adopt(p.Division, now)
	g.noteBefore(p, "written")
	s.stands, s.refused, s.differs = p, sum, time.Time{}
}

// noteBefore logs what the record says: at most a line each writeEvery.
func (g *Gossip) noteBefore(p quota.Before, what string) {
	g.log.Info().Str("event", "before").Int("boxes", p.Boxes).Interface("short", p.Short).Uint64("revision", p.Division.Version).
		Interface("counts", p.Division.Boxes).Interface("weights", p.Division.Weights).Msg(what)
}

// counts reports whether the number of boxes has been another for long enough. While
// the store is away this box may be the one that is cut off, and hear few for that.
func (s *before) counts(p quota.Before, away bool, now time.Time) bool {
	d := float64(p.Boxes - s.stands.Boxes)
	if away || max(d, -d) <= countChange*float64(s.stands.Boxes) {
		s.differs = time.Time{}
		return false
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	return now.Sub(s.differs) >= countAfter
}

// firstPlace reports whether this box has the first of all relays' places.
func (g *Gossip) firstPlace() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := seat{}
	for k, s := range g.seats {
		if first.key == "" || k < first.key {
			first = s
		}
	}
	return first.key != "" && first.box == g.Box && first.address == g.Address
}
