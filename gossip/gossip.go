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
	"birchlink.dev/birchlink/daytime"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stated"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "gossip"

// The times of an exchange. A box that has not been heard for lost is taken to be
// away, and is forgotten after forgotten; one that has not been heard for recent is
// no arbiter. A relay whose store has been silent for longer than stale is no use. A
// process younger than starting exchanges each startPeriod: boxes that all start at once
// need three rounds to have heard each other. A relay that watches the store for others
// and has missed one round, watcherLost, is counted on no more: a change has to be known
// within 2 s, and what it had not told is then read by another. One younger than selfFor speaks for itself
// in matters of limits.
const (
	period      = 500 * time.Millisecond
	callLimit   = 450 * time.Millisecond
	lost        = 2 * time.Second
	recent      = 1200 * time.Millisecond
	watcherLost = 800 * time.Millisecond
	forgotten   = 8 * time.Second
	stale       = 1100 * time.Millisecond
	starting    = 3 * time.Second
	selfFor     = 2 * time.Second
	startPeriod = 150 * time.Millisecond
)

// speedsRounds is how many rounds pass between two tellings of what was observed of
// endpoints' speeds: some hundred bytes a service, which change over seconds.
const speedsRounds = 4

// quiet is the silence of the store after which any box is asked that answers.
const quiet = 2 * time.Second

// watchWait is how long a call waits for changes of the list of relays. One that
// is gone is noticed by its silence.
const watchWait = 15 * time.Second

// Gossip is the service of one box. Own returns what to tell; OnChange is called
// after each round with the sum of what the others told.
type Gossip struct {
	Box        string
	DataCentre string
	Address    string
	Prefix     string
	Seeds      []string

	// LinkMbps is the rate of this box's link; zero if it is not known.
	LinkMbps float64

	Store    store.Store
	Own      func() Status
	OnChange func(others Status)

	// First says that this is the first start of the whole system: nothing was before, and no
	// box need ask for it.
	First bool

	// BeforeKey is where a relay writes what Before returns for a number of boxes, and
	// Speeds of all, so that processes that start all at once know it before they have
	// heard each other; Expect and Recall are told it.
	BeforeKey string
	Before    func(boxes int) quota.Before
	Expect    func(quota.Before)
	Quota     *quota.Quota

	// Rollouts is what this box knows of roll-outs of versions.
	Rollouts *rollout.Gate

	// Quarantine is what this box knows of requests that end endpoints.
	Quarantine *quarantine.Quarantine

	// Rates are those that endpoints take from all boxes together.
	Rates *stated.Rates

	// OnEnded is called with each endpoint of which another box says that it has ended.
	OnEnded func(endpoint string)

	// WorksWith returns the endpoints whose load this box is told; none means all.
	WorksWith func() []string

	Clock   *daytime.Clock
	Leaving func() bool // reports whether this box stops; nil for one that does not
	Speeds  func() map[string]estimate.Stats
	Recall  func(map[string]estimate.Stats)

	log     zerolog.Logger
	known   *known.Known
	session *session.Session
	node    *peer.Node
	life    context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	turn    int
	rounds  atomic.Int64
	relay   seat // of the relay that counts this box; its own while it is one
	vacant  bool // a place of a relay may be free
	packed  packed
	records packedRecords
	watch   *mirror.Mirror
	unwatch context.CancelFunc // set while this box watches the places

	mu     sync.Mutex
	seats  map[string]seat
	looked time.Time // at the places
	next   time.Time // when they may be looked at again
	// since when a place of this data centre is known to be free; zero while none is
	freeSince time.Time
	members   map[string]heard // that tell this box, while it is a relay
	others    map[string]heard // relays
	world     World            // the last answer of this box's relay
	at        time.Time        // when it came
	ahead     time.Duration    // how far its time of day was ahead then
	last      time.Time        // when any other box was last heard
	began     time.Time
	before    before
	stopped   bool

	relayAddress string // of the relay that counts this box
	news         news   // that is to be told
	ended        *simplelru.LRU[string, bool]
	configFetch  fetch
	recordsFetch fetch
	judged       uint64 // the sum of the verdicts that members were last told
	sums         sums
}

// New returns the service. Its exported fields are to be set before it starts.
func New(log zerolog.Logger) *Gossip {
	return &Gossip{
		log: log, Quarantine: &quarantine.Quarantine{}, Rollouts: &rollout.Gate{}, Rates: &stated.Rates{},
		OnEnded: func(string) {}, WorksWith: func() []string { return nil },
		seats: map[string]seat{}, members: map[string]heard{}, others: map[string]heard{},
	}
}

// Name returns the service's name.
func (g *Gossip) Name() string { return Name }

// Start answers other boxes and begins to call them.
func (g *Gossip) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, known.Name, &g.known), kernel.Bind(k, peer.Name, &g.node), kernel.Bind(k, session.Name, &g.session),
	)
	if err != nil {
		return err
	}
	g.began = boottime.Now()
	g.turn = int(xxhash.Sum64String(g.Box) % relays)
	peer.Handle(g.node.Server, "gossip.member", g.fromMember)
	peer.Handle(g.node.Server, "gossip.relay", g.fromRelay)
	peer.Handle(g.node.Server, "gossip.update", g.fromOwn)
	peer.Handle(g.node.Server, "gossip.configuration", func(context.Context, uint64) ([]byte, error) {
		_, raw := g.known.Raw()
		return g.packed.pack(raw)
	})
	peer.Handle(g.node.Server, "gossip.records", func(_ context.Context, since uint64) ([]byte, error) {
		return g.records.pack(g.known, since)
	})
	g.node.Server.InTurn("gossip.configuration", sendsAtOnce)
	g.node.Server.InTurn("gossip.records", sendsAtOnce)
	peer.Handle(g.node.Server, "gossip.news", g.fromNews)
	c, cancel := context.WithCancel(context.Background())
	g.life, g.cancel = c, cancel
	g.Quarantine.SendsTrials = g.tries
	g.Quarantine.OnChange = func(s []quarantine.Suspect) { g.tellNews(news{Suspects: s}) }
	g.watch = &mirror.Mirror{Store: g.Store, Prefix: g.Prefix, Wait: watchWait, Apply: g.apply, Log: g.log, Away: g.session.StoreUnreachable}
	g.session.OnReconnect(g.watch.Restart)
	g.known.OnRecords(func(r known.Records) { g.pushRecords(c, r) })
	g.known.OnRaw(func(raw []byte) {
		g.limit() // accounts that are new are known from the first request on
		g.pushConfiguration(c, raw)
	})
	g.group.Go(func() { g.run(c) })
	return nil
}

// Stop ends the exchange.
func (g *Gossip) Stop(context.Context) error {
	g.cancel()
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.group.Wait()
	return nil
}

// spawn begins a goroutine that Stop waits for; once it stops, none.
func (g *Gossip) spawn(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.group.Go(f)
	}
}

// Relay reports whether this box is one of those that watch the store.
func (g *Gossip) Relay() bool { return g.holds() }

// Alone reports whether no other box has been heard lately, though there were.
func (g *Gossip) Alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.last.IsZero() && boottime.Since(g.last) > lost
}

// Members returns the statuses of the boxes that tell this one, as they last were.
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
		began := boottime.Now()
		g.readBefore(c)
		g.limit()
		g.Clock.Follow(g.clocks())
		g.round(c)
		g.rounds.Add(1)
		others := g.sum()
		g.OnChange(others)
		g.writeBefore(c, others.Boxes)
		wait.For(c, g.period()-boottime.Since(began))
	}
	if g.unwatch != nil {
		g.unwatch()
	}
}

// clocks returns how far the time of day of the relays that were heard in the last round
// is ahead of this box's.
func (g *Gossip) clocks() []time.Duration {
	relay := g.holds()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []time.Duration
	if !relay && boottime.Since(g.at) < period {
		// The relay has compared its own with the others', so it has two votes against
		// this box's one.
		return []time.Duration{g.ahead, g.ahead}
	}
	for _, h := range g.others {
		if boottime.Since(h.at) < period {
			out = append(out, h.ahead)
		}
	}
	return out
}

func (g *Gossip) period() time.Duration {
	if boottime.Since(g.began) < starting {
		return startPeriod
	}
	return period
}

// round tells those that this box has to tell, and finds its part anew where
// nobody answers.
func (g *Gossip) round(c context.Context) {
	g.dropLapsed()
	g.session.SetFast(g.holds())
	if !g.holds() {
		g.asMember(c)
		return
	}
	g.setRelay(seat{dataCentre: g.DataCentre, box: g.Box, address: g.Address})
	g.keepPlace(c)
	g.followPlaces(c, true)
	g.exchange(c)
	g.known.Follow(g.watches())
	if g.session.Lease() != 0 && g.lostPlace() {
		g.enlist(c)
	}
}

// setRelay notes which relay counts this box from now on.
func (g *Gossip) setRelay(s seat) {
	g.relay = s
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayAddress = s.address
}

// lostPlace reports whether the store does not list this box at its place.
func (g *Gossip) lostPlace() bool {
	n := g.places()
	g.mu.Lock()
	defer g.mu.Unlock()
	return n < relays && boottime.Since(g.looked) > watchWait
}

// places returns how many relays this data centre has.
func (g *Gossip) places() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.seats {
		if s.dataCentre == g.DataCentre {
			n++
		}
	}
	return n
}

// followPlaces begins or ends watching which boxes are relays.
func (g *Gossip) followPlaces(c context.Context, on bool) {
	if on == (g.unwatch != nil) {
		return
	}
	if !on {
		g.unwatch()
		g.unwatch = nil
		return
	}
	x, stop := context.WithCancel(c)
	g.unwatch = stop
	g.group.Go(func() { g.watch.Run(x) })
}

func (g *Gossip) heardWorld(w World) {
	g.Quarantine.Merge(w.Verdicts, boottime.Now())
	g.hearLeavers(w.Leavers)
	g.hearRates(w.Rates.Words)
	g.hearRollouts(w.Orders, w.Others.Words)
	w.Verdicts, w.Leavers.Incarnations, w.Rates.Words = nil, nil, nil
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Peers.Sum == g.world.Peers.Sum {
		w.Peers = g.world.Peers
	}
	g.world, g.at, g.last, g.ahead = w, boottime.Now(), boottime.Now(), w.Now.Sub(g.Clock.Now())
}

func (g *Gossip) pushConfiguration(c context.Context, raw []byte) {
	zip, err := g.packed.pack(raw)
	if err != nil {
		g.log.Error().Str("event", "configuration").Err(err).Msg("not pushed; members fetch it")
		return
	}
	g.push(c, update{Configuration: zip, From: g.Box})
}

func (g *Gossip) install(zip []byte, from string) {
	raw, err := unpack(zip)
	if err == nil {
		err = g.known.Install(raw, from)
	}
	if err != nil {
		g.log.Error().Str("event", "configuration").Str("from", from).Err(err).Msg("not taken; the one in force stays")
	}
}

func (g *Gossip) call(c context.Context, address, method string, in, out any) error {
	x, cancel := context.WithTimeout(c, callLimit)
	defer cancel()
	return g.node.Client.Call(x, address, method, in, out)
}
