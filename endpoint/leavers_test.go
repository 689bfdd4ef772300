package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

// An endpoint that said that it leaves drains, whatever its record says, also one that is entered
// again; another process under its ID does not.
func TestLeave(t *testing.T) {
	var r endpoint.Roster
	var left []string
	r.OnLeave(func(e endpoint.Endpoint) { left = append(left, e.Incarnation()) })
	e := endpoint.Endpoint{ID: "e", Born: 1, Service: "s"}
	r.Put(e)
	require.Len(t, r.Serving("s"), 1)
	require.True(t, r.Leave(e.Incarnation()))
	require.False(t, r.Leave(e.Incarnation()))
	require.Empty(t, r.Serving("s"))
	require.Equal(t, 1, r.Draining())
	require.Equal(t, []string{e.Incarnation()}, left)
	e.Slots = 4
	r.Put(e)
	require.Empty(t, r.Serving("s"))
	r.Remove("e")
	r.Put(e)
	require.Empty(t, r.Serving("s"))
	r.Put(endpoint.Endpoint{ID: "e", Born: 2, Service: "s"})
	require.Len(t, r.Serving("s"), 1)
}

// What was heard of before a record came holds for the record.
func TestLeaveBeforeItsRecord(t *testing.T) {
	var r endpoint.Roster
	require.Equal(t, []string{"e"}, r.Hear(endpoint.Leavers{Incarnations: []string{"e"}}))
	require.Empty(t, r.Leavers(0).Incarnations)
	fill(&r, 1)
	r.Put(endpoint.Endpoint{ID: "e", Service: "s"})
	require.Len(t, r.Serving("s"), 1)
	require.Equal(t, []string{"e"}, r.Leavers(0).Incarnations)
}

// The names go only to a box that has others, and are told no more once the record says so.
func TestLeavers(t *testing.T) {
	var a, b endpoint.Roster
	fill(&a, 3)
	fill(&b, 3)
	require.Zero(t, a.Leavers(0).Sum)
	a.Leave("e-2")
	a.Leave("e-0")
	l := a.Leavers(b.Leavers(0).Sum)
	require.Len(t, l.Incarnations, 2)
	require.Len(t, b.Hear(l), 2)
	require.Empty(t, b.Hear(l))
	require.Equal(t, a.Leavers(0).Sum, b.Leavers(0).Sum)
	require.Empty(t, a.Leavers(b.Leavers(0).Sum).Incarnations)
	for _, id := range []string{"e-0", "e-2"} {
		a.Put(endpoint.Endpoint{ID: id, Service: "s", Draining: true})
	}
	require.Zero(t, a.Leavers(0).Sum)
	a.Hear(b.Leavers(0))
	require.Zero(t, a.Leavers(0).Sum)
	require.Len(t, a.Serving("s"), 1)
}

// More endpoints than are remembered leave: the oldest are forgotten, and no more is kept.
func TestManyLeave(t *testing.T) {
	var r endpoint.Roster
	fill(&r, 5000)
	for i := range 5000 {
		r.Leave(fmt.Sprint("e-", i))
	}
	require.Empty(t, r.Serving("s"))
	require.Len(t, r.Leavers(0).Incarnations, 4096)
}

// The times of the model, in steps of 10 ms.
const (
	modelRound   = 50  // between two exchanges
	modelHop     = 2   // from one box to the next
	modelLength  = 900 // with faults until modelHealed
	modelHealed  = 600
	modelSettled = 160 // rounds of a member, of relays and of a member again, and a bit
)

// node is a box of the model, with what it last heard of each other's set. The first ones are
// relays.
type node struct {
	endpoint.Roster
	index  int
	side   int // of a cut
	down   bool
	frozen bool
	sums   map[int]uint64
	fault  int // when its last fault ended
}

// model is a fleet whose store is away: no record tells who leaves.
type model struct {
	rnd    *rand.Rand
	now    int
	cut    bool
	cutEnd int
	nodes  []*node
	relays int
	due    map[int][]func()
	names  int // of endpoints, that were told
	alone  int // when no relay was there last
}

const modelEndpoints = 12

func (m *model) begin(n *node) {
	*n = node{index: n.index, side: n.side, sums: map[int]uint64{}, fault: m.now}
	fill(&n.Roster, modelEndpoints)
}

func (m *model) reach(a, b *node) bool {
	return !a.down && !b.down && !a.frozen && !b.frozen && (!m.cut || a.side == b.side)
}

// relayOf returns the first relay that a member reaches, from its own.
func (m *model) relayOf(n *node) *node {
	for i := range m.relays {
		if r := m.nodes[(n.index+i)%m.relays]; m.reach(n, r) {
			return r
		}
	}
	return nil
}

// send lets a box hear another after a hop; then goes on if that was news.
func (m *model) send(from, to *node, l endpoint.Leavers, then func(news []string)) {
	m.names += len(l.Incarnations)
	m.due[m.now+modelHop] = append(m.due[m.now+modelHop], func() {
		if !m.reach(from, to) {
			return
		}
		if news := to.Hear(l); len(news) > 0 {
			then(news)
		}
	})
}

// tell passes news on at once: a member to its relay, relays to all others.
func (m *model) tell(n *node, news []string) {
	l := endpoint.Leavers{Incarnations: news}
	if n.index >= m.relays {
		if r := m.relayOf(n); r != nil {
			m.send(n, r, l, func(news []string) { m.tell(r, news) })
		}
		return
	}
	for _, r := range m.nodes[:m.relays] {
		if r != n {
			m.send(n, r, l, func(news []string) { m.tellMembers(r, news) })
		}
	}
	m.tellMembers(n, news)
}

func (m *model) tellMembers(r *node, news []string) {
	for _, n := range m.nodes[m.relays:] {
		if m.relayOf(n) == r {
			m.send(r, n, endpoint.Leavers{Incarnations: news}, func([]string) {})
		}
	}
}

// exchange is one box's call of another in a round.
func (m *model) exchange(a, b *node) {
	if !m.reach(a, b) {
		return
	}
	l := a.Leavers(a.sums[b.index])
	b.sums[a.index] = l.Sum
	b.Hear(l)
	l2 := b.Leavers(l.Sum)
	a.sums[b.index] = l2.Sum
	a.Hear(l2)
	m.names += len(l.Incarnations) + len(l2.Incarnations)
}

func (m *model) round() {
	for _, n := range m.nodes {
		if n.index >= m.relays {
			if r := m.relayOf(n); r != nil {
				m.exchange(n, r)
			}
			continue
		}
		for _, r := range m.nodes[:n.index] {
			m.exchange(n, r)
		}
	}
}

// strike does some fault, or ends one.
func (m *model) strike() {
	n := m.nodes[m.rnd.IntN(len(m.nodes))]
	switch m.rnd.IntN(5) {
	case 0:
		n.down = true
	case 1:
		n.frozen = true
	case 2, 3:
		m.mend(n)
	case 4:
		m.cut = !m.cut
		m.cutEnd = m.now
	}
}

func (m *model) mend(n *node) {
	switch {
	case n.down:
		m.begin(n)
	case n.frozen:
		n.frozen, n.fault = false, m.now
	}
}

func newModel(seed uint64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 7)), due: map[int][]func(){}, cutEnd: -modelSettled, alone: -modelSettled}
	boxes := 3 + m.rnd.IntN(40)
	if seed%20 == 0 {
		boxes = 300
	}
	m.relays = min(2+m.rnd.IntN(5), boxes)
	for i := range boxes {
		n := &node{index: i, side: m.rnd.IntN(2)}
		m.begin(n)
		n.fault = -modelSettled
		m.nodes = append(m.nodes, n)
	}
	return m
}

// TestAnyFleet plays fleets whose boxes are killed, freeze and are cut off while endpoints say to
// some box or other that they leave. Boxes without a fault meanwhile all know within 1.6 s; and
// once all faults are over, all that one living box knows is known to all.
func TestAnyFleet(t *testing.T) {
	seeds := uint64(120)
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		m := newModel(seed)
		told := map[string]int{} // when
		teller := map[string]*node{}
		for ; m.now < modelLength; m.now++ {
			for _, f := range m.due[m.now] {
				f()
			}
			delete(m.due, m.now)
			if m.now%modelRound == 0 {
				m.round()
			}
			switch {
			case m.now == modelHealed:
				m.cutEnd = m.now
				m.cut = false
				for _, n := range m.nodes {
					m.mend(n)
				}
			case m.now < modelHealed && m.rnd.IntN(40) == 0:
				m.strike()
			}
			if n := m.nodes[m.rnd.IntN(len(m.nodes))]; m.now < modelHealed && m.rnd.IntN(50) == 0 && !n.down && !n.frozen {
				e := fmt.Sprint("e-", m.rnd.IntN(modelEndpoints))
				if n.Leave(e) {
					if _, ok := told[e]; !ok {
						told[e], teller[e] = m.now, n
					}
					m.tell(n, []string{e})
				}
			}
			if !slices.ContainsFunc(m.nodes[:m.relays], func(n *node) bool { return !n.down && !n.frozen }) {
				m.alone = m.now
			}
			m.check(t, seed, told, teller)
		}
		sum := m.nodes[0].Leavers(0).Sum
		for _, n := range m.nodes {
			require.Equal(t, sum, n.Leavers(0).Sum, "seed %d: box %d of %d", seed, n.index, len(m.nodes))
		}
		names := m.names
		m.round()
		require.Equal(t, names, m.names, "seed %d: names are told that are known", seed)
	}
}

// check holds that boxes without a fault since before an endpoint's word know of it in time. Where
// all relays are away nobody passes it on until members take their places, seconds later, which
// the model leaves out.
func (m *model) check(t *testing.T, seed uint64, told map[string]int, teller map[string]*node) {
	for e, at := range told {
		sound := func(n *node) bool { return !n.down && !n.frozen && n.fault+modelSettled <= at }
		if m.now != at+modelSettled || m.cut || m.cutEnd+modelSettled > at || m.alone+modelSettled > at || !sound(teller[e]) {
			continue
		}
		for _, n := range m.nodes {
			if sound(n) {
				got, ok := n.Get(e)
				require.True(t, ok && got.Draining, "seed %d: box %d of %d does not know of %s", seed, n.index, len(m.nodes), e)
			}
		}
	}
}
