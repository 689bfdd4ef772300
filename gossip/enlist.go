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

// relays is how many boxes of a data centre watch the store: with two, one may
// be lost without a moment in which the others are told nothing.
const relays = 2

// enlistPause is the time between two looks for a free place as relay.
const enlistPause = 700 * time.Millisecond

// settle is how long after an outage of the store places that lapsed in it are left to the
// boxes that had them. An outage longer than their leases ends them all; if the first box
// that looks took each, all that relays hold and know would have to move at the moment
// when the store is back: of 2,434 and 2,745 requests in the six seconds after 8 s of
// outage 359 and 648 were refused, for limits whose parts had been leased to the relays
// before (70 boxes, two courses), and none with it.
const settle = 2 * time.Second

// A free place of a relay is left to boxes with wider links for the time that courtesyBits take on
// the box's own link, maxCourtesy at most: a relay sends all records to each of its members when
// they have lost theirs. A box looks for the relays no later than firstLook after its start.
const (
	courtesyBits = 10e6
	maxCourtesy  = time.Second
	firstLook    = 300 * time.Millisecond
)

// alone is the age from which on a box that has found no relay watches the store itself: each of
// all boxes that start at once would read everything otherwise.
const alone = 1500 * time.Millisecond

// seat is one place for a relay: its key, who has it, and where that box is.
type seat struct {
	dataCentre, key, box, address string

	life     string // of the process that took it
	revision uint64
	lapsed   time.Time // when the store was found to have lost it; zero while it stands
}

// value is what a relay writes at its place.
func (g *Gossip) value() []byte { return []byte(g.Box + " " + g.Address + " " + g.Quota.Incarnation) }

func (g *Gossip) seatKey(n int) string { return fmt.Sprintf("%s%s/%d", g.Prefix, g.DataCentre, n) }

// parse reads a place from the store.
func (g *Gossip) parse(i store.Item) seat {
	dc, _, _ := strings.Cut(strings.TrimPrefix(i.Key, g.Prefix), "/")
	box, rest, _ := strings.Cut(string(i.Value), " ")
	address, life, _ := strings.Cut(rest, " ")
	return seat{dataCentre: dc, key: i.Key, box: box, address: address, life: life, revision: i.Revision}
}

// apply takes the places from the store.
func (g *Gossip) apply(items []store.Item, whole bool, _ uint64) {
	unsettled := g.session.OutageGrace(settle) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	before := maps.Clone(g.seats)
	if whole {
		g.seats = map[string]seat{}
	}
	for _, i := range items {
		if i.Deleted {
			delete(g.seats, i.Key)
			continue
		}
		g.seats[i.Key] = g.parse(i)
	}
	for k, s := range before {
		if _, stands := g.seats[k]; stands || !unsettled {
			continue
		}
		if s.lapsed.IsZero() {
			s.lapsed = boottime.Now()
		}
		g.seats[k] = s
	}
}

// dropLapsed gives up places that lapsed in an outage and that the boxes which had them
// have not taken again.
func (g *Gossip) dropLapsed() {
	unsettled := g.session.OutageGrace(settle) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.seats, func(_ string, s seat) bool {
		return !unsettled && !s.lapsed.IsZero() && boottime.Since(s.lapsed) > settle
	})
}

// holds reports whether this box is a relay as far as it knows.
func (g *Gossip) holds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.seats {
		if s.box == g.Box && s.address == g.Address {
			return true
		}
	}
	return false
}

// courtesy is how long this box leaves a free place to others.
func (g *Gossip) courtesy() time.Duration {
	if g.LinkMbps <= 0 {
		return 0
	}
	return min(time.Duration(courtesyBits/(g.LinkMbps*1e6)*float64(time.Second)), maxCourtesy)
}

// young reports whether this process has just started, and may not have looked for its relays yet.
func (g *Gossip) young() bool { return boottime.Since(g.began) < alone }

// lookDue reports whether it is time to look at the places, and notes that it is done.
func (g *Gossip) lookDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	first := g.looked.IsZero() && now.Sub(g.began) < min(g.courtesy(), firstLook)
	if first || now.Before(g.next) {
		return false
	}
	g.looked, g.next = now, now.Add(enlistPause)
	return true
}

// mayTake reports whether this box may take a free place of its data centre now. A place that is
// free at the start has been free since then.
func (g *Gossip) mayTake() bool {
	vacant := g.places() < relays
	g.mu.Lock()
	defer g.mu.Unlock()
	if !vacant {
		g.freeSince = time.Time{}
		return false
	}
	now := boottime.Now()
	if g.freeSince.IsZero() {
		g.freeSince = now
		if g.began.Add(firstLook + enlistPause).After(now) {
			g.freeSince = g.began
		}
	}
	left := g.courtesy() - now.Sub(g.freeSince)
	if left > 0 {
		g.next = now.Add(min(left, enlistPause))
	}
	return left <= 0
}

// enlist looks at the places, and takes one of its data centre's if it is free.
func (g *Gossip) enlist(c context.Context) {
	l := g.session.Lease()
	if l == 0 && g.young() || !g.lookDue() {
		return
	}
	items, at, err := g.Store.Range(c, g.Prefix)
	if err != nil {
		return
	}
	g.vacant = false
	g.apply(items, true, at)
	if l == 0 || g.holds() || g.session.OutageGrace(settle) > 0 || !g.mayTake() {
		return
	}
	if l, err = g.session.EnsureLease(c); err != nil {
		return
	}
	for n := range relays {
		k := g.seatKey(n)
		if _, taken := g.seat(k); taken {
			continue
		}
		_, err := g.Store.Commit(c, store.Change{
			If:  []store.Condition{{Key: k}},
			Put: []store.Put{{Key: k, Value: g.value(), Lease: l}},
		})
		if err == nil {
			g.apply([]store.Item{{Key: k, Value: g.value()}}, false, 0)
			g.log.Info().Str("event", "relay").Str("place", k).Msg("this box watches the store for others")
			return
		}
		if !errors.Is(err, store.ErrConflict) {
			return
		}
	}
	// Others were faster: who they are is read at once.
	g.lookAgain()
}

// lookAgain lets the places be looked at in the next round.
func (g *Gossip) lookAgain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next = time.Time{}
}

// keepPlace puts a place that the process before this one had, or that lapsed in an outage
// of the store, under this one's lease. Else it is free some seconds after the restart, and
// all that this relay tells, and leases, moves once more.
func (g *Gossip) keepPlace(c context.Context) {
	l := g.session.Lease()
	s, ok := g.formerPlace()
	if l == 0 || !ok || g.session.StoreUnreachable() {
		return
	}
	stands := store.Condition{Key: s.key, Revision: s.revision}
	if !s.lapsed.IsZero() {
		stands.Revision = 0
	}
	at, err := g.Store.Commit(c, store.Change{
		If:  []store.Condition{stands},
		Put: []store.Put{{Key: s.key, Value: g.value(), Lease: l}},
	})
	if err != nil {
		g.log.Info().Str("event", "relay").Str("place", s.key).Err(err).Msg("not kept; looked for anew when it is free")
		return
	}
	g.apply([]store.Item{{Key: s.key, Value: g.value(), Revision: at}}, false, 0)
	g.log.Info().Str("event", "relay").Str("place", s.key).Bool("lapsed", !s.lapsed.IsZero()).Msg("kept")
}

// formerPlace returns the place that another process on this box took, or that lapsed.
func (g *Gossip) formerPlace() (seat, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.seats {
		if s.box == g.Box && s.address == g.Address && (s.life != g.Quota.Incarnation || !s.lapsed.IsZero()) {
			return s, true
		}
	}
	return seat{}, false
}

func (g *Gossip) seat(key string) (seat, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.seats[key]
	return s, ok
}

// own returns the relays of this data centre besides this box, in an order of
// this box's own, so that members spread over them; far the others'.
func (g *Gossip) targets() (own, far []seat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n := range relays {
		k := g.seatKey((n + g.turn) % relays)
		if s, ok := g.seats[k]; ok && s.box != g.Box {
			own = append(own, s)
		}
	}
	for _, s := range g.seats {
		if s.box != g.Box && s.dataCentre != g.DataCentre {
			far = append(far, s)
		}
	}
	return own, far
}
