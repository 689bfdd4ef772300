package call

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// Attempt is one sending of a call to an endpoint.
type Attempt struct {
	// Endpoint is the incarnation that alone may run it.
	Endpoint string

	// Account is who calls; empty where calls need no key.
	Account string

	// Left is how long the answer is of use.
	Timeout time.Duration

	// LastEvent is the last event of the stream that the caller has.
	LastEventID string

	// Priority is the rank at the endpoint, 0 first.
	Priority int
}

// Outcome is what an answer says besides its status. NotRun is a promise that
// the endpoint did not and will not run the attempt; Elsewhere that another
// incarnation has the address, which says nothing of the one that was asked.
type Outcome struct {
	ID               string
	NotRun           bool
	WrongIncarnation bool
	endpoint.Statement
}
