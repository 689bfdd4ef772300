// Package autoscaler scales the fleet. The box that holds the lease computes how many
// endpoints each service should have, with package scaling, and orders changes of
// these counts from the cloud.
package autoscaler

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
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service in the kernel.
const Name = "orders"

const (
	// pollInterval is the time between two computations of the counts.
	pollInterval = 400 * time.Millisecond

	// maxPollInterval is the time after which the process is taken to have been stopped. What was wanted meanwhile is not known.
	maxPollInterval = 2 * pollInterval

	// supplyRetryDelay is the time before a retry of an order that was refused for lack of
	// supply.
	supplyRetryDelay = 2 * time.Second

	// reorderDelay is the time before a retry of an accepted order whose endpoints do not
	// appear. An order can be lost together with its answer.
	reorderDelay = 8 * time.Second

	// An order that got no answer may be executed within lateExecutionWindow, after newer ones. It is
	// undone by repeating the newest order, at most once per lateReorderDelay.
	lateExecutionWindow = 30 * time.Second
	lateReorderDelay    = time.Second

	// observationPeriod is the time for which there must have been demand before it determines
	// the counts.
	observationPeriod = 3 * time.Second
)

// A smaller count is ordered after it has been wanted for one of these delays. Reclaimable
// endpoints have the longer one, since they cost a fifth of the price on demand and every
// replacement has to prefill the prompts again. Without delays the score of a simulated day is
// lower by 0.10 to 0.13.
const (
	scaleDownDelayOnDemand    = 1500 * time.Millisecond
	scaleDownDelayReclaimable = 12 * time.Second
)

// If there are more than surplusFactor times as many reclaimable endpoints as wanted, those
// beyond that are given up after surplusDelay. The remaining ones cover a load that doubles
// while others start. Wanted counts that differ by less than countTolerance, as a fraction,
// are considered equal, since a count in the hundreds changes continuously.
const (
	surplusFactor  = 2
	surplusDelay   = scaleDownDelayOnDemand
	countTolerance = 0.1
)

// partitionTimeout is the time for which a data centre that does not report its demand is
// assumed to be partitioned. Partitions last up to 12 s.
const partitionTimeout = 20 * time.Second

// maxLoggedAge is the largest time since a reclaim that is logged. It is also logged if there
// was no reclaim.
const maxLoggedAge = time.Hour

// Autoscaler is the scaling service of one box. It orders endpoints only while the box holds
// the lease. Its exported fields must be set before it starts.
type Autoscaler struct {
	Box      string
	Cloud    cloudapi.Cloud
	Election *election.Election
	Policy   scaling.Policy

	// Demand returns the load of a service by data centre. Data centres that do not report
	// their load are missing.
	Demand func(service string) map[string]demand.Stats

	// Limited reports whether an endpoint accepts a bounded rate of requests.
	Limited func(endpoint.Endpoint) bool

	// Capacity returns the sustainable load of one endpoint of a service that has the given
	// slots and must not pause between events of a stream for longer than pause.
	Capacity func(service string, slots int, pause time.Duration) scaling.Capacity

	log    zerolog.Logger
	state  *fleetstate.Service
	cancel context.CancelFunc
	group  sync.WaitGroup

	fence        uint64
	lastOrders   map[pool]lastOrder
	reclaimStart map[string]time.Time // by data centre, the start of the last reclaim
	demandSince  map[string]time.Time // by service, the first time at which there was demand
	initialCount map[string]int       // by service, the on-demand endpoints found at the start
	scaleDowns   map[pool]scaleDown
	lastReport   map[serviceSite]time.Time // when its boxes last reported their demand
}

// serviceSite is a service in a data centre.
type serviceSite struct{ service, dataCentre string }

// pool is the set of endpoints of one kind of a service in a data centre.
type pool struct {
	service, dataCentre string
	reclaimable         bool
}

// lastOrder is the last order for a pool.
type lastOrder struct {
	count       int
	at          time.Time
	accepted    bool
	outOfSupply bool // the cloud refused it for lack of supply

	// maxServing is the largest number of the ordered endpoints that have served at once.
	// Reclaiming is set while they are being reclaimed.
	maxServing int
	reclaiming bool

	// unansweredAt is when the last order for the pool got no answer; zero if there was none.
	unansweredAt time.Time
}

// undoneLate reports whether an earlier order without an answer seems to have been executed after
// this one, which was accepted: endpoints that served are gone, or there are more than were ordered.
func (o *lastOrder) undoneLate(have int, now time.Time) bool {
	return o.accepted && (have < o.maxServing || have > o.count) &&
		now.Sub(o.unansweredAt) < lateExecutionWindow && now.Sub(o.at) >= lateReorderDelay
}

// scaleDown is a smaller count that has been wanted since a point in time.
type scaleDown struct {
	first   int
	highest int // the largest count wanted since then
	since   time.Time
}

// New returns an Autoscaler whose exported fields have yet to be set. Limited has a default:
// no endpoint is limited.
func New(log zerolog.Logger) *Autoscaler {
	return &Autoscaler{
		log: log, Limited: func(endpoint.Endpoint) bool { return false },
		reclaimStart: map[string]time.Time{}, demandSince: map[string]time.Time{}, initialCount: map[string]int{},
		scaleDowns: map[pool]scaleDown{}, lastReport: map[serviceSite]time.Time{},
	}
}

// Name returns [Name].
func (a *Autoscaler) Name() string { return Name }

// Start binds the services that the autoscaler needs from k and begins to scale the fleet.
func (a *Autoscaler) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, fleetstate.Name, &a.state); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.group.Go(func() { a.run(c) })
	return nil
}

// Stop ends the scaling and waits until an order under way has ended.
func (a *Autoscaler) Stop(context.Context) error {
	a.cancel()
	a.group.Wait()
	return nil
}

func (a *Autoscaler) run(c context.Context) {
	for c.Err() == nil {
		began := boottime.Now()
		wait.For(c, pollInterval)
		if boottime.Since(began) >= maxPollInterval {
			a.scaleDowns = map[pool]scaleDown{}
		}
		t := a.state.Table()
		fence, ok := a.Election.UseFence()
		if !ok || t == nil || !a.state.Ready() {
			continue
		}
		if fence != a.fence {
			a.fence, a.lastOrders = fence, map[pool]lastOrder{}
			a.scaleDowns = map[pool]scaleDown{}
		}
		for i := range t.Document.Services {
			if s := &t.Document.Services[i]; s.Scaling != nil {
				a.scaleService(c, s)
			}
		}
	}
}

// scaleService computes the counts of one service and orders those that differ.
func (a *Autoscaler) scaleService(c context.Context, s *catalog.Service) {
	now := boottime.Now()
	all := a.state.Roster.All()
	load := a.Demand(s.Name)
	serving := a.state.Roster.Serving(s.Name)
	limited := slices.DeleteFunc(slices.Clone(serving), func(e endpoint.Endpoint) bool { return !a.Limited(e) })
	dcs := scaling.DataCentres(s.Scaling)
	sites := make([]scaling.Site, 0, len(dcs))
	partitioned := map[string]bool{}
	for _, dc := range dcs {
		stats, reported := load[dc]
		partitioned[dc] = a.isPartitioned(serviceSite{s.Name, dc}, reported, now)
		site := scaling.Site{
			DataCentre: dc, Demand: scaling.Demand{Tokens: stats.Tokens, Running: stats.Running},
			Have: scaling.CountEndpoints(serving, dc), Limited: scaling.CountEndpoints(limited, dc),
			OutOfSupply: a.lastOrders[pool{s.Name, dc, true}].outOfSupply,
		}
		if !partitioned[dc] {
			a.detectReclaim(all, s.Name, site, now)
		}
		site.SinceReclaim = now.Sub(a.reclaimStart[dc])
		sites = append(sites, site)
	}
	policy := a.Policy
	replacing := false // the initial fleet is being replaced while its load is unknown
	if !a.demandKnown(s.Name, load, now) {
		// The initial fleet is assumed to carry the load, so only its replacement is ordered.
		initial := a.initialSize(s.Name, sites)
		policy.MinEndpoints, policy.Surplus = max(policy.MinEndpoints, initial), 1
		replacing = initial > 0
	}
	if replacing {
		// The load may be known before the speed of the endpoints. Planning with it in the
		// first second orders 33 endpoints too many for 12 s.
		for i := range sites {
			sites[i].Demand = scaling.Demand{}
		}
	}
	capacity := a.Capacity(s.Name, minSlots(all, s), estimate.PauseTarget(a.state.Table().Document, s.Name))
	plan := policy.Plan(s.Scaling, sites, capacity)
	for _, site := range sites {
		if partitioned[site.DataCentre] {
			continue
		}
		counts := plan[site.DataCentre]
		a.adjust(c, pool{s.Name, site.DataCentre, true}, counts.Reclaimable, site, capacity, false)
		a.adjust(c, pool{s.Name, site.DataCentre, false}, counts.OnDemand, site, capacity, replacing)
	}
}

// adjust orders a count for a pool if it differs from the last order. A smaller count is
// ordered after it has been wanted for some time, or at once if atOnce is set, as the load
// cannot swing while the initial fleet is replaced.
func (a *Autoscaler) adjust(c context.Context, p pool, n int, site scaling.Site, capacity scaling.Capacity, atOnce bool) {
	now := boottime.Now()
	last, ordered := a.lastOrders[p]
	have := site.Have.OnDemand
	if p.reclaimable {
		have = site.Have.Reclaimable
	}
	if ordered && !p.reclaimable {
		last.maxServing = min(max(last.maxServing, have), last.count)
		a.lastOrders[p] = last
	}
	lower := n < max(last.count, have)
	if !lower {
		delete(a.scaleDowns, p)
	}
	undone := ordered && last.count == n && last.undoneLate(have, now)
	switch {
	case ordered && last.outOfSupply && now.Sub(last.at) < supplyRetryDelay:
		return
	case ordered && last.accepted && last.count == n && !undone && (have >= n || now.Sub(last.at) < reorderDelay):
		return
	}
	// An order for endpoints that are not available now is lowered at once, since it would
	// reserve capacity that other endpoints can use.
	unavailable := p.reclaimable && have == 0 && (last.outOfSupply || last.reclaiming)
	if lower && !undone && !unavailable && !atOnce && !a.isScaleDownDue(p, n, now) {
		n *= surplusFactor
		if !p.reclaimable || n >= max(last.count, have) || !a.scaleDownPendingFor(p, surplusDelay, now) {
			return
		}
	}
	a.order(c, p, n, site, capacity)
}

// scaleDownPendingFor reports whether a smaller count has been wanted for at least d.
func (a *Autoscaler) scaleDownPendingFor(p pool, d time.Duration, now time.Time) bool {
	l, ok := a.scaleDowns[p]
	return ok && now.Sub(l.since) >= d
}

// isScaleDownDue records that the smaller count n is wanted and reports whether about that
// count has been wanted for the delay of the kind of endpoint. The delay restarts if the
// count has grown by more than countTolerance, or after twice the delay.
func (a *Autoscaler) isScaleDownDue(p pool, n int, now time.Time) bool {
	delay := scaleDownDelayOnDemand
	if p.reclaimable {
		delay = scaleDownDelayReclaimable
	}
	l, ok := a.scaleDowns[p]
	if !ok || n > l.highest && float64(n) > (1+countTolerance)*float64(l.first) || now.Sub(l.since) > 2*delay {
		a.scaleDowns[p] = scaleDown{n, n, now}
		return false
	}
	l.highest = max(l.highest, n)
	a.scaleDowns[p] = l
	return now.Sub(l.since) >= delay
}

// order orders a count for a pool from the cloud, records the result and logs it.
func (a *Autoscaler) order(c context.Context, p pool, n int, site scaling.Site, capacity scaling.Capacity) {
	fence, ok := a.Election.UseFence()
	if !ok || fence != a.fence {
		return
	}
	delete(a.scaleDowns, p)
	err := a.Cloud.Order(c, cloudapi.Lease{Holder: a.Box, Fence: fence}, cloudapi.Order{
		Service: p.service, DataCentre: p.dataCentre, Reclaimable: p.reclaimable, Count: n,
	})
	previous := a.lastOrders[p]
	last := lastOrder{
		count: n, at: boottime.Now(), accepted: err == nil, maxServing: min(previous.maxServing, n),
		reclaiming: previous.reclaiming, unansweredAt: previous.unansweredAt,
	}
	if err != nil && !errors.Is(err, cloudapi.ErrFenced) {
		last.unansweredAt = last.at
	}
	if errors.Is(err, cloudapi.ErrFenced) {
		last.outOfSupply = p.reclaimable
		if !p.reclaimable {
			a.Election.Resign(fence)
		}
	}
	a.lastOrders[p] = last
	a.log.Info().Str("event", "order").Str("service", p.service).Str("data_centre", p.dataCentre).Bool("reclaimable", p.reclaimable).
		Int("count", n).Uint64("fence", fence).
		Float64("bears_tokens_per_s", capacity.Reclaimable.TokensPerSecond).Float64("on_demand_bears", capacity.OnDemand.TokensPerSecond).
		Float64("bears_running", capacity.OnDemand.Running).
		Float64("tokens_per_s", site.Demand.Tokens).Float64("running", site.Demand.Running).
		Int("have_on_demand", site.Have.OnDemand).Int("have_reclaimable", site.Have.Reclaimable).
		Int("limited", site.Limited.OnDemand+site.Limited.Reclaimable).
		Dur("since_reclaim", min(site.SinceReclaim, maxLoggedAge)).Bool("dry", site.OutOfSupply).Str("outcome", outcome(p, err)).Err(err).Msg("decision")
}

// outcome describes the result of an order in the log. The cloud has one status for a stale
// fence and for a lack of reclaimable endpoints.
func outcome(p pool, err error) string {
	switch {
	case err == nil:
		return "ordered"
	case errors.Is(err, cloudapi.ErrFenced) && p.reclaimable:
		return "none available now; will retry"
	case errors.Is(err, cloudapi.ErrFenced):
		return "another box holds the duty"
	default:
		return "unknown; will retry"
	}
}
