package origins

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

const (
	// passInterval is the interval at which a box passes new records on to its relay, and writeInterval the one at which a relay
	// writes those of its boxes to the store. Streams that began later are lost with the power of all boxes, and most of those that
	// are open at a time have begun within a second or two.
	// In a large fleet a relay has many boxes, which pass records on less often, and relays send records to other data centres
	// every farInterval.
	passInterval      = 100 * time.Millisecond
	largePassInterval = 300 * time.Millisecond
	writeInterval     = 200 * time.Millisecond
	farInterval       = 2 * time.Second

	// segmentInterval is how long a relay writes to the same key, so that a process that starts has few keys to read.
	segmentInterval = time.Second

	// failureInterval is the time after a failed write before the next one.
	failureInterval = time.Second

	// leaseTTL bounds the time for which the store keeps what was written. A new lease is used after half of it.
	leaseTTL = 2 * time.Minute

	// maxPending bounds the records of one write. Beyond that the oldest are dropped.
	maxPending = 2000

	// archiveTimeout bounds a call to the store or to the relay, and readTimeout the read of the archive.
	archiveTimeout = 800 * time.Millisecond
	readTimeout    = 3 * time.Second

	// clockTolerance is how far the clock of a process that has just started may be ahead.
	clockTolerance = 30 * time.Second
)

// archive holds the records that are to be written to the store.
type archive struct {
	mu      sync.Mutex
	pending []origin.Record

	// The fields below belong to the goroutine that archives, and to Stop after its end.
	failed    []origin.Record // records that could not be passed on or written in the last round
	read      bool            // this box has read the archive since it is a relay
	several   map[string]bool // services that had several versions in the last round
	passedAt  time.Time
	far       []origin.Record // not yet sent to another data centre
	farAt     time.Time
	failedAt  time.Time
	lease     store.Lease
	grantedAt time.Time
	segments  int             // keys written under the lease
	segment   []origin.Record // in the last of them
	segmentAt time.Time       // when it began
}

func (a *archive) add(rs ...origin.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = newest(append(a.pending, rs...))
}

func (a *archive) take() []origin.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	rs := a.pending
	a.pending = nil
	return rs
}

// newest returns the last maxPending records.
func newest(rs []origin.Record) []origin.Record {
	if len(rs) <= maxPending {
		return rs
	}
	return slices.Clone(rs[len(rs)-maxPending:])
}

// runArchive passes records on until c is done.
func (d *Directory) runArchive(c context.Context) {
	for c.Err() == nil {
		d.archiveRound(c)
		wait.For(c, passInterval)
	}
}

// archiveRound reads the archive if this box has become a relay, and passes new records on.
func (d *Directory) archiveRound(c context.Context) {
	isRelay := d.IsRelay()
	if isRelay && !d.archive.read {
		d.archive.read = d.readArchive(c)
	}
	d.archive.read = d.archive.read && isRelay
	d.archiveOlder()
	since := boottime.Since(d.archive.passedAt)
	boxes := d.Boxes()
	isLarge := !boxes.areAllKnown()
	if isRelay && since < writeInterval || !isRelay && isLarge && since < largePassInterval ||
		boottime.Since(d.archive.failedAt) < failureInterval {
		return
	}
	fresh := d.archive.take()
	if isLarge && isRelay {
		d.sendFar(fresh, boxes.Relays)
	}
	rs := newest(slices.Concat(d.archive.failed, fresh))
	if len(rs) == 0 {
		return
	}
	d.archive.failed, d.archive.passedAt = nil, boottime.Now()
	if err := d.passOn(c, rs, isRelay); err != nil {
		d.archive.failed, d.archive.failedAt = rs, boottime.Now() // written twice if only the answer was lost
		metrics.GetOrRegisterCounter("origins.not_archived", d.Metrics).Inc(1)
	}
}

// passOn writes records to the store, or sends them to this box's relay if it is none itself.
func (d *Directory) passOn(c context.Context, rs []origin.Record, isRelay bool) error {
	if isRelay {
		return d.write(c, rs)
	}
	relay := d.Relay()
	if relay == "" {
		return errNoRelay
	}
	x, cancel := context.WithTimeout(c, archiveTimeout)
	defer cancel()
	return d.Call(x, relay, methodArchive, origin.Pack(rs, d.unixSeconds), nil)
}

// archiveOlder adds the records of streams that began before their service got several versions.
func (d *Directory) archiveOlder() {
	now := boottime.Now()
	several := map[string]bool{}
	recent, _ := d.Versions.Snapshot(now)
	for s, names := range recent {
		several[s] = len(names) > 1
		if !several[s] || d.archive.several[s] {
			continue
		}
		d.archive.add(d.table.OfService(s, now)...)
	}
	d.archive.several = several
}

// sendFar sends the records of this relay's boxes to a relay of another data centre, together with those that came since it last
// did.
func (d *Directory) sendFar(fresh []origin.Record, relays []string) {
	a := &d.archive
	a.far = newest(append(a.far, fresh...))
	if len(a.far) == 0 || boottime.Since(a.farAt) < farInterval {
		return
	}
	for _, to := range rendezvous.Top(rendezvous.Hash(d.Box), relays, 1) {
		d.send(to, origin.Pack(a.far, d.secondsLeft))
	}
	a.far, a.farAt = nil, boottime.Now()
}

// errNoRelay reports that no relay represents this box.
var errNoRelay = errors.New("no relay represents this box")

// acceptForArchive adds records of this relay's boxes, whose expiry is a time of day.
func (d *Directory) acceptForArchive(gs []origin.Group) {
	for _, r := range d.unpackArchived(gs, 0) {
		d.table.Put(r, boottime.Now())
		d.archive.add(r)
	}
}

// flush writes the records that are left when the process stops.
func (d *Directory) flush(c context.Context) {
	if rs := slices.Concat(d.archive.failed, d.archive.take()); len(rs) > 0 {
		_ = d.write(c, rs)
	}
}

// write writes records to the store.
func (d *Directory) write(c context.Context, rs []origin.Record) error {
	x, cancel := context.WithTimeout(c, archiveTimeout)
	defer cancel()
	if err := d.renewLease(x); err != nil {
		return err
	}
	a := &d.archive
	if boottime.Since(a.segmentAt) >= segmentInterval {
		a.segments++
		a.segment, a.segmentAt = nil, boottime.Now()
	}
	segment := slices.Concat(a.segment, rs)
	b, err := json.Marshal(origin.Pack(segment, d.unixSeconds))
	if err != nil {
		return fmt.Errorf("encode records: %w", err)
	}
	key := fmt.Sprintf("%s%s/%d/%d", d.Prefix, d.Box, a.lease, a.segments)
	if _, err := d.Store.Commit(x, store.Change{Put: []store.Put{{Key: key, Value: b, Lease: a.lease}}}); err != nil {
		a.lease = 0 // it may have run out
		return fmt.Errorf("write %s: %w", key, err)
	}
	a.segment = segment
	metrics.GetOrRegisterCounter("origins.archived", d.Metrics).Inc(int64(len(rs)))
	return nil
}

// renewLease gets a new lease if there is none or half of its time has passed.
func (d *Directory) renewLease(c context.Context) error {
	if d.archive.lease != 0 && boottime.Since(d.archive.grantedAt) < leaseTTL/2 {
		return nil
	}
	l, _, err := d.Store.Grant(c, leaseTTL)
	if err != nil {
		return fmt.Errorf("get a lease: %w", err)
	}
	d.archive.lease, d.archive.grantedAt, d.archive.segments, d.archive.segmentAt = l, boottime.Now(), 0, time.Time{}
	return nil
}

// readArchive reads the records in the store. It returns false if the store did not answer.
func (d *Directory) readArchive(c context.Context) bool {
	x, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	items, _, err := d.Store.Range(x, d.Prefix)
	if err != nil {
		return false
	}
	n, now := 0, boottime.Now()
	for _, i := range items {
		var gs []origin.Group
		if err := json.Unmarshal(i.Value, &gs); err != nil {
			d.Log.Warn().Str("event", "origins").Str("key", i.Key).Err(err).Msg("not read")
			continue
		}
		for _, r := range d.unpackArchived(gs, clockTolerance) {
			d.table.Put(r, now)
			n++
		}
	}
	d.Log.Info().Str("event", "origins").Int("keys", len(items)).Int("records", n).Msg("read from the store")
	return true
}

// unpackArchived returns the records that have not lapsed, which are kept for longer by a tolerance.
func (d *Directory) unpackArchived(gs []origin.Group, tolerance time.Duration) []origin.Record {
	now, wall := boottime.Now(), d.Clock.Now()
	var out []origin.Record
	for _, g := range gs {
		for _, r := range g.Unpack(func(s uint32) time.Time { return now.Add(min(time.Unix(int64(s), 0).Sub(wall), maxLife) + tolerance) }) {
			if r.Expires.After(now) {
				out = append(out, r)
			}
		}
	}
	return out
}

// unixSeconds returns the time of day at which t is, as all boxes know it.
func (d *Directory) unixSeconds(t time.Time) uint32 { return uint32(d.Clock.At(t).Unix()) }
