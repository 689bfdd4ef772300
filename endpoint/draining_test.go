package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

// An endpoint that announced draining stays draining whatever its record says, also after it is
// removed and added again. Another process under its ID serves.
func TestMarkDraining(t *testing.T) {
	var r endpoint.Roster
	var unavailable []string
	r.OnUnavailable(func(e endpoint.Endpoint) { unavailable = append(unavailable, e.Incarnation()) })
	e := endpoint.Endpoint{ID: "e", StartMillis: 1, Service: "s"}
	r.Put(e)
	require.Len(t, r.Serving("s"), 1)
	require.True(t, r.MarkDraining(e.Incarnation()))
	require.False(t, r.MarkDraining(e.Incarnation()))
	require.Empty(t, r.Serving("s"))
	require.Equal(t, 1, r.CountDraining())
	require.Equal(t, []string{e.Incarnation()}, unavailable)
	e.Slots = 4
	r.Put(e)
	require.Empty(t, r.Serving("s"))
	r.Remove("e")
	r.Put(e)
	require.Empty(t, r.Serving("s"))
	r.Put(endpoint.Endpoint{ID: "e", StartMillis: 2, Service: "s"})
	require.Len(t, r.Serving("s"), 1)
}

// A mark received before the endpoint's record applies to the record.
func TestMarkDrainingBeforeRecord(t *testing.T) {
	var r endpoint.Roster
	require.Equal(t, []string{"e"}, r.Merge(endpoint.DrainingSet{Incarnations: []string{"e"}}))
	require.Empty(t, r.DrainingSet(0).Incarnations)
	fill(&r, 1)
	r.Put(endpoint.Endpoint{ID: "e", Service: "s"})
	require.Len(t, r.Serving("s"), 1)
	require.Equal(t, []string{"e"}, r.DrainingSet(0).Incarnations)
}

// Incarnations are sent only to a box whose set differs, and only until their records say that they
// drain.
func TestDrainingSetExchange(t *testing.T) {
	var a, b endpoint.Roster
	fill(&a, 3)
	fill(&b, 3)
	require.Zero(t, a.DrainingSet(0).Sum)
	a.MarkDraining("e-2")
	a.MarkDraining("e-0")
	l := a.DrainingSet(b.DrainingSet(0).Sum)
	require.Len(t, l.Incarnations, 2)
	require.Len(t, b.Merge(l), 2)
	require.Empty(t, b.Merge(l))
	require.Equal(t, a.DrainingSet(0).Sum, b.DrainingSet(0).Sum)
	require.Empty(t, a.DrainingSet(b.DrainingSet(0).Sum).Incarnations)
	for _, id := range []string{"e-0", "e-2"} {
		a.Put(endpoint.Endpoint{ID: id, Service: "s", Draining: true})
	}
	require.Zero(t, a.DrainingSet(0).Sum)
	a.Merge(b.DrainingSet(0))
	require.Zero(t, a.DrainingSet(0).Sum)
	require.Len(t, a.Serving("s"), 1)
}

// If more than maxDrainMarks endpoints drain, the oldest marks are dropped.
func TestDrainMarksAreBounded(t *testing.T) {
	var r endpoint.Roster
	fill(&r, 5000)
	for i := range 5000 {
		r.MarkDraining(fmt.Sprint("e-", i))
	}
	require.Empty(t, r.Serving("s"))
	require.Len(t, r.DrainingSet(0).Incarnations, 4096)
}

// The times of the simulation, in steps of 10 ms.
const (
	exchangeInterval = 50  // between two exchanges
	hopDelay         = 2   // of a message between two boxes
	runLength        = 900 // of one seed
	faultsEnd        = 600 // no fault is injected from then on
	convergenceTime  = 160 // member to relay, relay to relay, relay to member: three exchanges and a margin
)

// node is a simulated box with the last sum received from each other one. The first fleetModel.relays
// nodes are relays.
type node struct {
	endpoint.Roster
	index     int
	partition int // its side when the network is partitioned
	down      bool
	frozen    bool
	knownSums map[int]uint64
	lastFault int // when its last fault ended
}

// fleetModel simulates a fleet whose store is unreachable, so that no record changes.
type fleetModel struct {
	rnd              *rand.Rand
	now              int
	partitioned      bool
	partitionEnd     int
	nodes            []*node
	relays           int
	pending          map[int][]func()
	namesSent        int // number of incarnation names sent
	lastWithoutRelay int // the last time at which all relays were down or frozen
}

const endpointCount = 12

func (f *fleetModel) start(n *node) {
	*n = node{index: n.index, partition: n.partition, knownSums: map[int]uint64{}, lastFault: f.now}
	fill(&n.Roster, endpointCount)
}

func (f *fleetModel) canReach(a, b *node) bool {
	return !a.down && !b.down && !a.frozen && !b.frozen && (!f.partitioned || a.partition == b.partition)
}

// relayOf returns the first reachable relay, in an order that starts at the member's own.
func (f *fleetModel) relayOf(n *node) *node {
	for i := range f.relays {
		if r := f.nodes[(n.index+i)%f.relays]; f.canReach(n, r) {
			return r
		}
	}
	return nil
}

// send delivers a set after hopDelay, and calls then with the names that were unknown, if any.
func (f *fleetModel) send(from, to *node, l endpoint.DrainingSet, then func(added []string)) {
	f.namesSent += len(l.Incarnations)
	f.pending[f.now+hopDelay] = append(f.pending[f.now+hopDelay], func() {
		if !f.canReach(from, to) {
			return
		}
		if added := to.Merge(l); len(added) > 0 {
			then(added)
		}
	})
}

// broadcast forwards new names at once: a member to its relay, a relay to all other relays and to its
// members.
func (f *fleetModel) broadcast(n *node, added []string) {
	l := endpoint.DrainingSet{Incarnations: added}
	if n.index >= f.relays {
		if r := f.relayOf(n); r != nil {
			f.send(n, r, l, func(added []string) { f.broadcast(r, added) })
		}
		return
	}
	for _, r := range f.nodes[:f.relays] {
		if r != n {
			f.send(n, r, l, func(added []string) { f.broadcastToMembers(r, added) })
		}
	}
	f.broadcastToMembers(n, added)
}

func (f *fleetModel) broadcastToMembers(r *node, added []string) {
	for _, n := range f.nodes[f.relays:] {
		if f.relayOf(n) == r {
			f.send(r, n, endpoint.DrainingSet{Incarnations: added}, func([]string) {})
		}
	}
}

// exchange is one call between two boxes that swaps their sets.
func (f *fleetModel) exchange(a, b *node) {
	if !f.canReach(a, b) {
		return
	}
	l := a.DrainingSet(a.knownSums[b.index])
	b.knownSums[a.index] = l.Sum
	b.Merge(l)
	l2 := b.DrainingSet(l.Sum)
	a.knownSums[b.index] = l2.Sum
	a.Merge(l2)
	f.namesSent += len(l.Incarnations) + len(l2.Incarnations)
}

func (f *fleetModel) exchangeAll() {
	for _, n := range f.nodes {
		if n.index >= f.relays {
			if r := f.relayOf(n); r != nil {
				f.exchange(n, r)
			}
			continue
		}
		for _, r := range f.nodes[:n.index] {
			f.exchange(n, r)
		}
	}
}

// injectFault starts or ends a random fault.
func (f *fleetModel) injectFault() {
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	switch f.rnd.IntN(5) {
	case 0:
		n.down = true
	case 1:
		n.frozen = true
	case 2, 3:
		f.recover(n)
	case 4:
		f.partitioned = !f.partitioned
		f.partitionEnd = f.now
	}
}

func (f *fleetModel) recover(n *node) {
	switch {
	case n.down:
		f.start(n)
	case n.frozen:
		n.frozen, n.lastFault = false, f.now
	}
}

func newFleetModel(seed uint64) *fleetModel {
	m := &fleetModel{rnd: rand.New(rand.NewPCG(seed, 7)), pending: map[int][]func(){}, partitionEnd: -convergenceTime, lastWithoutRelay: -convergenceTime}
	boxes := 3 + m.rnd.IntN(40)
	if seed%20 == 0 {
		boxes = 300
	}
	m.relays = min(2+m.rnd.IntN(5), boxes)
	for i := range boxes {
		n := &node{index: i, partition: m.rnd.IntN(2)}
		m.start(n)
		n.lastFault = -convergenceTime
		m.nodes = append(m.nodes, n)
	}
	return m
}

// TestDrainingSetsConverge simulates fleets whose boxes are killed, frozen and partitioned while
// endpoints announce to random boxes that they drain. All boxes without a fault receive an
// announcement within 1.6 s. After all faults have ended, all boxes have the same set.
func TestDrainingSetsConverge(t *testing.T) {
	seeds := uint64(120)
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		m := newFleetModel(seed)
		announced := map[string]int{} // time of the announcement
		receiver := map[string]*node{}
		for ; m.now < runLength; m.now++ {
			for _, f := range m.pending[m.now] {
				f()
			}
			delete(m.pending, m.now)
			if m.now%exchangeInterval == 0 {
				m.exchangeAll()
			}
			switch {
			case m.now == faultsEnd:
				m.partitionEnd = m.now
				m.partitioned = false
				for _, n := range m.nodes {
					m.recover(n)
				}
			case m.now < faultsEnd && m.rnd.IntN(40) == 0:
				m.injectFault()
			}
			if n := m.nodes[m.rnd.IntN(len(m.nodes))]; m.now < faultsEnd && m.rnd.IntN(50) == 0 && !n.down && !n.frozen {
				e := fmt.Sprint("e-", m.rnd.IntN(endpointCount))
				if n.MarkDraining(e) {
					if _, ok := announced[e]; !ok {
						announced[e], receiver[e] = m.now, n
					}
					m.broadcast(n, []string{e})
				}
			}
			if !slices.ContainsFunc(m.nodes[:m.relays], func(n *node) bool { return !n.down && !n.frozen }) {
				m.lastWithoutRelay = m.now
			}
			m.checkPropagation(t, seed, announced, receiver)
		}
		sum := m.nodes[0].DrainingSet(0).Sum
		for _, n := range m.nodes {
			require.Equal(t, sum, n.DrainingSet(0).Sum, "seed %d: box %d of %d", seed, n.index, len(m.nodes))
		}
		names := m.namesSent
		m.exchangeAll()
		require.Equal(t, names, m.namesSent, "seed %d: names are sent that the receiver has", seed)
	}
}

// checkPropagation requires that every box without a fault since before an announcement has received
// it after convergenceTime. Announcements made while all relays were unavailable are skipped: members
// take over the relay slots only seconds later, which the simulation does not model.
func (f *fleetModel) checkPropagation(t *testing.T, seed uint64, announced map[string]int, receiver map[string]*node) {
	for e, at := range announced {
		healthy := func(n *node) bool { return !n.down && !n.frozen && n.lastFault+convergenceTime <= at }
		if f.now != at+convergenceTime || f.partitioned || f.partitionEnd+convergenceTime > at ||
			f.lastWithoutRelay+convergenceTime > at || !healthy(receiver[e]) {
			continue
		}
		for _, n := range f.nodes {
			if healthy(n) {
				got, ok := n.Get(e)
				require.True(t, ok && got.Draining, "seed %d: box %d of %d does not know of %s", seed, n.index, len(f.nodes), e)
			}
		}
	}
}
