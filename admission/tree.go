package admission

import "time"

// activeFor is how long a party that asks for nothing keeps its share.
const activeFor = 5 * time.Second

// maxParties bounds the parties remembered at one level.
const maxParties = 4096

// contended is the share of the room from which fairness binds. Below it a
// party may use more than its share.
const contended = 0.5

// tree counts the work in flight of parties and of those within them: accounts,
// their members, and matches.
type tree struct {
	weight   float64
	inFlight int
	asked    time.Time
	children map[string]*tree
}

// child returns the party of a name and notes that it asks now.
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

// share returns how much of some room child c may use when others want it too.
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

// add changes the work in flight along a path.
func add(path []*tree, n int) {
	for _, t := range path {
		t.inFlight += n
	}
}
