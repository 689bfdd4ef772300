// Package newest fetches state from other boxes that announce which version of it they have. Versions that are announced
// while another is being fetched are not fetched one by one: after it, the newest one is. So a box that is slower than the
// changes stays behind by one fetch, and not by more with each change.
package newest

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
)

// failureLogInterval is how many failures in a row there are between two that are logged.
const failureLogInterval = 20

// Fetcher fetches one kind of state. It must be created with New, and its fields be set before the first announcement. It
// is safe for concurrent use.
type Fetcher struct {
	// Fetch fetches what is newer at the box at an address. It calls onBytes with the number of bytes of each read from there.
	Fetch func(c context.Context, address string, onBytes func(n int)) error

	// Version returns the version that this box has.
	Version func() uint64

	// IsUp reports whether the box at an address is known to be up. A fetch from another one gives way to a new announcement
	// after StaleAge: a connection stalled by a partition reports no error.
	IsUp     func(address string) bool
	StaleAge time.Duration

	Timeout time.Duration // of one fetch
	Kind    string        // of the state, for logs
	Log     zerolog.Logger

	c     context.Context
	group sync.WaitGroup

	mu        sync.Mutex
	newest    announcement
	failures  int // in a row
	number    int // of the last fetch
	from      string
	startedAt time.Time
	cancel    context.CancelFunc // nil while no fetch is in progress
}

// progress is how much of a fetch has come.
type progress struct {
	mu    sync.Mutex
	bytes int
	at    time.Time // of the last bytes, or the start of the fetch
}

func (p *progress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes, p.at = p.bytes+n, boottime.Now()
}

// MarshalZerologObject adds to a log event how many bytes came, and for how long none have.
func (p *progress) MarshalZerologObject(l *zerolog.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Int("bytes", p.bytes).Dur("silent", boottime.Since(p.at))
}

// announcement is a version that the box at an address has.
type announcement struct {
	version uint64
	address string
}

// New returns a fetcher whose fetches end with c.
func New(c context.Context) *Fetcher { return &Fetcher{c: c} }

// Announce starts to fetch a version that the box at an address has, if it is newer than this box's. It doesn't block.
func (f *Fetcher) Announce(version uint64, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.Version() {
		return
	}
	if version > f.newest.version {
		f.newest = announcement{version, address}
	}
	if f.cancel != nil {
		if f.from == address || boottime.Since(f.startedAt) < f.StaleAge || f.IsUp(f.from) {
			return
		}
		f.cancel()
	}
	f.begin(announcement{version, address})
}

// Wait waits for the end of the fetches in progress.
func (f *Fetcher) Wait() {
	f.mu.Lock()
	f.mu.Unlock() //nolint:staticcheck // an announcement that is being handled may start another fetch
	f.group.Wait()
}

// begin starts a fetch, and further ones after it while newer versions are announced. The caller holds f.mu.
func (f *Fetcher) begin(a announcement) {
	if f.c.Err() != nil {
		return
	}
	c, cancel := context.WithTimeout(f.c, f.Timeout)
	f.number++
	number := f.number
	f.from, f.startedAt, f.cancel = a.address, boottime.Now(), cancel
	p := &progress{at: f.startedAt}
	f.group.Go(func() {
		defer cancel()
		err := f.Fetch(c, a.address, p.add)
		version := f.Version()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.number != number {
			return // another one has taken its place
		}
		f.cancel = nil
		f.log(a, version, p, err)
		// A box that doesn't have what it announced is not asked again before the next announcement.
		if err == nil && version >= a.version && f.newest.version > version {
			f.begin(f.newest)
		}
	})
}

// log logs the first failed fetch of a series, further ones at long intervals, and the end of the series. The caller holds f.mu.
func (f *Fetcher) log(a announcement, version uint64, p *progress, err error) {
	if err == nil && f.failures == 0 || f.c.Err() != nil {
		return
	}
	message := "fetched again"
	if err != nil {
		f.failures++
		message = "not fetched; retried with the next announcement"
	}
	if err == nil || f.failures%failureLogInterval == 1 {
		f.Log.Info().Str("event", "fetch").Str("state", f.Kind).Str("from", a.address).Uint64("announced", a.version).
			Uint64("newest", f.newest.version).Uint64("version", version).Int("failures", f.failures).
			Dur("took", boottime.Since(f.startedAt)).EmbedObject(p).Err(err).Msg(message)
	}
	if err == nil {
		f.failures = 0
	}
}
