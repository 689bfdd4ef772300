// Package admission decides which requests a box accepts. An accepted request should run to its
// end, so a box accepts only as many as the fleet can still serve after the worst announced
// reclaim. The limit is divided fairly among accounts, and part of it is reserved for urgent kinds.
package admission

// Kind is the kind of a request, which determines its priority.
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

// priorities holds the priority of each kind; lower values are more urgent.
var priorities = map[Kind]int{Alert: 0, Tick: 0, Lookup: 1, Chat: 2, Summary: 3, Draft: 4}

// urgentPriority is the highest priority value that may use Gate.Reserve.
const urgentPriority = 1

// Kinds returns all kinds, most urgent first.
func Kinds() []Kind { return []Kind{Alert, Tick, Lookup, Chat, Summary, Draft} }

// Priority returns the priority of k, and whether k is a known kind.
func (k Kind) Priority() (int, bool) {
	p, ok := priorities[k]
	return p, ok
}

// Urgent reports whether k may use Gate.Reserve.
func (k Kind) Urgent() bool { return priorities[k] <= urgentPriority }

// Request describes a request to admission control. Member and Match divide the share of an account
// further.
type Request struct {
	Account  string
	Member   string
	Match    string
	Kind     Kind
	Weight   float64 // of the account, against other accounts
	Rate     float64 // limit of the account over all boxes, in requests per second
	Plain    bool    // a call of a plain service
	Workload string
}
