package catalog

import "slices"

// priorities holds the distinct priorities in a document, in ascending order.
type priorities struct {
	accounts []int
	routes   map[string][]int // by service
}

func newPriorities(d *Document) priorities {
	p := priorities{routes: map[string][]int{}}
	public := len(d.Accounts) == 0
	for i := range d.Routes {
		r := &d.Routes[i]
		public = public || r.Public
		for _, s := range r.Shares {
			p.routes[s.Service] = insert(p.routes[s.Service], r.Priority)
		}
	}
	for i := range d.Accounts {
		p.accounts = insert(p.accounts, d.Accounts[i].Priority)
	}
	if public {
		p.accounts = insert(p.accounts, 0)
	}
	return p
}

// insert adds a value to a sorted slice that does not contain it yet.
func insert(vs []int, v int) []int {
	i, found := slices.BinarySearch(vs, v)
	if found {
		return vs
	}
	return slices.Insert(vs, i, v)
}

// Urgency returns the place of a request among all combinations of the accounts' priorities and those
// of a service's routes, by the account's priority and then the route's, and the number of the
// combinations. Class 0 is the most urgent. The account is nil for a route that needs no key, and then
// has priority 0.
func (t *Table) Urgency(service string, r *Route, a *Account) (class, classes int) {
	account := 0
	if a != nil {
		account = a.Priority
	}
	routes := t.priorities.routes[service]
	i, _ := slices.BinarySearch(t.priorities.accounts, account)
	j, _ := slices.BinarySearch(routes, r.Priority)
	return i*len(routes) + j, len(t.priorities.accounts) * len(routes)
}
