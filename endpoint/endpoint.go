// Package endpoint holds the set of endpoints that the platform lists. A Roster indexes them by
// service, selects the subset that one box uses, and tracks endpoints that announce that they
// drain before their records say so.
package endpoint

import (
	"strconv"
	"time"
)

// Endpoint is one incarnation of a server process. A process that restarts under the same ID
// shares no state with its predecessor; StartMillis distinguishes them. Its Address may later be
// reused by another endpoint, also of another service.
type Endpoint struct {
	ID          string
	StartMillis int64 // start time in Unix milliseconds; zero if unknown
	Service     string
	Address     string
	DataCentre  string
	Slots       int    // requests that it can run at the same time
	Version     string // software version; empty if unknown

	// Draining reports that the endpoint has announced its end. A draining endpoint gets no new
	// work.
	Draining bool

	// Reclaimable reports whether the cloud may take the endpoint back at short notice.
	Reclaimable bool

	// DrainPeriod is how long the endpoint keeps running from the announcement that it drains;
	// zero if unknown.
	DrainPeriod time.Duration

	// ColdLeft is the remaining time after a start during which the endpoint is slower.
	ColdLeft time.Duration
}

// Incarnation returns a name of the process: its ID and, if known, its start time. State learned
// about one incarnation does not apply to another with the same ID.
func (e Endpoint) Incarnation() string {
	if e.StartMillis == 0 {
		return e.ID
	}
	return e.ID + "/" + strconv.FormatInt(e.StartMillis, 36)
}
