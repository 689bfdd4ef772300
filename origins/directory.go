// Package origins lets any box answer at which software version a stream began, which callers may take up again at a
// box other than the one where it began. The box at which a stream begins sends a record of it to a few others, which are
// chosen by the stream's ID. The box at which it is taken up asks those.
//
// While several versions of a service have endpoints, relays also write the records of their data centre's boxes to
// the store, and read them when they start, so that streams can be taken up after all boxes have lost power. No request
// waits for the store.
package origins

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetclock"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/versionhistory"
)

// Name is the name under which the service is registered in the kernel.
const Name = "origins"

// Methods that other boxes call.
const (
	methodPut     = "origins.put"
	methodAsk     = "origins.ask"
	methodArchive = "origins.archive"
)

const (
	// maxLife bounds the time for which a record is kept, and lifeMargin is added to the deadline of the caller: a
	// request that takes the stream up may arrive just before it.
	maxLife    = 15 * time.Minute
	lifeMargin = 2 * time.Second

	// A box answers within a few milliseconds. A lost record is one of several.
	putTimeout = 300 * time.Millisecond
	askTimeout = 150 * time.Millisecond

	// maxPutsInFlight bounds the calls that send records. While as many are under way, further ones are dropped.
	maxPutsInFlight = 256

	// maxAsking bounds the requests for which this box asks others at the same time. Further ones are refused as if no
	// other box knew anything.
	maxAsking = 64

	// maxRecordsLag is how long this box may have known of newer records of endpoints than its own before its view of the
	// versions counts as out of date.
	maxRecordsLag = 500 * time.Millisecond
)

// CallFunc calls a method of the box at an address.
type CallFunc func(c context.Context, address, method string, in, out any) error

// Directory records where streams begin, and finds out where others began. Exported fields must be set before it starts.
type Directory struct {
	Box string

	// Versions holds the versions that have endpoints, as this box knows them.
	Versions *versionhistory.History

	// Boxes returns the other boxes that may hold records.
	Boxes func() Boxes

	// Relay returns the address of the relay that represents this box; empty if it is none or not known. IsRelay
	// reports whether this box is a relay.
	Relay   func() string
	IsRelay func() bool

	Store   store.Store
	Prefix  string // of the keys in the store
	Clock   *fleetclock.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger

	// Call calls another box. If it is nil, Start sets it.
	Call CallFunc

	// StoreSilence returns the time since the store last answered. If it is nil, Start sets it.
	StoreSilence func() time.Duration

	// RecordsLag returns for how long this box has known of newer records of endpoints than its own.
	RecordsLag func() time.Duration

	table    *origin.Table
	archive  archive
	inFlight atomic.Int64 // calls that send records
	asking   atomic.Int64 // requests for which others are asked
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New returns a directory without records.
func New(m metrics.Registry, log zerolog.Logger) *Directory {
	d := &Directory{Metrics: m, Log: log, table: origin.NewTable(), RecordsLag: func() time.Duration { return 0 }}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Name returns the service's name.
func (d *Directory) Name() string { return Name }

// Start registers the handlers for calls from other boxes and starts to archive records.
func (d *Directory) Start(_ context.Context, k *kernel.Kernel) error {
	var n *peer.Node
	if err := kernel.Bind(k, peer.Name, &n); err != nil {
		return err
	}
	var s *storesession.Session
	if err := kernel.Bind(k, storesession.Name, &s); err != nil {
		return err
	}
	d.Call, d.StoreSilence = n.Client.Call, s.StoreUnresponsiveFor
	peer.Handle(n.Server, methodPut, func(_ context.Context, gs []origin.Group) (bool, error) {
		d.accept(gs)
		return true, nil
	})
	peer.Handle(n.Server, methodAsk, func(_ context.Context, q Question) (Reply, error) { return d.answer(d.ctx, q), nil })
	peer.Handle(n.Server, methodArchive, func(_ context.Context, gs []origin.Group) (bool, error) {
		d.acceptForArchive(gs)
		return true, nil
	})
	d.group.Go(func() { d.runArchive(d.ctx) })
	d.group.Go(func() { d.runSettle(d.ctx) })
	return nil
}

// Stop writes the records that aren't archived to the store and ends all calls.
func (d *Directory) Stop(c context.Context) error {
	d.cancel()
	d.group.Wait()
	d.flush(c)
	return nil
}

// Len returns the number of records that this box holds.
func (d *Directory) Len() int { return d.table.Len() }

// Record records that a stream began, or was taken up again, and that its caller waits until deadline. The stream is
// named by the ID of the request that brought its first event. It doesn't block.
func (d *Directory) Record(stream, account string, o origin.Origin, deadline time.Time) {
	now := boottime.Now()
	o.Account = origin.Hash(account)
	r := origin.Record{Stream: origin.Hash(stream), Origin: o, Expires: now.Add(min(deadline.Sub(now)+lifeMargin, maxLife))}
	d.table.Put(r, now)
	metrics.GetOrRegisterCounter("origins.recorded", d.Metrics).Inc(1)
	names, complete := d.Versions.Recent(o.Service, now)
	several := len(names) > 1 || !complete
	if several {
		d.archive.add(r)
	}
	gs := origin.Pack([]origin.Record{r}, d.secondsLeft)
	for _, a := range d.Boxes().receivers(r.Stream, several) {
		d.send(a, gs)
	}
}

// send sends records to a box.
func (d *Directory) send(address string, gs []origin.Group) {
	if d.inFlight.Add(1) > maxPutsInFlight {
		d.inFlight.Add(-1)
		metrics.GetOrRegisterCounter("origins.dropped", d.Metrics).Inc(1)
		return
	}
	go func() {
		defer d.inFlight.Add(-1)
		c, cancel := context.WithTimeout(d.ctx, putTimeout)
		defer cancel()
		if err := d.Call(c, address, methodPut, gs, nil); err != nil {
			metrics.GetOrRegisterCounter("origins.not_sent", d.Metrics).Inc(1)
		}
	}()
}

// accept adds records of other boxes, which lapse in a number of seconds.
func (d *Directory) accept(gs []origin.Group) {
	now := boottime.Now()
	for _, g := range gs {
		for _, r := range g.Unpack(func(s uint32) time.Time { return now.Add(min(time.Duration(s)*time.Second, maxLife)) }) {
			d.table.Put(r, now)
		}
	}
}

// secondsLeft returns the seconds until a time, rounded up.
func (d *Directory) secondsLeft(t time.Time) uint32 {
	return uint32(max(boottime.Until(t)+time.Second-1, 0) / time.Second)
}
