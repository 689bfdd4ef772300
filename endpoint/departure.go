package endpoint

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/boottime"
)

// maxDepartures bounds the endpoints whose departures are remembered. They are needed for as long as a request may run that
// has been at one.
const maxDepartures = 4096

// Departure is what is known of an endpoint that may end soon: it has announced its end, its record is missing or shows
// another start, or has been overwritten by another program. None of these shows that its process has ended.
type Departure struct {
	Endpoint Endpoint  // as it was last known
	Since    time.Time // when this box learned of it
	Ends     time.Time // the earliest end that the endpoint announced; zero if it named none
}

// Departure returns the departure of an endpoint, and false if its record says that it serves or it was never known.
func (r *Roster) Departure(incarnation string) (Departure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departures == nil {
		return Departure{}, false
	}
	return r.departures.Peek(incarnation)
}

// recordDeparture records that an endpoint may end soon, and when if it says so. The caller holds r.mu.
func (r *Roster) recordDeparture(e Endpoint) {
	if r.departures == nil {
		r.departures, _ = simplelru.NewLRU[string, Departure](maxDepartures, nil) // the size is above zero
	}
	now := boottime.Now()
	d, ok := r.departures.Peek(e.Incarnation())
	if !ok {
		d.Since = now
	}
	d.Endpoint = e
	if d.Ends.IsZero() && e.DrainPeriod > 0 {
		d.Ends = now.Add(e.DrainPeriod)
	}
	r.departures.Add(e.Incarnation(), d)
}

// updateDepartures records the departures that follow from a record that replaces another. The caller holds r.mu.
func (r *Roster) updateDepartures(old, e Endpoint) {
	if old.ID != "" && old.StartMillis != e.StartMillis {
		r.recordDeparture(old)
	}
	if e.Draining {
		r.recordDeparture(e)
		return
	}
	r.revokeDeparture(e)
}

// revokeDeparture records that an endpoint serves according to its record. The caller holds r.mu.
func (r *Roster) revokeDeparture(e Endpoint) {
	if r.departures != nil {
		r.departures.Remove(e.Incarnation())
	}
}
