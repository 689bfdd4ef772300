package endpoint

import (
	"slices"
	"strings"

	"birchlink.dev/birchlink/rendezvous"
)

// A box uses a subset of at most subsetSize endpoints of a service, at least minLocalSubset of them
// in its own data centre if it has that many. The load reports that a box receives and the cost of a
// choice grow with the subset and not with the fleet. 128 is about a hundred times the number of
// requests that a box of the largest fleet has in flight, so few of its choices collide with those
// of other boxes. The half in other data centres lets the box continue to serve if its own has no
// endpoints.
const (
	subsetSize     = 128
	minLocalSubset = 64
)

// maxPreferredIDs bounds the keys whose preferred member is remembered. Finding it takes 30 us with
// 10,000 members, and few different starts of prompts have most of the requests.
const maxPreferredIDs = 1024

// pool holds the endpoints of one service that take work.
type pool struct {
	members []member
	hashes  []uint64       // of the members' IDs; a separate slice keeps them contiguous
	classes []int8         // of the members' speeds, for preferred; parallel to hashes
	index   map[string]int // position in members, by ID

	preferredIDs map[uint64]string // results of preferred by key; nil after a change of members or classes

	serving   []Endpoint // all members ordered by ID; nil after a change
	subset    []Endpoint // the endpoints that the box uses; nil after a change of them
	threshold thresholds // for membership in subset
}

// member is one endpoint of a pool.
type member struct {
	id    string
	local bool // of the box's data centre
}

// thresholds are the lowest weights that are in a subset, for endpoints in the box's data centre and
// in other ones. Zero accepts any weight.
type thresholds struct{ local, remote uint64 }

func (t thresholds) forMember(m member) uint64 {
	if m.local {
		return t.local
	}
	return t.remote
}

// put adds an endpoint, or invalidates the lists that hold it if it is a member already.
func (p *pool) put(m member, box uint64) {
	p.serving = nil
	if _, exists := p.index[m.id]; exists {
		p.invalidateSubset(m.id)
		return
	}
	p.preferredIDs = nil
	hash := rendezvous.Hash(m.id)
	p.index[m.id] = len(p.members)
	p.members, p.hashes, p.classes = append(p.members, m), append(p.hashes, hash), append(p.classes, 0)
	if len(p.subset) < subsetSize || rendezvous.WeightByHash(box, hash) >= p.threshold.forMember(m) {
		p.subset = nil
	}
}

// remove deletes an endpoint from the pool.
func (p *pool) remove(id string) {
	i, exists := p.index[id]
	if !exists {
		return
	}
	p.serving, p.preferredIDs = nil, nil
	p.invalidateSubset(id)
	last := len(p.members) - 1
	p.members[i], p.hashes[i], p.classes[i] = p.members[last], p.hashes[last], p.classes[last]
	p.index[p.members[i].id] = i
	p.members, p.hashes, p.classes = p.members[:last], p.hashes[:last], p.classes[:last]
	delete(p.index, id)
}

// invalidateSubset discards the subset if it contains the endpoint.
func (p *pool) invalidateSubset(id string) {
	if slices.ContainsFunc(p.subset, func(e Endpoint) bool { return e.ID == id }) {
		p.subset = nil
	}
}

// preferred returns the ID of the member with the highest rendezvous score for a key, or "" if the
// pool is empty.
func (p *pool) preferred(key uint64) string {
	if id, known := p.preferredIDs[key]; known {
		return id
	}
	var top rendezvous.Picker
	for i, h := range p.hashes {
		top.Add(i, p.classes[i], rendezvous.WeightByHash(key, h))
	}
	id := ""
	if i, ok := top.Best(); ok {
		id = p.members[i].id
	}
	if p.preferredIDs == nil || len(p.preferredIDs) >= maxPreferredIDs {
		p.preferredIDs = map[uint64]string{}
	}
	p.preferredIDs[key] = id
	return id
}

// chooseSubset returns the IDs of the endpoints that a box uses: those of its data centre and of the
// other ones with the highest rendezvous weights for the box. Other endpoints that are added or
// removed do not change this order.
func (p *pool) chooseSubset(box uint64) []string {
	var local, remote topMembers
	for i, m := range p.members {
		dst := &remote
		if m.local {
			dst = &local
		}
		dst.add(m.id, rendezvous.WeightByHash(box, p.hashes[i]))
	}
	maxLocal := max(minLocalSubset, subsetSize-len(remote.entries))
	local.truncate(maxLocal)
	remote.truncate(subsetSize - len(local.entries))
	p.threshold = thresholds{remote: remote.minWeight()}
	if len(local.entries) == maxLocal {
		p.threshold.local = local.minWeight()
	}
	ids := append(local.ids(), remote.ids()...)
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// topMembers keeps the subsetSize members with the highest weights, in descending order.
type topMembers struct{ entries []weightedMember }

type weightedMember struct {
	id     string
	weight uint64
}

func (t *topMembers) add(id string, weight uint64) {
	if len(t.entries) == subsetSize {
		if weight <= t.entries[subsetSize-1].weight {
			return
		}
		t.entries = t.entries[:subsetSize-1]
	}
	i, _ := slices.BinarySearchFunc(t.entries, weight, func(r weightedMember, w uint64) int {
		if r.weight > w {
			return -1
		}
		return 1
	})
	t.entries = slices.Insert(t.entries, i, weightedMember{id, weight})
}

func (t *topMembers) truncate(n int) { t.entries = t.entries[:min(n, len(t.entries))] }

// minWeight returns the lowest weight, or zero if there are no members.
func (t *topMembers) minWeight() uint64 {
	if len(t.entries) == 0 {
		return 0
	}
	return t.entries[len(t.entries)-1].weight
}

func (t *topMembers) ids() []string {
	out := make([]string, len(t.entries))
	for i, r := range t.entries {
		out[i] = r.id
	}
	return out
}
