package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

// site is what is known of a data centre as a whole: when one of its endpoints
// could last not be reached, and until when all are avoided for it.
type site struct {
	endpoint string
	failed   time.Time
	until    time.Time
}

// A data centre of which two endpoints could not be reached within siteWindow is
// taken to be cut off, and tried again after siteAvoid.
const (
	siteWindow = time.Second
	siteAvoid  = time.Second
)

// Avoid notes that an endpoint could not be reached or did not answer at all.
func (b *Book) Avoid(e endpoint.Endpoint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(e.ID)
	d := min(minAvoid<<min(p.broken, 8), maxAvoid)
	p.broken++
	p.until = now.Add(d)
	s := b.site(e.DataCentre)
	if s.endpoint != e.ID && now.Sub(s.failed) < siteWindow || now.Sub(s.until) < siteWindow {
		s.until = now.Add(siteAvoid)
	}
	s.endpoint, s.failed = e.ID, now
}

// endedFor is how long an endpoint that was found to have ended is avoided: its record goes
// after three heartbeats. It is not taken out at once, since a box that is cut off by a
// refusal sees the same.
const endedFor = 4 * time.Second

// Ended notes that some box found that an endpoint has ended. What it sends this box
// afterwards shows that it has not.
func (b *Book) Ended(endpoint string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.page(endpoint).until = now.Add(endedFor)
}

func (b *Book) site(dc string) *site {
	if b.sites == nil {
		b.sites = map[string]*site{}
	}
	s := b.sites[dc]
	if s == nil {
		s = &site{}
		b.sites[dc] = s
	}
	return s
}
