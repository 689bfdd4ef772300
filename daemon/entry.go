package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/daytime"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/exchange"
	"birchlink.dev/birchlink/figures"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/gossip"
	"birchlink.dev/birchlink/hint"
	"birchlink.dev/birchlink/ingress"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/limit"
	"birchlink.dev/birchlink/orders"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/platform"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/reporter"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/tally"
)

// dialEndpoint bounds how long a connection to an endpoint may take to stand; it
// stands within milliseconds, also in another data centre.
const dialEndpoint = 250 * time.Millisecond

// toldWindows is how many ended windows' counts a box tells the others.
const toldWindows = 2

// The times of a stop: the balancer asks each second and believes two misses.
const (
	stopNotice  = 2500 * time.Millisecond
	stopReserve = 700 * time.Millisecond
)

// Where birchlink's own keys stand in the store.
const (
	relaysPrefix = platform.OwnPrefix + "relays/"
	usagePrefix  = platform.OwnPrefix + "usage/"
	dutyKey      = platform.OwnPrefix + "duty"
	beforeKey    = platform.OwnPrefix + "before"
	rolloutKey   = platform.OwnPrefix + "rollouts"
)

// peerSecret is no secret: on the users' platform only boxes reach the address
// for peers, and nothing secret is known before the store is reached.
const peerSecret = "birchlink-on-the-platform"

// Entry is one entry box on the users' platform.
type Entry struct {
	App *fx.App

	log zerolog.Logger
}

// NewEntry returns the daemon of an entry box, whose log goes to w.
func NewEntry(s settings.Entry, w io.Writer) (*Entry, error) {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	zerolog.SetGlobalLevel(l)
	log := zerolog.New(w).With().Timestamp().Str("box", s.Box).Logger()
	d := &Entry{log: log}
	d.App = fx.New(
		fx.NopLogger,
		fx.Supply(s, log),
		fx.Provide(metrics.NewRegistry, func() *kernel.Kernel { return &kernel.Kernel{} }, entryServices),
		fx.Invoke(kernel.Run, logLife),
		fx.StartTimeout(startLimit),
		fx.StopTimeout(s.StopLimit+stopMargin),
	)
	if err := d.App.Err(); err != nil {
		return nil, fmt.Errorf("put services together: %w", err)
	}
	return d, nil
}

// entryParts are what the services of an entry box share.
type entryParts struct {
	settings settings.Entry
	store    store.Store
	book     *balance.Balancer
	budget   *budget.Budget
	quota    *quota.Quota
	meter    *demand.Meter
	tally    *tally.Tally
	clock    *daytime.Clock
	known    *known.Service
	gossip   *gossip.Gossip
	hints    *hint.Service
	reporter *reporter.Reporter // nil without that duty
	rollouts *rollout.Controller

	boxes atomic.Int64 // that this box hears, itself included

	mu     sync.Mutex
	near   []netip.AddrPort                   // that are told of long prompts at once
	far    []netip.AddrPort                   // that are told of very long ones
	others map[string]map[string]demand.Stats // by service and data centre
	// what the others have seen of versions under way
	evidence map[string]rollout.Evidence

	// incarnation tells this process from those before it on the same box.
	incarnation string
}

// newEntryParts makes what the services share.
func newEntryParts(s settings.Entry, log zerolog.Logger) *entryParts {
	st := platform.NewStore(s.Store)
	p := &entryParts{
		settings: s, store: st, book: &balance.Balancer{Rand: rand.Float64}, quota: &quota.Quota{
			Terms: quota.Terms{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
			Self:  quota.Arbiter{Box: s.Box, DataCentre: s.DataCentre, Address: s.Peers}, Started: boottime.Now(),
			Chance: rand.Float64,
		}, meter: &demand.Meter{},
		budget: budget.New(budget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}),
		tally:  &tally.Tally{Window: s.ReportWindow}, clock: daytime.New(time.Now),
		gossip: gossip.New(log), incarnation: uuid.NewString()[:8],
	}
	p.known = known.New(known.Source{
		ConfigKey: platform.ConfigKey, OperatorPrefix: platform.OperatorPrefix, EndpointsPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeDocument, DecodeEndpoint: platform.DecodeEndpoint, DecodeOrder: platform.DecodeOrder,
	}, st, log)
	p.known.OnOrders = p.gossip.BroadcastOrders
	p.gossip.Rollouts.Random = rand.Float64
	p.known.DeferWatch = true
	p.known.Roster.Box, p.known.Roster.DataCentre = s.Box, s.DataCentre
	p.quota.Incarnation = p.incarnation
	p.budget.Rand = rand.Float64
	p.budget.SetBoxes(p.quota.MaxBoxes())
	q := p.gossip.Quarantine
	q.Log = log
	p.gossip.OnCrash = p.ended
	p.gossip.Rates = &p.book.Availability.Rates
	p.known.Roster.OnUnavailable(func(e endpoint.Endpoint) {
		if !e.Draining {
			q.RecordCrash(e.Incarnation(), "its record is gone", boottime.Now())
		}
	})
	p.tell()
	return p
}

// entryServices makes every service, in the order in which they start. They
// stop in the reverse order, so callers are drained first.
func entryServices(s settings.Entry, m metrics.Registry, log zerolog.Logger) []kernel.Service {
	p := newEntryParts(s, log)
	limits := limit.New(p.quota, &p.book.Availability.Rates, m, log)
	f := &forward.Forwarder{
		DataCentre: s.DataCentre, Roster: &p.known.Roster, Balancer: p.book, Budget: p.budget, Meter: p.meter, Quarantine: p.gossip.Quarantine, Rollouts: p.gossip.Rollouts,
		Pool: &exchange.Pool{DialTimeout: dialEndpoint}, Codec: platform.Wire{}, OnStart: p.began, Metrics: m, Log: log,
		OnSend: p.sent, OnCrash: func(e endpoint.Endpoint) { p.gossip.BroadcastCrash(e.Incarnation()) },
		OnDraining:    func(e endpoint.Endpoint) { p.gossip.BroadcastDraining(e.Incarnation()) },
		OnLimitChange: p.gossip.BroadcastRate, RequestPermit: limits.Permit,
	}
	p.known.Roster.OnReplaced(f.CancelReplaced)
	p.known.OnInvalidRecord = func(r endpoint.Reason) {
		metrics.GetOrRegisterCounter("endpoints.foreign."+string(r), m).Inc(1)
	}
	p.hints = hint.New(log)
	p.hints.Address, p.hints.OnHint = s.Peers, p.hinted
	o := ingress.Options{
		Address: s.Callers, ReadyAddress: s.Ready, ReadyPath: platform.ReadyPath,
		ShutdownDelay: min(stopNotice, s.StopLimit/3), ShutdownTimeout: s.StopLimit - stopReserve,
	}
	ss := []kernel.Service{
		session.New(p.store, log),
		peer.NewNode(s.Peers, s.Peers, peerSecret, m),
		p.known,
		p.gossip,
		p.hints,
		limits,
	}
	ss = append(ss, p.duties(log)...)
	in := ingress.New(o, platform.Wire{}, f, limits, m, log)
	p.gossip.Leaving = in.Stopping
	return append(ss, p.figures(in, f, m, log), in)
}

// figures returns the service that tells the box's metrics, with what it believes and carries
// at the moment.
func (p *entryParts) figures(in *ingress.Ingress, f *forward.Forwarder, m metrics.Registry, log zerolog.Logger) *figures.Figures {
	fs := figures.New(p.settings.Metrics, m, log)
	fs.Gauge("configuration.version", func() int64 { v, _ := p.known.RawConfig(); return int64(v) })
	fs.Gauge("endpoints.known", func() int64 { return int64(p.known.Roster.Len()) })
	fs.Gauge("endpoints.leaving", func() int64 { return int64(p.known.Roster.CountDraining()) })
	fs.Gauge("endpoints.resting", func() int64 { return int64(p.book.Availability.CountBackingOff(boottime.Now())) })
	fs.Gauge("endpoints.limited", func() int64 { return int64(p.book.Availability.Rates.Len()) })
	fs.Gauge("boxes.known", func() int64 { return p.boxes.Load() })
	fs.Gauge("requests.live", func() int64 { return int64(in.InFlight()) })
	fs.Gauge("contents.refused", func() int64 { return int64(len(p.gossip.Quarantine.Refused(boottime.Now()))) })
	fs.Gauge("connections.idle", func() int64 { return int64(f.Pool.CountIdle()) })
	return fs
}

// duties returns the services of the calls that one box makes for all.
func (p *entryParts) duties(log zerolog.Logger) []kernel.Service {
	s := p.settings
	e := &election.Election{Store: p.store, Key: dutyKey, Box: s.Box, Term: s.Lease, Eligible: p.gossip.IsRelay, Log: log}
	ss := []kernel.Service{e, p.holder(e, log)}
	if !s.Usage && !s.Orders {
		return ss
	}
	cl := platform.NewCloud(s.Cloud)
	if s.Usage {
		o := reporter.Options{Prefix: usagePrefix, WritersPrefix: relaysPrefix, Box: s.Box, Incarnation: p.incarnation, Due: s.ReportDue, IsWriter: p.writes, Now: p.clock.Now}
		p.reporter = reporter.New(o, p.tally, p.store, cl, e, log)
		ss = append(ss, p.reporter)
	}
	if s.Orders {
		o := orders.New(log)
		o.Box, o.Cloud, o.Election, o.Policy, o.Demand = s.Box, cl, e, scaling.Default, p.demand
		o.Limited = func(e endpoint.Endpoint) bool {
			return p.book.Availability.IsRateLimited(e.Incarnation(), boottime.Now())
		}
		o.Capacity = func(service string, slots int, pause time.Duration) scaling.Capacity {
			m := p.book.Model(service)
			return scaling.Capacity{
				Reclaimable: m.EndpointCapacity(scaling.LateShareFor(p.book.UnobservedFraction()), slots, pause),
				OnDemand:    m.EndpointCapacity(scaling.LateShareOnDemand, slots, pause),
			}
		}
		ss = append(ss, o)
	}
	return ss
}

// holder returns the service that decides on roll-outs.
func (p *entryParts) holder(e *election.Election, log zerolog.Logger) *rollout.Controller {
	p.rollouts = &rollout.Controller{
		Gate: p.gossip.Rollouts, Store: p.store, Key: rolloutKey, Status: platform.EncodeStatus, Fence: e.UseFence, Broadcast: p.gossip.BroadcastProgress,
		RemoteEvidence: p.seen, Now: p.clock.Now, MaxShare: p.settings.RolloutShare, Log: log,
	}
	return p.rollouts
}

// seen returns what the other boxes have seen of versions under way.
func (p *entryParts) seen() map[string]rollout.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence
}

// logLife notes the start and the stop.
func logLife(l fx.Lifecycle, s settings.Entry, log zerolog.Logger) {
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

// Reload reads the settings again and takes what may change while the box runs:
// the log's level. A file with mistakes changes nothing.
func (d *Entry) Reload(path string) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("the settings in force stay")
		return
	}
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("the settings in force stay")
		return
	}
	zerolog.SetGlobalLevel(l)
	d.log.Info().Str("event", "reload").Str("level", s.LogLevel).Msg("in force")
}
