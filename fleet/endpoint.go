package fleet

import "time"

// Load is what an endpoint last said about itself. TokensPerSecond is the
// measured speed of one stream, Reported the time the report was made.
type Load struct {
	Incarnation     string    `json:"incarnation"`
	ChecksFence     bool      `json:"checks_fence"`
	Loaded          []string  `json:"loaded"`
	Slots           int       `json:"slots"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Reported        time.Time `json:"reported"`
}

// Endpoint is a box that answers requests, with its last known load.
type Endpoint struct {
	Box
	Load
}

// Usable reports whether new work may go to e.
func (e Endpoint) Usable() bool { return e.State == Live && e.Incarnation != "" }

// Has reports whether workload w is loaded at e. A plain service answers only
// for itself.
func (e Endpoint) Has(w string) bool {
	if e.Role == ServiceRole {
		return e.Service == w
	}
	for _, l := range e.Loaded {
		if l == w {
			return true
		}
	}
	return false
}
