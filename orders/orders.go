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
	pollInterval      = 400 * time.Millisecond
	supplyRetryDelay  = 2 * time.Second
	reorderDelay      = 8 * time.Second
	observationPeriod = 3 * time.Second
)

// A smaller count is ordered when it has been wanted for so long. Reclaimable
// endpoints cost a fifth, and each that comes back has to read its prompts anew. With
// smaller counts at once, 0.10 to 0.13 of a day's worth is lost.
const (
	scaleDownDelayOnDemand    = 1500 * time.Millisecond
	scaleDownDelayReclaimable = 12 * time.Second
)

// Of more than surplusKept times the reclaimable endpoints that are wanted the rest is given up
// after settleSurplus: so many stand in for a load that doubles while others start. wanted counts
// that differ by sameCount are the same: where hundreds are wanted, the count never stands still.
const (
	surplusFactor  = 2
	surplusDelay   = scaleDownDelayOnDemand
	countTolerance = 0.1
)

// partitionTimeout is for how long a data centre that is not heard is taken to be cut off: the
// users' cuts last up to 12 s.
const partitionTimeout = 20 * time.Second

// maxLoggedAge stands in the log for a reclaim that was not seen.
const maxLoggedAge = time.Hour

// Orders is the service of one box. Demand returns what each data centre's
// boxes carry for a service.
type Orders struct {
	Box      string
	Cloud    cloudapi.Cloud
	Election *election.Election
	Policy   scaling.Policy
	Demand   func(service string) map[string]demand.Figure

	// Limited reports whether an endpoint takes a bounded rate of requests.
	Limited func(endpoint.Endpoint) bool

	// Capacity returns what one endpoint of a service bears, by its slots and by the
	// longest pause between events that the service's routes allow.
	Capacity func(service string, slots int, pause time.Duration) scaling.Capacity

	log    zerolog.Logger
	known  *known.Known
	cancel context.CancelFunc
	group  sync.WaitGroup

	fence        uint64
	lastOrders   map[pool]lastOrder
	reclaimStart map[string]time.Time // by data centre, when it last began
	demandSince  map[string]time.Time // by service, when there was demand first
	initialCount map[string]int       // by service, how many endpoints there were at first
	scaleDowns   map[pool]scaleDown
	lastReport   map[serviceSite]time.Time // when its boxes' demand was last told
}

// serviceSite is a service in a data centre.
type serviceSite struct{ service, dataCentre string }

// pool is one kind of endpoint of a service in a data centre.
type pool struct {
	service, dataCentre string
	reclaimable         bool
}

// lastOrder is the last order of a subject.
type lastOrder struct {
	count       int
	at          time.Time
	accepted    bool
	outOfSupply bool

	// maxServing is the most of them that have served, and taken says that they are
	// being reclaimed.
	maxServing int
	reclaiming bool
}

// scaleDown is a smaller count that has been wanted since a time, at most.
type scaleDown struct {
	first   int
	highest int // the most since
	since   time.Time
}

// New returns the service; its exported fields are to be set before it starts.
func New(log zerolog.Logger) *Orders {
	return &Orders{
		log: log, Limited: func(endpoint.Endpoint) bool { return false },
		reclaimStart: map[string]time.Time{}, demandSince: map[string]time.Time{}, initialCount: map[string]int{}, scaleDowns: map[pool]scaleDown{}, lastReport: map[serviceSite]time.Time{},
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
		wait.For(c, pollInterval)
		t := o.known.Table()
		fence, ok := o.Election.Act()
		if !ok || t == nil || !o.known.Ready() {
			continue
		}
		if fence != o.fence {
			o.fence, o.lastOrders = fence, map[pool]lastOrder{}
			o.scaleDowns = map[pool]scaleDown{}
		}
		for i := range t.Document.Services {
			if s := &t.Document.Services[i]; s.Scaling != nil {
				o.scaleService(c, s)
			}
		}
	}
}

// scaleService orders what one service lacks or has too much of.
func (o *Orders) scaleService(c context.Context, s *catalog.Service) {
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
		cut[dc] = o.isPartitioned(serviceSite{s.Name, dc}, told, now)
		site := scaling.Site{
			DataCentre: dc, Demand: scaling.Demand{Tokens: f.Tokens, Running: f.Running},
			Have: scaling.CountEndpoints(serving, dc), Limited: scaling.CountEndpoints(limited, dc),
			OutOfSupply: o.lastOrders[pool{s.Name, dc, true}].outOfSupply,
		}
		if !cut[dc] {
			o.detectReclaim(all, s.Name, site, now)
		}
		site.SinceReclaim = now.Sub(o.reclaimStart[dc])
		sites = append(sites, site)
	}
	policy := o.Policy
	replacing := false // what was found, while its load is not known
	if !o.demandKnown(s.Name, load, now) {
		// What was found carries the load, as far as is known: no more is ordered than
		// stands in for it.
		found := o.initialSize(s.Name, sites)
		policy.MinEndpoints, policy.Surplus = max(policy.MinEndpoints, found), 1
		replacing = found > 0
	}
	if replacing {
		// In the first second the load is known, and nothing yet of the endpoints' speed:
		// 33 endpoints too many were ordered for 12 s.
		for i := range sites {
			sites[i].Demand = scaling.Demand{}
		}
	}
	bears := o.Capacity(s.Name, minSlots(all, s), estimate.PauseTarget(o.known.Table().Document, s.Name))
	plan := policy.Plan(s.Scaling, sites, bears)
	for _, site := range sites {
		if cut[site.DataCentre] {
			continue
		}
		p := plan[site.DataCentre]
		o.adjust(c, pool{s.Name, site.DataCentre, true}, p.Reclaimable, site, bears, false)
		o.adjust(c, pool{s.Name, site.DataCentre, false}, p.OnDemand, site, bears, replacing)
	}
}

// adjust orders a count, if it is another than the last. A smaller one is ordered when it
// has been wanted for a while, or at once: no load swings while what was found is replaced.
func (o *Orders) adjust(c context.Context, s pool, n int, site scaling.Site, bears scaling.Capacity, atOnce bool) {
	now := boottime.Now()
	p, had := o.lastOrders[s]
	have := site.Have.OnDemand
	if s.reclaimable {
		have = site.Have.Reclaimable
	}
	lower := n < max(p.count, have)
	if !lower {
		delete(o.scaleDowns, s)
	}
	switch {
	case had && p.outOfSupply && now.Sub(p.at) < supplyRetryDelay:
		return
	case had && p.accepted && p.count == n && (have >= n || now.Sub(p.at) < reorderDelay):
		return
	}
	// Those that were ordered and cannot be had now are given up at once: the order
	// would keep their places from others.
	none := s.reclaimable && have == 0 && (p.outOfSupply || p.reclaiming)
	if lower && !none && !atOnce && !o.isScaleDownDue(s, n, now) {
		n *= surplusFactor
		if !s.reclaimable || n >= max(p.count, have) || !o.scaleDownPendingFor(s, surplusDelay, now) {
			return
		}
	}
	o.order(c, s, n, site, bears)
}

// scaleDownPendingFor reports whether a smaller count has been wanted for some time.
func (o *Orders) scaleDownPendingFor(s pool, d time.Duration, now time.Time) bool {
	l, ok := o.scaleDowns[s]
	return ok && now.Sub(l.since) >= d
}

// isScaleDownDue reports whether a smaller count has been wanted for long enough.
func (o *Orders) isScaleDownDue(s pool, n int, now time.Time) bool {
	settle := scaleDownDelayOnDemand
	if s.reclaimable {
		settle = scaleDownDelayReclaimable
	}
	l, ok := o.scaleDowns[s]
	if !ok || n > l.highest && float64(n) > (1+countTolerance)*float64(l.first) || now.Sub(l.since) > 2*settle {
		o.scaleDowns[s] = scaleDown{n, n, now}
		return false
	}
	l.highest = max(l.highest, n)
	o.scaleDowns[s] = l
	return now.Sub(l.since) >= settle
}

func (o *Orders) order(c context.Context, s pool, n int, site scaling.Site, bears scaling.Capacity) {
	fence, ok := o.Election.Act()
	if !ok || fence != o.fence {
		return
	}
	delete(o.scaleDowns, s)
	err := o.Cloud.Order(c, cloudapi.Duty{Holder: o.Box, Fence: fence}, cloudapi.Order{
		Service: s.service, DataCentre: s.dataCentre, Reclaimable: s.reclaimable, Count: n,
	})
	old := o.lastOrders[s]
	p := lastOrder{count: n, at: boottime.Now(), accepted: err == nil, maxServing: min(old.maxServing, n), reclaiming: old.reclaiming}
	if errors.Is(err, cloudapi.ErrFenced) {
		p.outOfSupply = s.reclaimable
		if !s.reclaimable {
			o.Election.Drop(fence)
		}
	}
	o.lastOrders[s] = p
	o.log.Info().Str("event", "order").Str("service", s.service).Str("data_centre", s.dataCentre).Bool("reclaimable", s.reclaimable).
		Int("count", n).Uint64("fence", fence).
		Float64("bears_tokens_per_s", bears.Reclaimable.Tokens).Float64("on_demand_bears", bears.OnDemand.Tokens).
		Float64("bears_running", bears.OnDemand.Running).
		Float64("tokens_per_s", site.Demand.Tokens).Float64("running", site.Demand.Running).
		Int("have_on_demand", site.Have.OnDemand).Int("have_reclaimable", site.Have.Reclaimable).
		Int("limited", site.Limited.OnDemand+site.Limited.Reclaimable).
		Dur("since_reclaim", min(site.SinceReclaim, maxLoggedAge)).Bool("dry", site.OutOfSupply).Str("outcome", outcome(s, err)).Err(err).Msg("decision")
}

// outcome says what came of an order. The cloud refuses with one status both an old fence
// and reclaimable endpoints of which there are none.
func outcome(s pool, err error) string {
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
