package admission

import "time"

// activeFor is the time for which a node keeps its share after its last request.
const activeFor = 5 * time.Second

// maxParties is the number of children of a node above which inactive ones are removed.
const maxParties = 4096

// contended is the utilization, as a fraction of the limit, from which shares are enforced. Below
// it an account may use more than its share.
const contended = 0.5

// tree is a node of a tree that counts the requests in flight by account, member and match, one
// level each.
type tree struct {
	weight   float64
	inFlight int
	asked    time.Time // time of the last request
	children map[string]*tree
}

// child returns the child with the given name, created if necessary, and records a request of it.
func (t *tree) child(name string, weight float64, now time.Time) *tree {
	if t.children == nil {
		t.children = make(map[string]*tree)
	}
	c, ok := t.children[name]
	if !ok {
		if len(t.children) >= maxParties {
			t.sweep(now)
		}
		c = &tree{}
		t.children[name] = c
	}
	c.weight, c.asked = weight, now
	return c
}

func (t *tree) sweep(now time.Time) {
	for n, c := range t.children {
		if !c.active(now) {
			delete(t.children, n)
		}
	}
}

func (t *tree) active(now time.Time) bool { return t.inFlight > 0 || now.Sub(t.asked) < activeFor }

// share returns how much of the limit room the child c may use, by its weight among the active
// children.
func (t *tree) share(c *tree, room float64, now time.Time) float64 {
	var sum float64
	for _, o := range t.children {
		if o.active(now) {
			sum += o.weight
		}
	}
	if sum == 0 {
		return room
	}
	return max(1, room*c.weight/sum)
}

// add adds n to the requests in flight of each node of a path.
func add(path []*tree, n int) {
	for _, t := range path {
		t.inFlight += n
	}
}
