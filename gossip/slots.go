package gossip

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/store"
)

// relaysPerDataCentre is the number of relays in each data centre. With two, the other boxes
// still receive changes of the store while one relay is lost.
const relaysPerDataCentre = 2

// slotLookupInterval is the time between two lookups of the relay slots.
const slotLookupInterval = 700 * time.Millisecond

// lapsedSlotGrace is how long slots that lapsed during an outage of the store are reserved for
// their holders after the outage. An outage longer than the leases ends all of them. If the first
// box to look claimed each slot, all state and all leases of the relays would move at the moment
// when the store returns: without the grace period, 359 of 2,434 and 648 of 2,745 requests in the
// six seconds after an outage of 8 s were refused on 70 boxes, because the shares of their limits
// were still leased to the former relays; with it, none were.
const lapsedSlotGrace = 2 * time.Second

// A box waits before it claims a free slot, so that boxes with faster links claim it first: a relay
// sends all records to each of its members when they have lost theirs. The delay is the time that
// claimDelayBits take on the box's own link, up to maxClaimDelay. The first lookup of the slots is
// at most maxFirstLookupDelay after the start.
const (
	claimDelayBits      = 10e6
	maxClaimDelay       = time.Second
	maxFirstLookupDelay = 300 * time.Millisecond
)

// startupGrace is the time after the start in which a box that has found no relay doesn't watch the
// store itself. Without this grace period, all boxes would read everything when they start at once.
const startupGrace = 1500 * time.Millisecond

// relaySlot is one slot for a relay: its key in the store, and the box that holds it.
type relaySlot struct {
	dataCentre, key, box, address string

	incarnation string // of the process that claimed it
	revision    uint64
	lapsedAt    time.Time // when its loss was noticed; zero while the store has it
}

// slotValue returns the value that this box writes to its slot.
func (g *Gossip) slotValue() []byte {
	return []byte(g.Box + " " + g.Address + " " + g.Quota.Incarnation)
}

func (g *Gossip) slotKey(n int) string { return fmt.Sprintf("%s%s/%d", g.Prefix, g.DataCentre, n) }

// parseSlot decodes a slot from the store.
func (g *Gossip) parseSlot(i store.Item) relaySlot {
	dc, _, _ := strings.Cut(strings.TrimPrefix(i.Key, g.Prefix), "/")
	box, rest, _ := strings.Cut(string(i.Value), " ")
	address, incarnation, _ := strings.Cut(rest, " ")
	return relaySlot{dataCentre: dc, key: i.Key, box: box, address: address, incarnation: incarnation, revision: i.Revision}
}

// applySlots applies changes of the slots from the store. Slots that vanish because of an outage are
// kept as lapsed.
func (g *Gossip) applySlots(items []store.Item, whole bool, _ uint64) {
	unsettled := g.session.OutageGrace(lapsedSlotGrace) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := maps.Clone(g.slots)
	if whole {
		g.slots = map[string]relaySlot{}
	}
	for _, i := range items {
		if i.Deleted {
			delete(g.slots, i.Key)
			continue
		}
		g.slots[i.Key] = g.parseSlot(i)
	}
	for k, s := range previous {
		if _, exists := g.slots[k]; exists || !unsettled {
			continue
		}
		if s.lapsedAt.IsZero() {
			s.lapsedAt = boottime.Now()
		}
		g.slots[k] = s
	}
}

// dropLapsedSlots drops slots that lapsed during an outage and were not claimed again by their
// holders within lapsedSlotGrace.
func (g *Gossip) dropLapsedSlots() {
	unsettled := g.session.OutageGrace(lapsedSlotGrace) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.slots, func(_ string, s relaySlot) bool {
		return !unsettled && !s.lapsedAt.IsZero() && boottime.Since(s.lapsedAt) > lapsedSlotGrace
	})
}

// holdsSlot reports whether this box is a relay, by its own view of the slots.
func (g *Gossip) holdsSlot() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.slots {
		if s.box == g.Box && s.address == g.Address {
			return true
		}
	}
	return false
}

// claimDelay returns how long this box leaves a free slot to others.
func (g *Gossip) claimDelay() time.Duration {
	if g.LinkMbps <= 0 {
		return 0
	}
	return min(time.Duration(claimDelayBits/(g.LinkMbps*1e6)*float64(time.Second)), maxClaimDelay)
}

// inStartupGrace reports whether this process may not have found a relay yet because it has just
// started.
func (g *Gossip) inStartupGrace() bool { return boottime.Since(g.startedAt) < startupGrace }

// beginSlotLookup reports whether a lookup of the slots is due, and records its time.
func (g *Gossip) beginSlotLookup() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	first := g.lastLookup.IsZero() && now.Sub(g.startedAt) < min(g.claimDelay(), maxFirstLookupDelay)
	if first || now.Before(g.nextLookup) {
		return false
	}
	g.lastLookup, g.nextLookup = now, now.Add(slotLookupInterval)
	return true
}

// mayClaimSlot reports whether this box may claim a free slot of its data centre now. A slot that is
// free at the first lookups counts as free since the start.
func (g *Gossip) mayClaimSlot() bool {
	vacant := g.countLocalRelays() < relaysPerDataCentre
	g.mu.Lock()
	defer g.mu.Unlock()
	if !vacant {
		g.slotFreeSince = time.Time{}
		return false
	}
	now := boottime.Now()
	if g.slotFreeSince.IsZero() {
		g.slotFreeSince = now
		if g.startedAt.Add(maxFirstLookupDelay + slotLookupInterval).After(now) {
			g.slotFreeSince = g.startedAt
		}
	}
	left := g.claimDelay() - now.Sub(g.slotFreeSince)
	if left > 0 {
		g.nextLookup = now.Add(min(left, slotLookupInterval))
	}
	return left <= 0
}

// claimSlot looks up the slots, and claims one of this data centre if it is free.
func (g *Gossip) claimSlot(c context.Context) {
	l := g.session.Lease()
	if l == 0 && g.inStartupGrace() || !g.beginSlotLookup() {
		return
	}
	items, at, err := g.Store.Range(c, g.Prefix)
	if err != nil {
		return
	}
	g.slotVacant = false
	g.applySlots(items, true, at)
	if l == 0 || g.holdsSlot() || g.session.OutageGrace(lapsedSlotGrace) > 0 || !g.mayClaimSlot() {
		return
	}
	if l, err = g.session.EnsureLease(c); err != nil {
		return
	}
	for n := range relaysPerDataCentre {
		k := g.slotKey(n)
		if _, taken := g.slotByKey(k); taken {
			continue
		}
		_, err := g.Store.Commit(c, store.Change{
			If:  []store.Condition{{Key: k}},
			Put: []store.Put{{Key: k, Value: g.slotValue(), Lease: l}},
		})
		wasDoubtful := g.claimDoubtful
		g.claimDoubtful = errors.Is(err, store.ErrOutcomeUnknown)
		if err == nil {
			g.applySlots([]store.Item{{Key: k, Value: g.slotValue()}}, false, 0)
			g.log.Info().Str("event", "relay").Str("place", k).Msg("claimed a relay slot")
			return
		}
		if !errors.Is(err, store.ErrConflict) {
			return
		}
		if wasDoubtful {
			break // an earlier claim of this box may have been carried out just now
		}
	}
	// Other boxes were faster; look up immediately which they are.
	g.requestSlotLookup()
}

// requestSlotLookup makes the next round look up the slots.
func (g *Gossip) requestSlotLookup() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextLookup = time.Time{}
}

// takeOverSlot puts a slot that an earlier process of this box held, or that lapsed during an outage
// of the store, under this process's lease. Otherwise the slot would become free some seconds after
// the restart, and all members and leases of this relay would move once more.
func (g *Gossip) takeOverSlot(c context.Context) {
	l := g.session.Lease()
	s, ok := g.formerSlot()
	if l == 0 || !ok || g.session.StoreUnreachable() {
		return
	}
	condition := store.Condition{Key: s.key, Revision: s.revision}
	if !s.lapsedAt.IsZero() {
		condition.Revision = 0
	}
	at, err := g.Store.Commit(c, store.Change{
		If:  []store.Condition{condition},
		Put: []store.Put{{Key: s.key, Value: g.slotValue(), Lease: l}},
	})
	if err != nil {
		g.log.Info().Str("event", "relay").Str("place", s.key).Err(err).Msg("not kept; claimed again when it is free")
		return
	}
	g.applySlots([]store.Item{{Key: s.key, Value: g.slotValue(), Revision: at}}, false, 0)
	g.log.Info().Str("event", "relay").Str("place", s.key).Bool("lapsed", !s.lapsedAt.IsZero()).Msg("kept")
}

// formerSlot returns a slot of this box that another process claimed or that has lapsed.
func (g *Gossip) formerSlot() (relaySlot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.slots {
		if s.box == g.Box && s.address == g.Address && (s.incarnation != g.Quota.Incarnation || !s.lapsedAt.IsZero()) {
			return s, true
		}
	}
	return relaySlot{}, false
}

func (g *Gossip) slotByKey(key string) (relaySlot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.slots[key]
	return s, ok
}

// relayTargets returns the other relays: local are those of this data centre, rotated by slotOffset
// so that members spread over them, and remote those of other data centres.
func (g *Gossip) relayTargets() (local, remote []relaySlot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n := range relaysPerDataCentre {
		k := g.slotKey((n + g.slotOffset) % relaysPerDataCentre)
		if s, ok := g.slots[k]; ok && s.box != g.Box {
			local = append(local, s)
		}
	}
	for _, s := range g.slots {
		if s.box != g.Box && s.dataCentre != g.DataCentre {
			remote = append(remote, s)
		}
	}
	return local, remote
}
