package call

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// Attempt is one attempt to send a call to an endpoint.
type Attempt struct {
	// Endpoint is the incarnation of the endpoint. No other incarnation may run the attempt.
	Endpoint string

	// Account is the caller's account, or empty if calls need no key.
	Account string

	// Timeout is the time left until the call's deadline.
	Timeout time.Duration

	// LastEventID is the ID of the last event of the stream that the caller has received.
	LastEventID string

	// Priority is the call's rank at the endpoint. Rank 0 is served first.
	Priority int

	// HandleAddress and Handle, if set, name the memory of a run that was stopped and the address of
	// the endpoint where it ran. The attempt continues that run.
	HandleAddress string
	Handle        string
}

// Outcome is what an answer reports besides its status. With NotRun set, the endpoint guarantees that
// it did not and will not run the attempt. With WrongIncarnation set, another incarnation has the
// address, and nothing is known of the one that was called.
type Outcome struct {
	ID               string
	NotRun           bool
	WrongIncarnation bool
	endpoint.Statement
}
