// Package admission decides which requests a box accepts. An accepted request
// is a promise, so only what the fleet can still carry after a reclaim is.
package admission

// Kind is a kind of request. Kinds differ in how urgent they are.
type Kind string

// The kinds of requests.
const (
	Alert   Kind = "alert"
	Tick    Kind = "tick"
	Lookup  Kind = "lookup"
	Chat    Kind = "chat"
	Summary Kind = "summary"
	Draft   Kind = "draft"
)

// priorities gives each kind its priority; lower goes first.
var priorities = map[Kind]int{Alert: 0, Tick: 0, Lookup: 1, Chat: 2, Summary: 3, Draft: 4}

// urgentPriority is the highest priority number that may use the reserve.
const urgentPriority = 1

// Kinds returns the names of the kinds, most urgent first.
func Kinds() []Kind { return []Kind{Alert, Tick, Lookup, Chat, Summary, Draft} }

// Priority returns the priority of k, and whether k is a kind at all.
func (k Kind) Priority() (int, bool) {
	p, ok := priorities[k]
	return p, ok
}

// Urgent reports whether k may use the room that is held back.
func (k Kind) Urgent() bool { return priorities[k] <= urgentPriority }

// Request is what admission needs to know of a request. Member and Match
// divide an account's share further.
type Request struct {
	Account  string
	Member   string
	Match    string
	Kind     Kind
	Weight   float64
	Rate     float64
	Plain    bool
	Workload string
}
