// Package observer keeps the view of a box current. Two boxes of each data centre read the load of
// each endpoint, the box list and the reclaim notices, and push them to the other boxes there. A box
// that receives no pushes reads them itself.
package observer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service.
const Name = "observer"

const (
	readInterval = time.Second
	readTimeout  = 900 * time.Millisecond

	// staleAfter is the age of the view's horizon from which a box reads the notices from the
	// cloud itself, and the minimum age of a load report from which it reads the endpoint itself.
	staleAfter = 3 * time.Second

	// readersPerTarget is the number of boxes of a data centre that read the same endpoint, or
	// the box list and the notices.
	readersPerTarget = 2

	fullPushEvery   = 10 // of ten pushes, one has the facts and also unchanged rows
	demandPushEvery = 3  // of three pushes, one has the demand
)

// pushBytesPerSecond bounds the traffic of pushes that a box sends and receives. The time between
// pushes follows from it: with more boxes or endpoints the view gets older, and the traffic does not
// grow.
const pushBytesPerSecond = 4500

// pushOverheadBytes is the size of the frame and the response of a push.
const pushOverheadBytes = 64

// Push is the message that a box sends to the other boxes of its data centre. HorizonAge is an age and
// not a time, so that the boxes' clocks need not agree. A push has Boxes only if the box list changed;
// Digest identifies the list.
type Push struct {
	_msgpack struct{} `msgpack:",as_array"`

	From       string
	HorizonAge time.Duration
	Digest     uint64
	Notices    map[string]time.Time
	Boxes      []fleet.Box
	Facts      []view.Facts
	Rows       []view.Row
	Demand     admission.Demand
}

// Observer is the service that keeps the view of one box current.
type Observer struct {
	Cloud *cloud.Client
	Log   zerolog.Logger

	view         *view.View
	members      *member.Service
	peers        *peer.Node
	demandSource *admission.Admission
	http         *jsonhttp.Client

	mu           sync.Mutex
	facts        map[uint32]view.Facts
	pendingRows  map[uint32]view.Row
	sentDigest   uint64
	sentRows     map[uint32]view.Row
	factsChanged bool
	nextPush     time.Time
	pushPeriod   time.Duration
	pushCount    int
	refreshMu    sync.Mutex
	refreshedAt  time.Time
	cancel       context.CancelFunc
	group        sync.WaitGroup
	pushNow      chan struct{}
}

// New returns the observer of a box that reads from p.
func New(p *cloud.Client, log zerolog.Logger) *Observer {
	return &Observer{
		Cloud: p, Log: log, facts: map[uint32]view.Facts{}, pendingRows: map[uint32]view.Row{}, sentRows: map[uint32]view.Row{},
		pushNow: make(chan struct{}, 1),
	}
}

// Name returns the name of the service.
func (o *Observer) Name() string { return Name }

// Start reads everything once, and then updates the view every second until Stop is called.
func (o *Observer) Start(c context.Context, k *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(k, view.Name, &o.view),
		kernel.Bind(k, member.Name, &o.members),
		kernel.Bind(k, peer.Name, &o.peers),
		kernel.Bind(k, admission.Name, &o.demandSource),
	); err != nil {
		return err
	}
	o.http = &jsonhttp.Client{HTTP: jsonhttp.NewHTTPClient(readTimeout), Caller: o.members.Self().Box}
	peer.Handle(o.peers.Server, "view.push", o.handlePush)
	peer.Handle(o.peers.Server, "view.all", o.handleFetch)
	o.fetchFromAnyPeer(c)
	o.readCloud(c)
	o.readLoads(c)
	x, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	o.group.Go(func() { o.loop(x) })
	return nil
}

// Stop stops the updates and closes idle connections.
func (o *Observer) Stop(context.Context) error {
	o.cancel()
	o.group.Wait()
	o.http.HTTP.CloseIdleConnections()
	return nil
}

func (o *Observer) loop(c context.Context) {
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-o.pushNow:
			o.push(c, true)
			continue
		case <-t.C:
		}
		o.update(c)
	}
}

func (o *Observer) update(c context.Context) {
	var g sync.WaitGroup
	isReader, _ := o.members.Owner("notices", readersPerTarget)
	if isReader || o.IsStale() {
		g.Go(func() { o.readCloud(c) })
	}
	g.Go(func() { o.readLoads(c) })
	g.Wait()
	o.push(c, false)
}

// IsStale reports whether the view may lack reclaim notices.
func (o *Observer) IsStale() bool { return time.Since(o.view.Horizon()) > staleAfter }

// EnsureFresh reads the box list and the notices from the cloud if the view is stale, and reports
// whether the view is fresh afterwards. It is called before new work is sent. Concurrent calls wait
// for one read.
func (o *Observer) EnsureFresh(c context.Context) bool {
	if !o.IsStale() {
		return true
	}
	o.refreshMu.Lock()
	defer o.refreshMu.Unlock()
	// A concurrent call may have refreshed the view, or just failed to.
	if !o.IsStale() || time.Since(o.refreshedAt) < readInterval {
		return !o.IsStale()
	}
	o.readCloud(c)
	o.refreshedAt = time.Now()
	return !o.IsStale()
}

// readCloud reads the box list and the notices.
func (o *Observer) readCloud(c context.Context) {
	c, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() {
		bs, err := o.Cloud.Boxes(c)
		if err != nil {
			o.Log.Warn().Err(err).Msg("read box list failed")
			return
		}
		o.view.SetBoxes(bs)
	})
	g.Go(func() { o.readNotices(c) })
	g.Wait()
}

func (o *Observer) readNotices(c context.Context) {
	asOf := time.Now()
	bs, err := o.Cloud.Notices(c)
	if err != nil {
		o.Log.Warn().Err(err).Msg("notices not read")
		return
	}
	m := make(map[string]time.Time, len(bs))
	for _, b := range bs {
		m[b.Name] = b.Deadline
	}
	if o.view.SetNotices(m, asOf) > 0 {
		o.requestPush()
	}
}

func (o *Observer) requestPush() {
	select {
	case o.pushNow <- struct{}{}:
	default:
	}
}

// readLoads reads the load of the endpoints in this data centre that this box is a reader of, and of
// those without a recent report from another box.
func (o *Observer) readLoads(c context.Context) {
	c, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	dc := o.members.Self().DataCentre
	var g sync.WaitGroup
	for _, s := range o.view.Endpoints() {
		if s.DataCentre != dc {
			continue
		}
		isReader, _ := o.members.Owner(s.Name, readersPerTarget)
		if isReader || time.Since(s.ReportedAt) > o.loadStaleAfter() {
			g.Go(func() { o.readLoad(c, s) })
		}
	}
	g.Wait()
}

// loadStaleAfter returns the age of a load report from which a box reads the endpoint itself.
// Unchanged rows are sent only in full pushes, so it covers two of their periods.
func (o *Observer) loadStaleAfter() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return staleAfter + 2*fullPushEvery*max(o.pushPeriod, readInterval)
}

func (o *Observer) readLoad(c context.Context, s *view.EndpointState) {
	h := jsonhttp.Client{Base: "http://" + s.Address, HTTP: o.http.HTTP, Caller: o.http.Caller}
	var l fleet.Load
	if err := h.Do(c, http.MethodGet, "/load", nil, &l); err != nil {
		o.Log.Debug().Str("box", s.Name).Err(err).Msg("read load failed")
		return
	}
	f := view.Facts{
		Box: s.Name, Incarnation: l.Incarnation, Loaded: l.Loaded, Slots: l.Slots,
		TokensPerSecond: l.TokensPerSecond, ChecksFence: l.ChecksFence,
	}
	o.recordLoad(f, view.Row{ID: view.ID(s.Name), Running: uint16(l.Running), Waiting: uint16(l.Waiting)})
}

// recordLoad adds a report to the view and to the next push. Changed facts make the next push full and
// due at once.
func (o *Observer) recordLoad(f view.Facts, r view.Row) {
	o.mu.Lock()
	old, known := o.facts[r.ID]
	unchanged := known && old.Incarnation == f.Incarnation && slices.Equal(old.Loaded, f.Loaded) && old.Slots == f.Slots
	if !unchanged {
		o.facts[r.ID] = f
		o.factsChanged = true
		o.nextPush = time.Time{}
	}
	o.pendingRows[r.ID] = r
	o.mu.Unlock()
	if !unchanged {
		o.view.SetFacts([]view.Facts{f})
	}
	o.view.SetRows([]view.Row{r})
}

// push sends a push to the other boxes of the data centre if the budget allows it or now is set.
func (o *Observer) push(c context.Context, now bool) {
	self := o.members.Self()
	ms := o.members.Up(self.DataCentre)
	o.mu.Lock()
	if !now && time.Now().Before(o.nextPush) {
		o.mu.Unlock()
		return
	}
	p := o.buildPush(self.Box)
	o.pushPeriod = pushInterval(p, len(ms)-1)
	o.nextPush = time.Now().Add(o.pushPeriod)
	o.mu.Unlock()
	c, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, m := range ms {
		if m.Box != self.Box {
			g.Go(func() { _ = o.peers.Client.Call(c, m.Address, "view.push", p, nil) })
		}
	}
	g.Wait()
}

// pushInterval returns the time to wait after a push p to a number of other boxes to stay within
// pushBytesPerSecond. Its factor of two counts the pushes received, which are about as large.
func pushInterval(p Push, others int) time.Duration {
	b, err := msgpack.Marshal(p)
	if err != nil {
		return readInterval
	}
	return time.Duration(float64(2*others*(len(b)+pushOverheadBytes)) / pushBytesPerSecond * float64(time.Second))
}

// buildPush returns a push with the pending rows that differ from the last ones sent. A full push has
// all pending rows and their facts. The caller holds o.mu.
func (o *Observer) buildPush(box string) Push {
	p := Push{
		From: box, HorizonAge: time.Since(o.view.Horizon()), Digest: o.view.Digest(),
		Notices: o.view.Notices(),
	}
	full := o.factsChanged || o.pushCount%fullPushEvery == 0
	if o.pushCount%demandPushEvery == 0 {
		p.Demand = o.demandSource.LocalDemand()
	}
	o.pushCount++
	o.factsChanged = false
	for id, r := range o.pendingRows {
		if r != o.sentRows[id] || full {
			p.Rows = append(p.Rows, r)
			o.sentRows[id] = r
		}
		if full {
			p.Facts = append(p.Facts, o.facts[id])
		}
	}
	clear(o.pendingRows)
	if p.Digest != o.sentDigest {
		p.Boxes, _ = o.view.Boxes()
		o.sentDigest = p.Digest
	}
	return p
}

func (o *Observer) handlePush(c context.Context, p Push) (struct{}, error) {
	added := o.view.SetNotices(p.Notices, time.Now().Add(-p.HorizonAge))
	if added > 0 {
		o.requestPush()
	}
	isReader, _ := o.members.Owner("notices", readersPerTarget)
	if len(p.Boxes) > 0 && !isReader {
		o.view.SetBoxes(p.Boxes)
	}
	o.view.SetFacts(p.Facts)
	missing := o.view.SetRows(p.Rows)
	if p.Demand.Accounts != nil {
		o.demandSource.SetDemand(p.From, p.Demand)
	}
	lacksBoxes := p.Digest != o.view.Digest() && len(p.Boxes) == 0 && !isReader && p.HorizonAge < time.Since(o.view.Horizon())+readInterval
	if len(missing) > 0 || lacksBoxes {
		if m, ok := o.findMember(p.From); ok {
			o.group.Go(func() { o.fetch(context.WithoutCancel(c), m.Address) })
		}
	}
	return struct{}{}, nil
}

func (o *Observer) findMember(box string) (member.Member, bool) {
	for _, m := range o.members.Up("") {
		if m.Box == box {
			return m, true
		}
	}
	return member.Member{}, false
}

func (o *Observer) handleFetch(context.Context, struct{}) (Push, error) {
	p := Push{
		From: o.members.Self().Box, HorizonAge: time.Since(o.view.Horizon()),
		Digest: o.view.Digest(), Notices: o.view.Notices(), Facts: o.view.Facts(nil),
	}
	p.Boxes, _ = o.view.Boxes()
	return p, nil
}

// fetch copies the complete view of another box and reports whether it succeeded.
func (o *Observer) fetch(c context.Context, address string) bool {
	c, cancel := context.WithTimeout(c, readTimeout)
	defer cancel()
	var p Push
	if err := o.peers.Client.Call(c, address, "view.all", struct{}{}, &p); err != nil || len(p.Boxes) == 0 {
		return false
	}
	o.view.SetBoxes(p.Boxes)
	o.view.SetNotices(p.Notices, time.Now().Add(-p.HorizonAge))
	o.view.SetFacts(p.Facts)
	return true
}

// fetchFromAnyPeer copies the view of the first other box of the data centre that has one.
func (o *Observer) fetchFromAnyPeer(c context.Context) {
	self := o.members.Self()
	for _, m := range o.members.Up(self.DataCentre) {
		if m.Box != self.Box && o.fetch(c, m.Address) {
			return
		}
	}
}
