package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/autoscaler"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/creditpool"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/dialer"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/fleetclock"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/hint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/ingress"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/metricshttp"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/origins"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/platform"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/ratelimit"
	"birchlink.dev/birchlink/reporter"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/speed"
	"birchlink.dev/birchlink/standstill"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/termination"
	"birchlink.dev/birchlink/tunnel"
	"birchlink.dev/birchlink/usage"
)

// broadcastWindows is the number of past usage windows whose counts a box reports to the others.
const broadcastWindows = 2

// Time limits of a stop. The load balancer checks readiness each second and stops sending requests
// after two failed checks, so the box keeps accepting them for maxUnreadyPeriod. The last
// drainReserve of the stop limit is reserved for stopping the other services.
const (
	maxUnreadyPeriod = 2500 * time.Millisecond
	drainReserve     = 700 * time.Millisecond
)

// Keys of birchlink's own data in the store.
const (
	relaysPrefix = platform.OwnPrefix + "relays/"
	usagePrefix  = platform.OwnPrefix + "usage/"
	leaderKey    = platform.OwnPrefix + "duty"
	snapshotKey  = platform.OwnPrefix + "before"
	rolloutKey   = platform.OwnPrefix + "rollouts"

	originsPrefix = platform.OwnPrefix + "streams/"
)

// peerSecret is the same in every deployment and thus not secret. On the users' platform only boxes
// can reach the peer address, and a box has no secret before it has read the store.
const peerSecret = "birchlink-on-the-platform"

// PlatformDaemon is the process of an entry box on the users' platform.
type PlatformDaemon struct {
	App *fx.App

	log zerolog.Logger
}

// NewPlatformDaemon returns a daemon that writes its log to w. The daemon is started and stopped
// through its App. The options are applied last; tests replace what is provided, such as the
// httpconn.DialFunc that reaches endpoints.
func NewPlatformDaemon(s settings.PlatformSettings, w io.Writer, options ...fx.Option) (*PlatformDaemon, error) {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	zerolog.SetGlobalLevel(l)
	log := zerolog.New(w).With().Timestamp().Str("box", s.Box).Logger()
	d := &PlatformDaemon{log: log}
	d.App = fx.New(
		fx.NopLogger,
		fx.Supply(s, log),
		fx.Provide(metrics.NewRegistry, func() *kernel.Kernel { return &kernel.Kernel{} }, newEndpointDialer, newPlatformServices),
		fx.Invoke(kernel.Run, logLifecycle),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.StopLimit+stopTimeoutMargin),
		fx.Options(options...),
	)
	if err := d.App.Err(); err != nil {
		return nil, fmt.Errorf("assemble services: %w", err)
	}
	return d, nil
}

// platformComponents holds the components that the services of a box on the platform share.
type platformComponents struct {
	settings settings.PlatformSettings
	store    store.Store
	balancer *balance.Balancer
	budget   *budget.Budget
	quota    *quota.Quota
	meter    *demand.Meter
	tally    *usage.Tally
	clock    *fleetclock.Clock
	state    *fleetstate.Service
	gossip   *gossip.Gossip
	hints    *hint.Service
	reporter *reporter.Reporter // nil unless usage is reported
	rollouts *rollout.Controller
	links    *dialer.Dialer
	pool     *httpconn.Pool
	tunnels  *tunnel.Service
	streams  *origins.Directory
	moveAway func(e endpoint.Endpoint) // called for each endpoint that starts to drain

	reachableBoxes atomic.Int64 // reachable boxes, including this one

	mu           sync.Mutex
	nearbyPeers  []netip.AddrPort                   // receive hints of all long prompts
	distantPeers []netip.AddrPort                   // receive hints of very long prompts only
	remoteDemand map[string]map[string]demand.Stats // of the other boxes, by service and data centre
	// remoteEvidence is the other boxes' evidence on versions in rollout, by service, evidenceBoxes the number of these boxes, and
	// evidenceAt when it was summed up.
	remoteEvidence map[string]rollout.Evidence
	evidenceBoxes  int
	evidenceAt     time.Time

	// incarnation distinguishes this process from earlier ones on the same box.
	incarnation string
}

// newPlatformComponents returns the shared components.
func newPlatformComponents(s settings.PlatformSettings, log zerolog.Logger) *platformComponents {
	st := platform.NewStore(s.Store)
	p := &platformComponents{
		settings: s, store: st, balancer: &balance.Balancer{Rand: rand.Float64}, quota: &quota.Quota{
			Tolerance: quota.Tolerance{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
			Self:      quota.Arbiter{Box: s.Box, DataCentre: s.DataCentre, Address: s.Advertise}, Started: boottime.Now(),
			Reserve: s.QuotaReserve, ReturnTimes: s.QuotaReturnTimes, Rand: rand.Float64,
		}, meter: &demand.Meter{},
		budget: budget.New(budget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}),
		tally:  &usage.Tally{Window: s.ReportWindow}, clock: fleetclock.New(time.Now),
		gossip: gossip.New(log), incarnation: uuid.NewString()[:8],
		moveAway: func(endpoint.Endpoint) {},
	}
	p.state = fleetstate.New(fleetstate.Source{
		ConfigKey: platform.ConfigKey, OperatorPrefix: platform.OperatorPrefix, EndpointsPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeDocument, DecodeEndpoint: platform.DecodeEndpoint, DecodeOrder: platform.DecodeOrder,
	}, st, log)
	p.state.OnOrders = p.gossip.BroadcastOrders
	p.gossip.Rollouts.Rand = rand.Float64
	p.state.DeferWatch = true
	p.state.Roster.Box, p.state.Roster.DataCentre = s.Box, s.DataCentre
	p.quota.Incarnation = p.incarnation
	p.budget.Rand, p.budget.Started = rand.Float64, boottime.Now()
	p.budget.SetBoxes(p.quota.MaxBoxes())
	q := p.gossip.Quarantine
	q.Log = log
	p.gossip.OnCrash = p.recordCrash
	p.gossip.Rates = &p.balancer.Availability.Rates
	if s.EndpointSpeeds {
		p.balancer.Speeds = &speed.Estimator{}
		p.gossip.EndpointSpeeds = p.balancer.Speeds
	}
	p.state.Roster.OnUnavailable(func(e endpoint.Endpoint) {
		if e.Draining {
			p.moveAway(e)
			return
		}
		q.RecordCrash(e.Incarnation(), "its record was deleted", boottime.Now())
	})
	p.connectGossip()
	return p
}

// newEndpointDialer returns the function that connects to endpoints.
func newEndpointDialer() httpconn.DialFunc { return (&net.Dialer{KeepAlive: -1}).DialContext }

// newPlatformServices returns the services in the order in which they start. They stop in the
// reverse order, so that callers are drained first.
func newPlatformServices(s settings.PlatformSettings, dial httpconn.DialFunc, m metrics.Registry, log zerolog.Logger) []kernel.Service {
	p := newPlatformComponents(s, log)
	p.tunnels = tunnel.New(m, log)
	d := dialer.New(dial, &p.state.Roster, p.tunnels, m, log)
	p.tunnels.Dial, p.tunnels.Boxes, p.tunnels.StopLimit = d.Serve, p.gossip.OtherBoxes, s.StopLimit-drainReserve
	limits := ratelimit.New(p.quota, &p.balancer.Availability.Rates, m, log)
	credits := creditpool.New(p.budget, p.gossip.OtherBoxes, m, log)
	p.streams = p.newOrigins(m, log)
	f := &forward.Forwarder{
		DataCentre: s.DataCentre, Roster: &p.state.Roster, Balancer: p.balancer, Budget: p.budget, SpendCredit: credits.Spend, Meter: p.meter,
		Quarantine: p.gossip.Quarantine, Rollouts: p.gossip.Rollouts, Unsettled: p.unsettled,
		Pool: &httpconn.Pool{Connector: d}, Codec: platform.HeaderCodec{}, Health: platform.HeaderCodec{}, OnStart: p.countRequest, OnBegin: recordBegin(p.streams), Metrics: m, Log: log,
		Admission: admission.Options{DeadlineCheck: s.DeadlineCheck},
		OnSend:    p.sendHint, OnCrash: func(e endpoint.Endpoint) { p.gossip.BroadcastCrash(e.Incarnation()) },
		OnDraining:    func(e endpoint.Endpoint) { p.gossip.BroadcastDraining(e.Incarnation()) },
		OnLimitChange: p.gossip.BroadcastRate, RequestPermit: limits.Permit, RequestPlace: limits.Place, Shutdown: &shutdown.Window{},
	}
	f.Terminations = &termination.Detector{
		Roster: &p.state.Roster, Holds: []termination.HoldsFunc{f.Pool.Holds, p.tunnels.Holds}, Probe: d.Probe, Metrics: m, Log: log,
	}
	d.OnLost, d.OnRecovered, d.IsInUse = f.Pool.AbandonSilent, p.recordReachable, f.Terminations.IsInUse
	p.links, p.pool, p.gossip.Numbering = d, f.Pool, &f.Numbering
	if s.MoveRequests {
		f.Moves, p.moveAway = platform.MoveCodec{}, f.MoveAway
	}
	p.state.Roster.OnReplaced(f.CancelReplaced)
	p.state.OnInvalidRecord = func(r endpoint.Reason) {
		metrics.GetOrRegisterCounter("endpoints.foreign."+string(r), m).Inc(1)
	}
	p.hints = hint.New(log)
	p.hints.Address, p.hints.OnHint = s.Peers, p.receiveHint
	o := ingress.Options{
		Address: s.Callers, ReadyAddress: s.Ready, ReadyPath: platform.ReadyPath,
		ShutdownDelay: min(maxUnreadyPeriod, s.StopLimit/3), ShutdownTimeout: s.StopLimit - drainReserve,
	}
	ss := []kernel.Service{
		standstill.New(m, log),
		storesession.New(p.store, log),
		peer.NewNode(s.Peers, s.Advertise, peerSecret, m),
		p.state,
		p.gossip,
		p.hints,
		limits,
		credits,
		p.streams,
		d,
		p.tunnels,
	}
	ss = append(ss, p.newLeaderServices(log)...)
	in := ingress.New(o, platform.HeaderCodec{}, f, limits, p.streams, m, log)
	p.gossip.Leaving, p.tunnels.Leaving = in.Stopping, in.Stopping
	return append(ss, p.newMetricsServer(in, f, m, log), in)
}

// unsettled returns the versions of a service at which no streams may begin yet.
func (p *platformComponents) unsettled(service string) []string {
	return p.state.Roster.Versions.Unsettled(service, boottime.Now())
}

// countUnsettled returns the number of versions of all services at which no streams may begin yet.
func (p *platformComponents) countUnsettled() int64 {
	return int64(p.state.Roster.Versions.CountUnsettled(boottime.Now()))
}

// newOrigins returns the service that knows at which software versions streams began.
func (p *platformComponents) newOrigins(m metrics.Registry, log zerolog.Logger) *origins.Directory {
	d := origins.New(m, log)
	d.Box, d.Versions, d.Relay, d.IsRelay = p.settings.Box, &p.state.Roster.Versions, p.gossip.RelayAddress, p.gossip.IsRelay
	g := p.gossip
	d.Boxes = func() origins.Boxes {
		p := g.PeersOrSeeds()
		return origins.Boxes{Near: p.Near, Far: p.Far, Relays: g.RemoteRelays()}
	}
	d.Store, d.Prefix, d.Clock, d.RecordsLag = p.store, originsPrefix, p.clock, p.state.RecordsLag
	return d
}

// recordBegin returns a function that records where a stream begins.
func recordBegin(d *origins.Directory) forward.BeginFunc {
	return func(q *forward.Request, e endpoint.Endpoint) {
		if e.Version == "" {
			return
		}
		stream, until := cmp.Or(q.Call.Resumes, q.Call.ID), q.Expires
		if t := q.Call.Timeout; t > 0 {
			until = q.Call.Arrived.Add(t) // the caller may wait for longer than one request may take
		}
		d.Record(stream, q.AccountName(), origin.Origin{Service: e.Service, Version: e.Version}, until)
	}
}

// newMetricsServer returns the service that serves the box's metrics, with gauges of its current
// state registered.
func (p *platformComponents) newMetricsServer(in *ingress.Ingress, f *forward.Forwarder, m metrics.Registry, log zerolog.Logger) *metricshttp.Server {
	s := metricshttp.New(p.settings.Metrics, m, log)
	s.RegisterGauge("configuration.version", func() int64 { v, _ := p.state.RawConfig(); return int64(v) })
	s.RegisterGauge("view.age_ms", func() int64 { return p.state.ViewAge().Milliseconds() })
	s.RegisterGauge("configuration.lag_ms", func() int64 { return p.state.ConfigLag().Milliseconds() })
	s.RegisterGauge("records.lag_ms", func() int64 { return p.state.RecordsLag().Milliseconds() })
	s.RegisterGauge("view.lag_ms", func() int64 { return p.gossip.ViewLag().Milliseconds() })
	s.RegisterGauge("endpoints.known", func() int64 { return int64(p.state.Roster.Len()) })
	s.RegisterGauge("endpoints.leaving", func() int64 { return int64(p.state.Roster.CountDraining()) })
	s.RegisterGauge("endpoints.resting", func() int64 { return int64(p.balancer.Availability.CountBackingOff(boottime.Now())) })
	s.RegisterGauge("endpoints.links_lost", func() int64 { return int64(p.links.Links.CountLost()) })
	s.RegisterGauge("origins.known", func() int64 { return int64(p.streams.Len()) })
	s.RegisterGauge("versions.unsettled", p.countUnsettled)
	s.RegisterGauge("tunnels.open", p.tunnels.CountOpen)
	s.RegisterGauge("endpoints.limited", func() int64 { return int64(p.balancer.Availability.Rates.Len()) })
	s.RegisterGauge("endpoints.faster", func() int64 { n, _ := p.countBySpeed(); return n })
	s.RegisterGauge("endpoints.slower", func() int64 { _, n := p.countBySpeed(); return n })
	s.RegisterGauge("boxes.known", func() int64 { return p.reachableBoxes.Load() })
	s.RegisterGauge("requests.live", func() int64 { return int64(in.InFlight()) })
	s.RegisterGauge("contents.refused", func() int64 { return int64(len(p.gossip.Quarantine.Refused(boottime.Now()))) })
	s.RegisterGauge("connections.idle", func() int64 { return int64(f.Pool.CountIdle()) })
	return s
}

// newLeaderServices returns the election and the services with calls that only the leader makes.
func (p *platformComponents) newLeaderServices(log zerolog.Logger) []kernel.Service {
	s := p.settings
	e := &election.Election{Store: p.store, Key: leaderKey, Box: s.Box, Term: s.Lease, Eligible: p.gossip.IsRelay, Log: log}
	ss := []kernel.Service{e, p.newRolloutController(e, log)}
	if !s.ReportUsage && !s.Autoscale {
		return ss
	}
	cl := platform.NewCloud(s.Cloud)
	if s.ReportUsage {
		o := reporter.Options{
			Prefix: usagePrefix, WritersPrefix: relaysPrefix, Box: s.Box, Incarnation: p.incarnation,
			Due: s.ReportDue, IsWriter: p.writesUsage, Now: p.clock.Now,
		}
		p.reporter = reporter.New(o, p.tally, p.store, cl, e, log)
		ss = append(ss, p.reporter)
	}
	if s.Autoscale {
		a := autoscaler.New(log)
		a.Box, a.Cloud, a.Election, a.Policy, a.Demand = s.Box, cl, e, scaling.Default, p.demandByDataCentre
		a.Limited = func(e endpoint.Endpoint) bool {
			return p.balancer.Availability.IsRateLimited(e.Incarnation(), boottime.Now())
		}
		a.Capacity = func(service string, slots int, pause time.Duration) scaling.Capacity {
			m := p.balancer.Model(service)
			return scaling.Capacity{
				Reclaimable: m.EndpointCapacity(scaling.LateShareFor(p.balancer.UnobservedFraction()), slots, pause),
				OnDemand:    m.EndpointCapacity(scaling.LateShareOnDemand, slots, pause),
			}
		}
		ss = append(ss, a)
	}
	return ss
}

// newRolloutController returns the service that decides on rollouts of versions.
func (p *platformComponents) newRolloutController(e *election.Election, log zerolog.Logger) *rollout.Controller {
	p.rollouts = &rollout.Controller{
		Gate: p.gossip.Rollouts, Store: p.store, Key: rolloutKey, Status: platform.EncodeStatus, Fence: e.UseFence, Broadcast: p.gossip.BroadcastProgress,
		RemoteEvidence: p.loadRemoteEvidence, AllHeard: p.hasAllEvidence, Now: p.clock.Now, MaxShare: p.settings.RolloutShare, Log: log,
	}
	return p.rollouts
}

// loadRemoteEvidence returns the other boxes' evidence on versions in rollout, by service.
func (p *platformComponents) loadRemoteEvidence() map[string]rollout.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remoteEvidence
}

// maxEvidenceAge is the age at which remoteEvidence is no longer recent, after two rounds of reports.
const maxEvidenceAge = 1200 * time.Millisecond

// hasAllEvidence reports whether remoteEvidence is recent and covers all other boxes, as far as their number is known.
func (p *platformComponents) hasAllEvidence() bool {
	n := p.quota.MaxBoxes()
	p.mu.Lock()
	defer p.mu.Unlock()
	return n > 0 && p.evidenceBoxes+1 >= n && boottime.Since(p.evidenceAt) < maxEvidenceAge
}

// logLifecycle logs the start and the stop of the box.
func logLifecycle(l fx.Lifecycle, s settings.PlatformSettings, log zerolog.Logger) {
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info().Str("event", "start").Str("data_centre", s.DataCentre).Str("callers", s.Callers).Msg("serving")
			return nil
		},
		OnStop: func(context.Context) error {
			log.Info().Str("event", "stop").Msg("stopping")
			return nil
		},
	})
}

// Reload reads the settings file again and applies the log level, the only setting that can change
// while the box runs. If the file is not valid, Reload logs that and changes nothing.
func (d *PlatformDaemon) Reload(path string) {
	s, err := settings.LoadPlatform(path)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("reload failed, keeping the current settings")
		return
	}
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("reload failed, keeping the current settings")
		return
	}
	zerolog.SetGlobalLevel(l)
	d.log.Info().Str("event", "reload").Str("level", s.LogLevel).Msg("settings reloaded")
}
