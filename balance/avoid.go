package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// dataCentreState is the state of a data centre as a whole: its last endpoint that could not be
// reached, the time of that failure, and the time until which all its endpoints are avoided.
type dataCentreState struct {
	lastEndpoint string
	lastFailure  time.Time
	avoidedUntil time.Time
}

// A data centre of which two endpoints could not be reached within dataCentreFailureWindow is taken
// to be partitioned from this box and is avoided for dataCentreAvoid.
const (
	dataCentreFailureWindow = time.Second
	dataCentreAvoid         = time.Second
)

// Avoid records that an endpoint could not be reached or did not answer at all.
func (b *Balancer) Avoid(e endpoint.Endpoint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(e.ID)
	d := min(minAvoid<<min(st.consecutiveFailures, 8), maxAvoid)
	st.consecutiveFailures++
	st.avoidedUntil, st.unproven = now.Add(d), true
	dc := b.dataCentre(e.DataCentre)
	if dc.lastEndpoint != e.ID && now.Sub(dc.lastFailure) < dataCentreFailureWindow || now.Sub(dc.avoidedUntil) < dataCentreFailureWindow {
		dc.avoidedUntil = now.Add(dataCentreAvoid)
	}
	dc.lastEndpoint, dc.lastFailure = e.ID, now
}

// RecordReachable records that connections to an endpoint are possible again.
func (b *Balancer) RecordReachable(e endpoint.Endpoint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(e.ID)
	st.consecutiveFailures, st.avoidedUntil, st.unproven = 0, time.Time{}, false
	b.dataCentre(e.DataCentre).avoidedUntil = now
}

// crashAvoid is how long an endpoint reported as crashed is avoided: its registration expires after
// three heartbeats. It is avoided rather than excluded, because a box that is partitioned from the
// endpoint and gets its connections refused reports the same.
const crashAvoid = 4 * time.Second

// RecordCrash records a report that an endpoint crashed. Anything that the endpoint sends this box
// later revokes the report.
func (b *Balancer) RecordCrash(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).avoidedUntil = now.Add(crashAvoid)
}

func (b *Balancer) dataCentre(dc string) *dataCentreState {
	if b.dataCentres == nil {
		b.dataCentres = map[string]*dataCentreState{}
	}
	d := b.dataCentres[dc]
	if d == nil {
		d = &dataCentreState{}
		b.dataCentres[dc] = d
	}
	return d
}
