package configsync

import (
	"context"
	"slices"
	"time"

	"birchlink.dev/birchlink/member"
)

// failureLogInterval is how many failures in a row there are between two that are logged.
const failureLogInterval = 20

// reads is the read of a higher version from a peer that is in progress, if there is one, and the highest version that was
// offered.
type reads struct {
	newest    offer
	failures  int // in a row
	number    int // of the last read
	from      string
	startedAt time.Time
	cancel    context.CancelFunc // nil while no read is in progress
}

// read reads an offered version in the background if it is higher than the installed one. Versions that are offered while
// another is being read are not read one by one: after it, the highest one is.
func (f *Follower) read(o offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.reads
	if o.Version > r.newest.Version {
		r.newest = o
	}
	if o.Version <= f.revision.Version {
		return
	}
	if r.cancel != nil {
		if r.from == o.Address || time.Since(r.startedAt) < staleReadAge || f.isUp(r.from) {
			return
		}
		r.cancel()
	}
	f.beginRead(o)
}

// isUp reports whether the box at an address is up.
func (f *Follower) isUp(address string) bool {
	return slices.ContainsFunc(f.members.Up(""), func(m member.Member) bool { return m.Address == address })
}

// beginRead starts to read an offered version, and after it higher ones that were offered meanwhile. The lock must be held.
func (f *Follower) beginRead(o offer) {
	if f.ctx.Err() != nil {
		return
	}
	c, cancel := context.WithCancel(f.ctx)
	r := &f.reads
	r.number++
	number := r.number
	r.from, r.startedAt, r.cancel = o.Address, time.Now(), cancel
	f.group.Go(func() {
		defer cancel()
		err := f.fetch(c, o.Address, readTimeout)
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.number != number {
			return // another one has taken its place
		}
		r.cancel = nil
		f.logRead(o, err)
		// A peer that doesn't have what it offered is not asked again before the next offer or poll.
		if version := f.revision.Version; err == nil && version >= o.Version && r.newest.Version > version {
			f.beginRead(r.newest)
		}
	})
}

// logRead logs a failed read, and the end of a series of them. The lock must be held.
func (f *Follower) logRead(o offer, err error) {
	switch {
	case err != nil:
		f.logFailure(&f.reads.failures, o.Address, o.Version, err)
	case f.reads.failures > 0:
		f.reads.failures = 0
		f.Log.Info().Str("event", "configuration").Str("from", o.Address).Uint64("version", f.revision.Version).Msg("read again")
	}
}

// logFailure counts a failed read, and logs the first of a series and further ones at long intervals.
func (f *Follower) logFailure(failures *int, from string, offered uint64, err error) {
	*failures++
	if *failures%failureLogInterval == 1 {
		f.Log.Info().Str("event", "configuration").Str("from", from).Uint64("offered", offered).Int("failures", *failures).
			Err(err).Msg("not read; retrying")
	}
}
