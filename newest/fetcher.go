// Package newest fetches state from other boxes that announce which version of it they have. Versions that are announced
// while another is being fetched are not fetched one by one: after it, the newest one is. So a box that is slower than the
// changes stays behind by one fetch, and not by more with each change.
//
// A fetch that makes no progress is joined by another one, from a different box if there is one. A connection that a partition has
// stalled reports no error, and what else is heard of its other end doesn't show that it works.
package newest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
)

const (
	// failureLogInterval is how many failures in a row there are between two that are logged.
	failureLogInterval = 20

	// maxAttempts is the number of fetches at the same time. Once maxAsked boxes were asked in vain, only those are that announce
	// something.
	maxAttempts = 2
	maxAsked    = 4

	// minProgress is the number of bytes since the last look that show progress of a fetch. Fewer may belong to another call on the
	// same connection.
	minProgress = 512
)

// errStalled reports that a fetch made no progress for too long.
var errStalled = errors.New("nothing came in time")

// Fetcher fetches one kind of state. It must be created with New, and its fields be set before the first announcement. It
// is safe for concurrent use.
type Fetcher struct {
	// Fetch fetches what is newer than this box's version, if a source has that. It calls onBytes with the number of bytes of each
	// read from there.
	Fetch func(c context.Context, from Source, onBytes func(n int)) error

	// Version returns the version that this box has.
	Version func() uint64

	// Others returns the addresses of boxes that may have what others announced, in the order in which they are asked. It may be
	// nil.
	Others func() []string

	StallTime time.Duration // without progress, after which a fetch is joined by another one
	GiveUp    time.Duration // without progress, after which a fetch has failed
	Timeout   time.Duration // of one fetch
	Kind      string        // of the state, for logs
	Log       zerolog.Logger

	c     context.Context
	group sync.WaitGroup
	wake  chan struct{} // receives an item after an announcement

	mu        sync.Mutex
	running   bool
	announced map[string]uint64 // versions by address, of boxes that were not asked since
	newest    uint64            // of all announced
	failures  int               // in a row
}

// Source is a box from which something is fetched. If Renew is set, that is over a connection which is new or known to work.
type Source struct {
	Address string
	Renew   bool
}

// New returns a fetcher whose fetches end with c.
func New(c context.Context) *Fetcher {
	return &Fetcher{c: c, wake: make(chan struct{}, 1), announced: map[string]uint64{}}
}

// Announce starts to fetch a version that the box at an address has, if it is newer than this box's. It doesn't block.
func (f *Fetcher) Announce(version uint64, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.Version() || f.c.Err() != nil {
		return
	}
	f.announced[address] = max(f.announced[address], version)
	f.newest = max(f.newest, version)
	if !f.running {
		f.running = true
		f.group.Go(f.run)
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Wait waits for the end of the fetches in progress.
func (f *Fetcher) Wait() {
	f.mu.Lock()
	f.mu.Unlock() //nolint:staticcheck // an announcement that is being handled may start another fetch
	f.group.Wait()
}

// run fetches until this box has the newest version or no box is left that has announced a newer one.
func (f *Fetcher) run() {
	p := pursuit{Fetcher: f, results: make(chan *attempt), over: make(chan struct{}), asked: map[string]bool{}}
	defer close(p.over)
	for p.step() {
		t := time.NewTimer(f.StallTime / 4)
		select {
		case a := <-p.results:
			p.end(a)
		case <-f.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// take returns a box that has announced a newer version than this box's and was not asked since, the one with the newest of those
// that may be asked.
func (f *Fetcher) take(may func(address string) bool) (address string, version uint64) {
	own := f.Version()
	for a, v := range f.announced {
		switch {
		case v <= own:
			delete(f.announced, a)
		case !may(a):
		case v > version || v == version && a < address:
			address, version = a, v
		}
	}
	delete(f.announced, address)
	return address, version
}

// log logs the first failed fetch of a series, further ones at long intervals, and the end of the series. The caller holds f.mu.
func (f *Fetcher) log(a *attempt, version uint64) {
	if a.err == nil && f.failures == 0 && !a.Renew || f.c.Err() != nil {
		return
	}
	message := "fetched again"
	switch {
	case a.err != nil:
		f.failures++
		message = "not fetched; retried with the next announcement"
	case a.Renew:
		message = "fetched while another fetch made no progress"
	}
	if a.err == nil || f.failures%failureLogInterval == 1 {
		f.Log.Info().Str("event", "fetch").Str("state", f.Kind).Str("from", a.Address).Bool("renewed", a.Renew).Uint64("announced", a.announced).
			Uint64("newest", f.newest).Uint64("version", version).Int("failures", f.failures).
			Dur("took", boottime.Since(a.began)).EmbedObject(&a.progress).Err(a.err).Msg(message)
	}
	if a.err == nil {
		f.failures = 0
	}
}
