package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// dataCentreState is what is known of a data centre as a whole: when one of its endpoints
// could last not be reached, and until when all are avoided for it.
type dataCentreState struct {
	lastEndpoint string
	lastFailure  time.Time
	avoidedUntil time.Time
}

// A data centre of which two endpoints could not be reached within siteWindow is
// taken to be cut off, and tried again after siteAvoid.
const (
	dataCentreFailureWindow = time.Second
	dataCentreAvoid         = time.Second
)

// Avoid notes that an endpoint could not be reached or did not answer at all.
func (b *Balancer) Avoid(e endpoint.Endpoint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.state(e.ID)
	d := min(minAvoid<<min(p.consecutiveFailures, 8), maxAvoid)
	p.consecutiveFailures++
	p.avoidedUntil = now.Add(d)
	s := b.dataCentre(e.DataCentre)
	if s.lastEndpoint != e.ID && now.Sub(s.lastFailure) < dataCentreFailureWindow || now.Sub(s.avoidedUntil) < dataCentreFailureWindow {
		s.avoidedUntil = now.Add(dataCentreAvoid)
	}
	s.lastEndpoint, s.lastFailure = e.ID, now
}

// crashAvoid is how long an endpoint that was found to have ended is avoided: its record goes
// after three heartbeats. It is not taken out at once, since a box that is cut off by a
// refusal sees the same.
const crashAvoid = 4 * time.Second

// Crashed notes that some box found that an endpoint has ended. What it sends this box
// afterwards shows that it has not.
func (b *Balancer) Crashed(endpoint string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(endpoint).avoidedUntil = now.Add(crashAvoid)
}

func (b *Balancer) dataCentre(dc string) *dataCentreState {
	if b.dataCentres == nil {
		b.dataCentres = map[string]*dataCentreState{}
	}
	s := b.dataCentres[dc]
	if s == nil {
		s = &dataCentreState{}
		b.dataCentres[dc] = s
	}
	return s
}
