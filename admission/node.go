package admission

import "time"

// activeFor is the time for which a node keeps its share after its last request.
const activeFor = 5 * time.Second

// maxChildren is the number of children of a node above which inactive ones are removed.
const maxChildren = 4096

// contentionThreshold is the utilization, as a fraction of the limit, from which shares are
// enforced. Below it an account may use more than its share.
const contentionThreshold = 0.5

// node is a node of a tree that counts the requests in flight by account, member and match, one
// level each.
type node struct {
	weight      float64
	inFlight    int
	lastRequest time.Time // time of the last request
	children    map[string]*node
}

// child returns the child with the given name, created if necessary, and records a request of it.
func (t *node) child(name string, weight float64, now time.Time) *node {
	if t.children == nil {
		t.children = make(map[string]*node)
	}
	c, ok := t.children[name]
	if !ok {
		if len(t.children) >= maxChildren {
			t.removeInactive(now)
		}
		c = &node{}
		t.children[name] = c
	}
	c.weight, c.lastRequest = weight, now
	return c
}

func (t *node) removeInactive(now time.Time) {
	for n, c := range t.children {
		if !c.isActive(now) {
			delete(t.children, n)
		}
	}
}

func (t *node) isActive(now time.Time) bool {
	return t.inFlight > 0 || now.Sub(t.lastRequest) < activeFor
}

// share returns how much of limit the child c may use, by its weight among the active
// children.
func (t *node) share(c *node, limit float64, now time.Time) float64 {
	var sum float64
	for _, o := range t.children {
		if o.isActive(now) {
			sum += o.weight
		}
	}
	if sum == 0 {
		return limit
	}
	return max(1, limit*c.weight/sum)
}

// addInFlight adds n to the requests in flight of each node of a path.
func addInFlight(path []*node, n int) {
	for _, t := range path {
		t.inFlight += n
	}
}
