package endpoint

import (
	"slices"
	"strings"

	"birchlink.dev/birchlink/rendezvous"
)

// A box works with partSize endpoints of a service, or all where there are no more: at least
// partOwn of its own data centre, if it has so many. What a box is told of others' load, and what
// a choice costs it, follows these and not the fleet. 128 are some hundred times what a box of the
// largest fleet has under way, so that few of its choices meet another's, and as many in other
// data centres as in its own carry it on if its own has none.
const (
	partSize = 128
	partOwn  = 64
)

// pool is the endpoints of one service that take work.
type pool struct {
	members []member
	hashes  []uint64       // of the members' IDs, which are read one after the other
	at      map[string]int // where each stands among members, by ID

	list   []Endpoint // all by ID; nil if not asked for since a change
	part   []Endpoint // those that the box works with; nil if not asked for since a change of them
	lowest weights    // the least of part
}

// member is one endpoint of a pool.
type member struct {
	id  string
	own bool // of the box's data centre
}

// weights are those from which on an endpoint is one of a part, in the box's data centre and in
// the others; zero for any.
type weights struct{ own, far uint64 }

func (w weights) of(m member) uint64 {
	if m.own {
		return w.own
	}
	return w.far
}

// put enters an endpoint, or takes in that it has changed.
func (p *pool) put(m member, box uint64) {
	p.list = nil
	if _, had := p.at[m.id]; had {
		p.change(m.id)
		return
	}
	hash := rendezvous.Hash(m.id)
	p.at[m.id] = len(p.members)
	p.members, p.hashes = append(p.members, m), append(p.hashes, hash)
	if len(p.part) < partSize || rendezvous.WeightByHash(box, hash) >= p.lowest.of(m) {
		p.part = nil
	}
}

// remove takes an endpoint out.
func (p *pool) remove(id string) {
	i, had := p.at[id]
	if !had {
		return
	}
	p.list = nil
	p.change(id)
	last := len(p.members) - 1
	p.members[i], p.hashes[i] = p.members[last], p.hashes[last]
	p.at[p.members[i].id] = i
	p.members, p.hashes = p.members[:last], p.hashes[:last]
	delete(p.at, id)
}

// change has the part made anew if an endpoint is one of it.
func (p *pool) change(id string) {
	if slices.ContainsFunc(p.part, func(e Endpoint) bool { return e.ID == id }) {
		p.part = nil
	}
}

// home returns the ID of the member with the highest weight for a key.
func (p *pool) home(key uint64) string {
	best, top := -1, uint64(0)
	for i, h := range p.hashes {
		if w := rendezvous.WeightByHash(key, h); best < 0 || w > top {
			best, top = i, w
		}
	}
	if best < 0 {
		return ""
	}
	return p.members[best].id
}

// choose returns the IDs of those that a box works with: the first of its data centre and of the
// others in an order of the box's own, which stays when others come and go.
func (p *pool) choose(box uint64) []string {
	var own, far highest
	for i, m := range p.members {
		among := &far
		if m.own {
			among = &own
		}
		among.add(m.id, rendezvous.WeightByHash(box, p.hashes[i]))
	}
	most := max(partOwn, partSize-len(far.ranked))
	own.cut(most)
	far.cut(partSize - len(own.ranked))
	p.lowest = weights{far: far.lowest()}
	if len(own.ranked) == most {
		p.lowest.own = own.lowest()
	}
	ids := append(own.ids(), far.ids()...)
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// highest keeps the partSize members with the highest weights, best first.
type highest struct{ ranked []ranked }

type ranked struct {
	id     string
	weight uint64
}

func (h *highest) add(id string, weight uint64) {
	if len(h.ranked) == partSize {
		if weight <= h.ranked[partSize-1].weight {
			return
		}
		h.ranked = h.ranked[:partSize-1]
	}
	i, _ := slices.BinarySearchFunc(h.ranked, weight, func(r ranked, w uint64) int {
		if r.weight > w {
			return -1
		}
		return 1
	})
	h.ranked = slices.Insert(h.ranked, i, ranked{id, weight})
}

func (h *highest) cut(n int) { h.ranked = h.ranked[:min(n, len(h.ranked))] }

// lowest returns the least weight; zero for none.
func (h *highest) lowest() uint64 {
	if len(h.ranked) == 0 {
		return 0
	}
	return h.ranked[len(h.ranked)-1].weight
}

func (h *highest) ids() []string {
	out := make([]string, len(h.ranked))
	for i, r := range h.ranked {
		out[i] = r.id
	}
	return out
}
