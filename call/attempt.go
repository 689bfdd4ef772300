package call

import "time"

// Attempt is one sending of a call to an endpoint.
type Attempt struct {
	// Endpoint is the incarnation that alone may run it.
	Endpoint string

	// Account is who calls; empty where calls need no key.
	Account string

	// Left is how long the answer is of use.
	Left time.Duration

	// LastEvent is the last event of the stream that the caller has.
	LastEvent string

	// Priority is the rank at the endpoint, 0 first.
	Priority int
}

// Outcome is what an answer says besides its status. NotRun is a promise that
// the endpoint did not and will not run the attempt; Elsewhere that another
// incarnation has the address. The rest is what the endpoint says of itself:
// Leaving that it ends soon, Rest for how long it wants no work from this box.
type Outcome struct {
	ID        string
	NotRun    bool
	Elsewhere bool
	Leaving   bool
	Rest      time.Duration
}
