package fleet

import "time"

// Load is the last load report of an endpoint. TokensPerSecond is the measured rate of a single
// stream, and Reported the time of the report.
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

// Endpoint is a box that serves requests, with its last reported load.
type Endpoint struct {
	Box
	Load
}

// Usable reports whether e may receive new work: its box is live and e has reported its load.
func (e Endpoint) Usable() bool { return e.State == Live && e.Incarnation != "" }

// Serves reports whether e serves workload w: an engine has it loaded, or e is the plain service w.
func (e Endpoint) Serves(w string) bool {
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
