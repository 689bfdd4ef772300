package gossip

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/fleetclock"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/newest"
	"birchlink.dev/birchlink/numbering"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/speed"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// Name is the service's name.
const Name = "gossip"

// Times of the exchange. A box is unreachable if its last report is older than unreachableAfter, and
// is dropped after forgetAfter; a relay is an arbiter only while its last report is younger than
// arbiterTimeout. A relay that has had no answer of the store for maxStoreSilence is not used.
//
// A process younger than startupDuration runs a round every startupRoundPeriod: boxes that all start
// at once need three rounds to receive each other's reports. A process younger than
// selfRepresentedFor represents itself in the division of the limits.
//
// A relay that watches the store is replaced if its last report is older than watcherTimeout, which
// is one missed round: changes must be known everywhere within 2 s, and the new watcher still has to
// read what the old one didn't push.
const (
	roundPeriod        = 500 * time.Millisecond
	callTimeout        = 450 * time.Millisecond
	unreachableAfter   = 2 * time.Second
	arbiterTimeout     = 1200 * time.Millisecond
	watcherTimeout     = 800 * time.Millisecond
	forgetAfter        = 8 * time.Second
	maxStoreSilence    = 1100 * time.Millisecond
	startupDuration    = 3 * time.Second
	selfRepresentedFor = 2 * time.Second
	startupRoundPeriod = 150 * time.Millisecond
)

// statsRounds is the number of rounds between two reports of endpoint statistics. These take some
// hundred bytes per service and change over seconds.
const statsRounds = 4

// askAnyAfter is how long the store must be unresponsive before a member asks random boxes.
const askAnyAfter = 2 * time.Second

// watchTimeout is how long a call waits for changes of the relay slots. It can be long because a
// relay that stops is detected by its missing reports.
const watchTimeout = 15 * time.Second

// Gossip is the gossip service of one box. LocalStatus returns what this box reports. OnRound is called
// after each round with the sum of the reports of all other boxes.
type Gossip struct {
	Box        string
	DataCentre string
	Address    string
	Prefix     string
	Seeds      []string

	// LinkMbps is the bandwidth of this box's link in Mbit/s; zero if unknown.
	LinkMbps float64

	Store       store.Store
	LocalStatus func() Status
	OnRound     func(others Status)

	// FirstStart is set if the whole system starts for the first time. There is no snapshot to read
	// then.
	FirstStart bool

	// SnapshotKey is the key in the store to which a relay writes the result of Snapshot for a number
	// of boxes, and EndpointStats over all boxes. Processes that start all at once read it before
	// they have received each other's reports, and pass it to RestoreQuota and RestoreEndpointStats.
	SnapshotKey  string
	Snapshot     func(boxes int) quota.Before
	RestoreQuota func(quota.Before)
	Quota        *quota.Quota

	// Rollouts holds what this box knows about rollouts of versions.
	Rollouts *rollout.Gate

	// Quarantine holds what this box knows about contents that crash endpoints.
	Quarantine *quarantine.Quarantine

	// Rates holds the request rates that endpoints accept from all boxes together.
	Rates *endpointlimit.Rates

	// Numbering knows how services number the events of their streams.
	Numbering *numbering.Census

	// EndpointSpeeds holds the samples of endpoints' speeds; nil if they aren't exchanged.
	EndpointSpeeds *speed.Estimator

	// OnCrash is called with the incarnation of each endpoint that another box reports as crashed.
	OnCrash func(incarnation string)

	// UsedEndpoints returns the endpoints for which this box needs load reports; none means all.
	UsedEndpoints func() []string

	Clock                *fleetclock.Clock
	Leaving              func() bool // reports whether this box is stopping; may be nil
	EndpointStats        func() map[string]estimate.Stats
	RestoreEndpointStats func(map[string]estimate.Stats)

	log           zerolog.Logger
	state         *fleetstate.Service
	session       *storesession.Session
	node          *peer.Node
	ctx           context.Context
	cancel        context.CancelFunc
	group         sync.WaitGroup
	slotOffset    int
	rounds        atomic.Int64
	relay         relaySlot // the relay that represents this box; itself while it is a relay
	slotVacant    bool      // a relay slot of this data centre may be free
	claimDoubtful bool      // the last claim of a slot may have taken effect, or may still do so
	packedConfig  configCache
	packedRecords recordsCache
	slotWatch     *mirror.Mirror
	stopSlotWatch context.CancelFunc // set while this box watches the slots
	viewLog       viewLog
	restsUntil    atomic.Pointer[time.Time] // nil if this box has not rested
	selfReadUntil time.Time                 // zero if this box has not read the store because others did not tell it

	mu         sync.Mutex
	slots      map[string]relaySlot
	lastLookup time.Time // of the slots
	nextLookup time.Time // earliest time of the next lookup
	// since when a slot of this data centre is known to be free; zero while none is
	slotFreeSince    time.Time
	members          map[string]receivedStatus // by box; they report to this box while it is a relay
	otherRelays      map[string]receivedStatus // by box
	reply            MemberReply               // the last reply of this box's relay
	repliedAt        time.Time                 // when reply came
	replyClockOffset time.Duration             // how far the relay's time of day was ahead then
	lastContact      time.Time                 // time of the last message of another box
	startedAt        time.Time
	snapshot         snapshotState
	stopped          bool

	relayAddress    string       // address of relay, guarded by mu
	pending         notification // the notification to be sent next
	reportedCrashes *simplelru.LRU[string, bool]
	configFetcher   *newest.Fetcher
	recordsFetcher  *newest.Fetcher
	updates         inFlight
	verdictSum      uint64 // checksum of the verdicts that members were last notified of
	totals          totalCache
}

// New returns a service. Its exported fields must be set before it starts.
func New(log zerolog.Logger) *Gossip {
	return &Gossip{
		log: log, Quarantine: &quarantine.Quarantine{}, Rollouts: &rollout.Gate{}, Rates: &endpointlimit.Rates{}, Numbering: &numbering.Census{},
		OnCrash: func(string) {}, UsedEndpoints: func() []string { return nil },
		slots: map[string]relaySlot{}, members: map[string]receivedStatus{}, otherRelays: map[string]receivedStatus{},
	}
}

// Name returns the service's name.
func (g *Gossip) Name() string { return Name }

// Start registers the handlers for calls of other boxes and starts the rounds.
func (g *Gossip) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, fleetstate.Name, &g.state), kernel.Bind(k, peer.Name, &g.node), kernel.Bind(k, storesession.Name, &g.session),
	)
	if err != nil {
		return err
	}
	g.startedAt = boottime.Now()
	c, cancel := context.WithCancel(context.Background())
	g.ctx, g.cancel = c, cancel
	g.newFetchers()
	g.slotOffset = int(xxhash.Sum64String(g.Box) % relaysPerDataCentre)
	peer.Handle(g.node.Server, "gossip.member", g.handleMember)
	peer.Handle(g.node.Server, "gossip.relay", g.handleRelay)
	peer.Handle(g.node.Server, "gossip.view", func(context.Context, struct{}) (viewReport, error) { return g.view(), nil })
	peer.Handle(g.node.Server, "gossip.update", g.handleUpdate)
	peer.Handle(g.node.Server, "gossip.configuration", func(_ context.Context, since uint64) ([]byte, error) {
		v, raw := g.state.RawConfig()
		if v <= since {
			return []byte{}, nil
		}
		return g.packedConfig.pack(raw)
	})
	peer.Handle(g.node.Server, "gossip.records", func(_ context.Context, since uint64) ([]byte, error) {
		return g.packedRecords.pack(g.state, since)
	})
	g.node.Server.LimitConcurrency("gossip.configuration", maxConcurrentSends)
	g.node.Server.LimitConcurrency("gossip.records", maxConcurrentSends)
	peer.Handle(g.node.Server, "gossip.news", g.handleNotification)
	g.Quarantine.SendsTrials = g.sendsTrials
	g.Quarantine.OnChange = func(s []quarantine.Suspect) { g.notify(notification{Suspects: s}) }
	g.slotWatch = &mirror.Mirror{
		Store: g.Store, Prefix: g.Prefix, Wait: watchTimeout, Apply: g.applySlots, Log: g.log,
		StoreUnreachable: g.session.StoreUnreachable,
	}
	g.session.OnReconnect(g.slotWatch.Restart)
	g.state.OnRecords(func(r fleetstate.Records) { g.pushRecords(c, r) })
	g.state.OnConfig(g.updateQuotaOf) // makes new accounts known before their first request
	g.state.OnRawConfig(func([]byte) {
		g.updateQuota() // a round may have passed on the accounts of the configuration before
		version, _ := g.state.RawConfig()
		g.pushUpdate(c, update{Version: version})
	})
	g.group.Go(func() { g.run(c) })
	return nil
}

// Stop ends the rounds and waits for all goroutines.
func (g *Gossip) Stop(context.Context) error {
	g.cancel()
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.group.Wait()
	g.configFetcher.Wait()
	g.recordsFetcher.Wait()
	return nil
}

// spawn starts a goroutine that Stop waits for. Once the service stops, it does nothing.
func (g *Gossip) spawn(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.group.Go(f)
	}
}

// IsRelay reports whether this box is a relay.
func (g *Gossip) IsRelay() bool { return g.holdsSlot() }

// IsIsolated reports whether this box has lost contact to all other boxes.
func (g *Gossip) IsIsolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lastContact.IsZero() && boottime.Since(g.lastContact) > unreachableAfter
}

// LastContact returns the time of the last message of another box. It is zero if there was none.
func (g *Gossip) LastContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastContact
}

// Members returns the latest statuses of the boxes that report to this one.
func (g *Gossip) Members() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Status, 0, len(g.members))
	for _, h := range g.members {
		out = append(out, h.Status)
	}
	return out
}

func (g *Gossip) run(c context.Context) {
	for c.Err() == nil {
		start := boottime.Now()
		g.readSnapshot(c)
		g.updateQuota()
		g.Clock.Adjust(g.clockOffsets())
		g.runRound(c)
		g.logView()
		g.restIfOld()
		g.rounds.Add(1)
		others := g.othersTotal()
		g.OnRound(others)
		g.writeSnapshot(c, others.Boxes)
		wait.For(c, g.currentPeriod()-boottime.Since(start))
	}
	if g.stopSlotWatch != nil {
		g.stopSlotWatch()
	}
}

// clockOffsets returns how far the clocks of the relays that reported in the last round are ahead of
// this box's clock.
func (g *Gossip) clockOffsets() []time.Duration {
	isRelay := g.holdsSlot()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []time.Duration
	if !isRelay && boottime.Since(g.repliedAt) < roundPeriod {
		// The relay has compared its clock with those of other relays, so it counts twice against
		// this box's own.
		return []time.Duration{g.replyClockOffset, g.replyClockOffset}
	}
	for _, h := range g.otherRelays {
		if boottime.Since(h.receivedAt) < roundPeriod {
			out = append(out, h.clockOffset)
		}
	}
	return out
}

func (g *Gossip) currentPeriod() time.Duration {
	if boottime.Since(g.startedAt) < startupDuration {
		return startupRoundPeriod
	}
	return roundPeriod
}

// runRound exchanges reports with other boxes, as a relay or as a member.
func (g *Gossip) runRound(c context.Context) {
	g.dropLapsedSlots()
	g.session.SetFast(g.holdsSlot())
	g.setSampleReceivers()
	if !g.holdsSlot() {
		g.runMemberRound(c)
		return
	}
	g.setRelay(relaySlot{dataCentre: g.DataCentre, box: g.Box, address: g.Address})
	g.takeOverSlot(c)
	g.setSlotWatch(c, true)
	g.exchangeWithRelays(c)
	g.state.SetWatching(g.isWatcher() || g.readsItself())
	if g.session.Lease() != 0 && g.needsSlotLookup() {
		g.claimSlot(c)
	}
}

// setRelay records the relay that represents this box from now on.
func (g *Gossip) setRelay(s relaySlot) {
	g.relay = s
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayAddress = s.address
}

// needsSlotLookup reports whether a slot of this data centre seems to be free and the slots have not
// been looked up for watchTimeout.
func (g *Gossip) needsSlotLookup() bool {
	n := g.countLocalRelays()
	g.mu.Lock()
	defer g.mu.Unlock()
	return n < relaysPerDataCentre && boottime.Since(g.lastLookup) > watchTimeout
}

// countLocalRelays returns the number of relays in this data centre.
func (g *Gossip) countLocalRelays() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.slots {
		if s.dataCentre == g.DataCentre {
			n++
		}
	}
	return n
}

// setSlotWatch starts or stops watching the relay slots in the store.
func (g *Gossip) setSlotWatch(c context.Context, on bool) {
	if on == (g.stopSlotWatch != nil) {
		return
	}
	if !on {
		g.stopSlotWatch()
		g.stopSlotWatch = nil
		return
	}
	x, stop := context.WithCancel(c)
	g.stopSlotWatch = stop
	g.group.Go(func() { g.slotWatch.Run(x) })
}

// mergeReports merges what another box reports, and empties the reports, of which only the checksums are used later.
func (g *Gossip) mergeReports(d *endpoint.DrainingSet, r *endpointlimit.Report, n *numbering.Report) {
	g.mergeDraining(*d)
	g.mergeRates(r.Words)
	g.Numbering.Merge(n.Statements)
	d.Incarnations, r.Words, n.Statements = nil, nil, nil
}

func (g *Gossip) applyReply(w MemberReply) {
	g.Quarantine.Merge(w.Verdicts, boottime.Now())
	g.mergeReports(&w.Leavers, &w.Rates, &w.Numbering)
	g.mergeRollouts(w.Orders, w.Others.Words)
	g.acceptSamples(w.SpeedSamples)
	w.Verdicts = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Peers.Sum == g.reply.Peers.Sum {
		w.Peers = g.reply.Peers
	}
	g.reply, g.repliedAt, g.lastContact, g.replyClockOffset = w, boottime.Now(), boottime.Now(), w.Now.Sub(g.Clock.Now())
}

func (g *Gossip) call(c context.Context, address, method string, in, out any) error {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return g.node.Client.Call(x, address, method, in, out)
}
