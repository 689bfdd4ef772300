package endpoint

import "time"

// Limit is the rate of requests that an endpoint accepts from all boxes together. The zero value
// means no limit.
type Limit struct {
	Limited   bool
	PerSecond float64
}

// Statement is what a response reports about the state of the endpoint that sent it.
type Statement struct {
	// Draining reports that the endpoint terminates soon.
	Draining bool

	// BackOff is how long the endpoint wants no work from the box that sent the request.
	BackOff time.Duration

	// Limit is in force for as long as responses state it.
	Limit Limit

	// Refusals is the rate of refusals for lack of room, of requests from all boxes together, at which
	// the endpoint fails. It is in force for as long as responses state it.
	Refusals Limit

	// InvalidLimit is a stated limit that is not a number, quoted. It neither sets nor
	// removes a limit.
	InvalidLimit string
}
