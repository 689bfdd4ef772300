// Package orders has the fleet's size changed at the cloud, by the box that
// holds the duty.
package orders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/cloudapi"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "orders"

// The times of the orders. What was refused for want of supply is asked for
// again after dryPause; what is ordered but does not come is ordered again after
// again, since the answer of an order may be lost with the order.
const (
	step     = 400 * time.Millisecond
	dryPause = 2 * time.Second
	again    = 8 * time.Second
	judge    = 3 * time.Second
)

// A smaller count is ordered when it has been wanted for so long. Reclaimable
// endpoints cost a fifth, and each that comes back has to read its prompts anew. With
// smaller counts at once, 0.10 to 0.13 of a day's worth is lost.
const (
	settleOnDemand    = 1500 * time.Millisecond
	settleReclaimable = 12 * time.Second
)

// Of more than surplusKept times the reclaimable endpoints that are wanted the rest is given up
// after settleSurplus: so many stand in for a load that doubles while others start. wanted counts
// that differ by sameCount are the same: where hundreds are wanted, the count never stands still.
const (
	surplusKept   = 2
	settleSurplus = settleOnDemand
	sameCount     = 0.1
)

// cutFor is for how long a data centre that is not heard is taken to be cut off: the
// users' cuts last up to 12 s.
const cutFor = 20 * time.Second

// longAgo stands in the log for a reclaim that was not seen.
const longAgo = time.Hour

// Orders is the service of one box. Demand returns what each data centre's
// boxes carry for a service.
type Orders struct {
	Box      string
	Cloud    cloudapi.Cloud
	Election *election.Election
	Policy   scaling.Policy
	Demand   func(service string) map[string]demand.Stats

	// Limited reports whether an endpoint takes a bounded rate of requests.
	Limited func(endpoint.Endpoint) bool

	// Bears returns what one endpoint of a service bears, by its slots and by the
	// longest pause between events that the service's routes allow.
	Bears func(service string, slots int, pause time.Duration) scaling.Bears

	log    zerolog.Logger
	known  *known.Known
	cancel context.CancelFunc
	group  sync.WaitGroup

	fence   uint64
	placed  map[subject]placed
	reclaim map[string]time.Time // by data centre, when it last began
	first   map[string]time.Time // by service, when there was demand first
	found   map[string]int       // by service, how many endpoints there were at first
	lower   map[subject]lowering
	heard   map[place]time.Time // when its boxes' demand was last told
}

// place is a service in a data centre.
type place struct{ service, dataCentre string }

// subject is one kind of endpoint of a service in a data centre.
type subject struct {
	service, dataCentre string
	reclaimable         bool
}

// placed is the last order of a subject.
type placed struct {
	count int
	at    time.Time
	done  bool
	dry   bool

	// served is the most of them that have served, and taken says that they are
	// being reclaimed.
	served int
	taken  bool
}

// lowering is a smaller count that has been wanted since a time, at most.
type lowering struct {
	first int
	count int // the most since
	since time.Time
}

// New returns the service; its exported fields are to be set before it starts.
func New(log zerolog.Logger) *Orders {
	return &Orders{
		log: log, Limited: func(endpoint.Endpoint) bool { return false },
		reclaim: map[string]time.Time{}, first: map[string]time.Time{}, found: map[string]int{}, lower: map[subject]lowering{}, heard: map[place]time.Time{},
	}
}

// Name returns the service's name.
func (o *Orders) Name() string { return Name }

// Start begins to order.
func (o *Orders) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, known.Name, &o.known); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	o.group.Go(func() { o.run(c) })
	return nil
}

// Stop ends the orders.
func (o *Orders) Stop(context.Context) error {
	o.cancel()
	o.group.Wait()
	return nil
}

func (o *Orders) run(c context.Context) {
	for c.Err() == nil {
		wait.For(c, step)
		t := o.known.Table()
		fence, ok := o.Election.Act()
		if !ok || t == nil || !o.known.Ready() {
			continue
		}
		if fence != o.fence {
			o.fence, o.placed = fence, map[subject]placed{}
			o.lower = map[subject]lowering{}
		}
		for i := range t.Document.Services {
			if s := &t.Document.Services[i]; s.Scaling != nil {
				o.service(c, s)
			}
		}
	}
}

// service orders what one service lacks or has too much of.
func (o *Orders) service(c context.Context, s *catalog.Service) {
	now := boottime.Now()
	all := o.known.Roster.All()
	load := o.Demand(s.Name)
	serving := o.known.Roster.Serving(s.Name)
	limited := slices.DeleteFunc(slices.Clone(serving), func(e endpoint.Endpoint) bool { return !o.Limited(e) })
	dcs := scaling.DataCentres(s.Scaling)
	sites := make([]scaling.Site, 0, len(dcs))
	cut := map[string]bool{}
	for _, dc := range dcs {
		f, told := load[dc]
		cut[dc] = o.cut(place{s.Name, dc}, told, now)
		site := scaling.Site{
			DataCentre: dc, Demand: scaling.Demand{Tokens: f.Tokens, Running: f.Running},
			Have: scaling.Serving(serving, dc), Limited: scaling.Serving(limited, dc),
			Dry: o.placed[subject{s.Name, dc, true}].dry,
		}
		if !cut[dc] {
			o.watchReclaim(all, s.Name, site, now)
		}
		site.Since = now.Sub(o.reclaim[dc])
		sites = append(sites, site)
	}
	policy := o.Policy
	replacing := false // what was found, while its load is not known
	if !o.seen(s.Name, load, now) {
		// What was found carries the load, as far as is known: no more is ordered than
		// stands in for it.
		found := o.foundOf(s.Name, sites)
		policy.Least, policy.Surplus = max(policy.Least, found), 1
		replacing = found > 0
	}
	if replacing {
		// In the first second the load is known, and nothing yet of the endpoints' speed:
		// 33 endpoints too many were ordered for 12 s.
		for i := range sites {
			sites[i].Demand = scaling.Demand{}
		}
	}
	bears := o.Bears(s.Name, slotsOf(all, s), estimate.PauseTarget(o.known.Table().Document, s.Name))
	plan := policy.Plan(s.Scaling, sites, bears)
	for _, site := range sites {
		if cut[site.DataCentre] {
			continue
		}
		p := plan[site.DataCentre]
		o.want(c, subject{s.Name, site.DataCentre, true}, p.Reclaimable, site, bears, false)
		o.want(c, subject{s.Name, site.DataCentre, false}, p.OnDemand, site, bears, replacing)
	}
}

// want orders a count, if it is another than the last. A smaller one is ordered when it
// has been wanted for a while, or at once: no load swings while what was found is replaced.
func (o *Orders) want(c context.Context, s subject, n int, site scaling.Site, bears scaling.Bears, atOnce bool) {
	now := boottime.Now()
	p, had := o.placed[s]
	have := site.Have.OnDemand
	if s.reclaimable {
		have = site.Have.Reclaimable
	}
	lower := n < max(p.count, have)
	if !lower {
		delete(o.lower, s)
	}
	switch {
	case had && p.dry && now.Sub(p.at) < dryPause:
		return
	case had && p.done && p.count == n && (have >= n || now.Sub(p.at) < again):
		return
	}
	// Those that were ordered and cannot be had now are given up at once: the order
	// would keep their places from others.
	none := s.reclaimable && have == 0 && (p.dry || p.taken)
	if lower && !none && !atOnce && !o.settled(s, n, now) {
		n *= surplusKept
		if !s.reclaimable || n >= max(p.count, have) || !o.lowFor(s, settleSurplus, now) {
			return
		}
	}
	o.order(c, s, n, site, bears)
}

// lowFor reports whether a smaller count has been wanted for some time.
func (o *Orders) lowFor(s subject, d time.Duration, now time.Time) bool {
	l, ok := o.lower[s]
	return ok && now.Sub(l.since) >= d
}

// settled reports whether a smaller count has been wanted for long enough.
func (o *Orders) settled(s subject, n int, now time.Time) bool {
	settle := settleOnDemand
	if s.reclaimable {
		settle = settleReclaimable
	}
	l, ok := o.lower[s]
	if !ok || n > l.count && float64(n) > (1+sameCount)*float64(l.first) || now.Sub(l.since) > 2*settle {
		o.lower[s] = lowering{n, n, now}
		return false
	}
	l.count = max(l.count, n)
	o.lower[s] = l
	return now.Sub(l.since) >= settle
}

func (o *Orders) order(c context.Context, s subject, n int, site scaling.Site, bears scaling.Bears) {
	fence, ok := o.Election.Act()
	if !ok || fence != o.fence {
		return
	}
	delete(o.lower, s)
	err := o.Cloud.Order(c, cloudapi.Duty{Holder: o.Box, Fence: fence}, cloudapi.Order{
		Service: s.service, DataCentre: s.dataCentre, Reclaimable: s.reclaimable, Count: n,
	})
	old := o.placed[s]
	p := placed{count: n, at: boottime.Now(), done: err == nil, served: min(old.served, n), taken: old.taken}
	if errors.Is(err, cloudapi.ErrFenced) {
		p.dry = s.reclaimable
		if !s.reclaimable {
			o.Election.Drop(fence)
		}
	}
	o.placed[s] = p
	o.log.Info().Str("event", "order").Str("service", s.service).Str("data_centre", s.dataCentre).Bool("reclaimable", s.reclaimable).
		Int("count", n).Uint64("fence", fence).
		Float64("bears_tokens_per_s", bears.Reclaimable.Tokens).Float64("on_demand_bears", bears.OnDemand.Tokens).
		Float64("bears_running", bears.OnDemand.Running).
		Float64("tokens_per_s", site.Demand.Tokens).Float64("running", site.Demand.Running).
		Int("have_on_demand", site.Have.OnDemand).Int("have_reclaimable", site.Have.Reclaimable).
		Int("limited", site.Limited.OnDemand+site.Limited.Reclaimable).
		Dur("since_reclaim", min(site.Since, longAgo)).Bool("dry", site.Dry).Str("outcome", outcome(s, err)).Err(err).Msg("decision")
}

// outcome says what came of an order. The cloud refuses with one status both an old fence
// and reclaimable endpoints of which there are none.
func outcome(s subject, err error) string {
	switch {
	case err == nil:
		return "ordered"
	case errors.Is(err, cloudapi.ErrFenced) && s.reclaimable:
		return "none can be had now; asked for again later"
	case errors.Is(err, cloudapi.ErrFenced):
		return "another box holds the duty"
	default:
		return "not known; ordered again later"
	}
}
