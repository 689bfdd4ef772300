// Package endpoint keeps the endpoints that the platform lists.
package endpoint

import "time"

// Endpoint is one incarnation of a server process. Its ID is never used again;
// its Address may later belong to another endpoint, also of another service.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int

	// Draining is set once the endpoint leaves: it gets no new work.
	Draining bool

	// Reclaimable endpoints may be taken at short notice. Leaves is how long the
	// endpoint still ran when it said that it drains; zero when it did not say.
	Reclaimable bool
	Leaves      time.Duration

	// Cold is how much longer it is slow from its start.
	Cold time.Duration
}
