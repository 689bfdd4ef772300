package endpoint

import "time"

// Limit is the rate of requests that an endpoint takes from all boxes together. The zero value
// is none.
type Limit struct {
	Named     bool
	PerSecond float64
}

// Statement is what one answer says of the endpoint that gave it.
type Statement struct {
	// Leaving says that the endpoint ends soon.
	Leaving bool

	// Rest is for how long the endpoint wants no work from the box that asked.
	Rest time.Duration

	// Limit holds for as long as answers name it. Unreadable is a limit that is no number, in
	// quotes; it neither sets a limit nor ends one.
	Limit      Limit
	Unreadable string
}
