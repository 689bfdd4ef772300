package stream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/observer"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/suspects"
	"birchlink.dev/birchlink/view"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "stream"

const (
	sweepInterval          = time.Second
	abandonTimeout         = 15 * time.Second // time without a reader after which a repeatable stream is cancelled
	finishedRetention      = 2 * time.Minute  // how long the answer of an ended stream can be read
	maxPrefixes            = 8192             // prompt prefixes whose endpoint is remembered
	replanInterval         = time.Second      // between two plans for a leaving box
	transferBytesPerSecond = 1 << 30          // assumed for KV caches
	marginDivisor          = 4                // a reclaim's margin is the notice divided by this
)

// Service runs the streams of one box.
type Service struct {
	PolicyName  string
	MaxFinished int
	Log         zerolog.Logger

	dc            string
	view          *view.View
	members       *member.Service
	peers         *peer.Node
	decisions     *decisions.Log
	follower      *configsync.Follower
	admission     *admission.Admission
	viewObserver  *observer.Observer
	suspects      *suspects.Service
	engines       *engine.Client
	prefixes      *lru.Cache[uint64, string]
	buffers       sync.Pool
	currentPolicy atomic.Value
	endpointIndex atomic.Pointer[endpointIndex]

	recomputed  metrics.Counter
	replayed    metrics.Counter
	transferred metrics.Counter

	mu       sync.Mutex
	streams  map[string]*Stream
	draining atomic.Bool
	cancel   context.CancelFunc
	base     context.Context
	group    sync.WaitGroup

	// handedOver ends when the streams are handed over. From then on none begins. It ends with mu held.
	handedOver  context.Context
	endHandover context.CancelCauseFunc
}

// policyHolder lets an atomic.Value store policies of different types.
type policyHolder struct{ router.Policy }

// New returns the service of a box. It keeps the answers of at most maxFinished streams that have
// ended.
func New(policy string, maxFinished int, m metrics.Registry, log zerolog.Logger) *Service {
	p, err := lru.New[uint64, string](maxPrefixes)
	if err != nil {
		panic(err) // can't happen: maxPrefixes is positive
	}
	k := &Service{
		PolicyName: policy, MaxFinished: maxFinished, Log: log, prefixes: p, streams: map[string]*Stream{},
		recomputed:  metrics.GetOrRegisterCounter("stream.recomputed_tokens", m),
		replayed:    metrics.GetOrRegisterCounter("stream.replayed", m),
		transferred: metrics.GetOrRegisterCounter("stream.transferred", m),
	}
	k.buffers.New = func() any { return new(candidates) }
	k.handedOver, k.endHandover = context.WithCancelCause(context.Background())
	return k
}

// Name returns the service's name.
func (svc *Service) Name() string { return Name }

// Start looks up the services that streams depend on and starts the sweep of finished streams.
func (svc *Service) Start(_ context.Context, n *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(n, view.Name, &svc.view),
		kernel.Bind(n, member.Name, &svc.members),
		kernel.Bind(n, peer.Name, &svc.peers),
		kernel.Bind(n, decisions.Name, &svc.decisions),
		kernel.Bind(n, configsync.Name, &svc.follower),
		kernel.Bind(n, admission.Name, &svc.admission),
		kernel.Bind(n, observer.Name, &svc.viewObserver),
		kernel.Bind(n, suspects.Name, &svc.suspects),
	); err != nil {
		return err
	}
	svc.dc = svc.members.Self().DataCentre
	svc.engines = engine.NewClient(svc.members.Self().Box)
	svc.base, svc.cancel = context.WithCancel(context.Background())
	svc.follower.OnChange(svc.configure)
	svc.view.OnLeaving(func(box string, d time.Time) { svc.group.Go(func() { svc.evacuate(box, d) }) })
	svc.registerHandlers()
	svc.group.Go(svc.sweepLoop)
	return nil
}

// Stop cancels all streams that still run. A planned shutdown hands them over first.
func (svc *Service) Stop(context.Context) error {
	svc.cancel()
	svc.group.Wait()
	svc.engines.Close()
	return nil
}

func (svc *Service) configure(d *config.Document) {
	p, err := router.New(svc.PolicyName, d.Targets.LoadBound, d.Targets.RecomputeWeight)
	if err != nil {
		svc.Log.Error().Err(err).Msg("keeping the current routing policy")
		return
	}
	svc.currentPolicy.Store(policyHolder{p})
}

func (svc *Service) policy() router.Policy { return svc.currentPolicy.Load().(policyHolder).Policy }

func (svc *Service) allowRetry(account string) bool { return svc.admission.Retry(account) }

// Run starts the stream of an accepted request. Once the streams were handed over, the stream is refused, with an error of kind
// Stopping.
func (svc *Service) Run(q Request) *Stream {
	s := newStream(q)
	svc.launch(s, func(c context.Context) { newRun(svc, s).start(c) })
	return s
}

// RunRemote starts the stream of a request that this data centre has no capacity for. The request
// is run in another data centre or refused.
func (svc *Service) RunRemote(q Request) *Stream {
	s := newStream(q)
	s.remoteOnly = true
	svc.launch(s, func(c context.Context) { newRun(svc, s).start(c) })
	return s
}

// HasRemote reports whether there are boxes in other data centres.
func (svc *Service) HasRemote() bool {
	return slices.ContainsFunc(svc.members.Up(""), func(m member.Member) bool { return m.DataCentre != svc.dc })
}

// launch registers a stream and calls f with a context that ends at the stream's deadline. Once the streams were handed over, it
// refuses the stream.
func (svc *Service) launch(s *Stream, f func(context.Context)) {
	c, cancel := context.WithDeadline(svc.base, s.Deadline)
	s.cancel = cancel
	svc.mu.Lock()
	refused := context.Cause(svc.handedOver)
	if refused == nil {
		svc.streams[s.ID] = s
	}
	svc.mu.Unlock()
	if refused != nil {
		cancel()
		s.finish(refused)
		return
	}
	svc.group.Go(func() {
		defer cancel()
		f(c)
	})
}

// Find returns a stream that runs on this box or ended on it recently. The error is of kind
// UnknownRequest.
func (svc *Service) Find(id string) (*Stream, error) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	s, ok := svc.streams[id]
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "no request %s here", id)
	}
	return s, nil
}

// trackInFlight adds an attempt to the target's requests in flight until the returned function is
// called.
func (svc *Service) trackInFlight(t target) func() {
	if t.endpoint == nil {
		return func() {}
	}
	t.endpoint.InFlight.Add(1)
	return func() { t.endpoint.InFlight.Add(-1) }
}

// isGone reports whether a box was reclaimed: it is unknown, gone, or leaving and past its deadline.
func (svc *Service) isGone(box string) bool {
	s := svc.view.Endpoint(box)
	return s == nil || s.State == fleet.Gone || s.State == fleet.Leaving && time.Now().After(s.Deadline)
}

// live returns the streams that have not ended.
func (svc *Service) live() []*Stream {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	var ss []*Stream
	for _, s := range svc.streams {
		if !s.Done() {
			ss = append(ss, s)
		}
	}
	return ss
}

// Live returns the number of streams that have not ended.
func (svc *Service) Live() int { return len(svc.live()) }

func (svc *Service) sweepLoop() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-svc.base.Done():
			return
		case now := <-t.C:
			svc.sweep(now)
		}
	}
}

// sweep cancels repeatable streams that have no reader, and drops finished answers that are older
// than finishedRetention or exceed MaxFinished, oldest first.
func (svc *Service) sweep(now time.Time) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	var ended []*Stream
	for id, s := range svc.streams {
		s.mu.Lock()
		done, at := s.done, s.endedAt
		s.mu.Unlock()
		switch {
		case done && now.Sub(at) > finishedRetention:
			delete(svc.streams, id)
		case done:
			ended = append(ended, s)
		case s.unreadFor(now) > abandonTimeout && s.Repeatable:
			s.cancel()
		}
	}
	if over := len(ended) - svc.MaxFinished; over > 0 {
		slices.SortFunc(ended, func(a, b *Stream) int { return a.endedAt.Compare(b.endedAt) })
		for _, s := range ended[:over] {
			delete(svc.streams, s.ID)
		}
	}
}

// evacuate moves the streams off a leaving box. It plans again every replanInterval until the
// deadline.
func (svc *Service) evacuate(box string, deadline time.Time) {
	for svc.base.Err() == nil && time.Now().Before(deadline) {
		svc.evacuateOnce(box, time.Until(deadline))
		wait.For(svc.base, replanInterval)
	}
}

func (svc *Service) evacuateOnce(box string, notice time.Duration) {
	var ss []reclaim.Stream
	by := map[string]*Stream{}
	rate := 1.0
	if s := svc.view.Endpoint(box); s != nil {
		rate = s.TokensPerSecond
	}
	for _, s := range svc.live() {
		if s.Stats().Box == box {
			ss = append(ss, reclaimInput(s, rate))
			by[s.ID] = s
		}
	}
	if len(ss) == 0 {
		return
	}
	l := reclaim.Limits{Notice: notice, Margin: notice / marginDivisor, BytesPerSecond: transferBytesPerSecond}
	for _, m := range reclaim.Plan(ss, svc.freeDestinations(), l) {
		svc.decisions.Record(decisions.Decision{Subject: m.ID, Event: "reclaim", Choice: m.To, Reason: m.Reason, Workload: by[m.ID].Workload})
		if m.Action == reclaim.Finish {
			continue
		}
		select {
		case by[m.ID].moveRequests <- moveRequest{box: box, move: m}:
		default: // a request to move is pending
		}
	}
}

// freeDestinations returns the other endpoints with this box's share of their free slots.
func (svc *Service) freeDestinations() []reclaim.Destination {
	n := max(len(svc.members.LocalBoxes()), 1)
	var ds []reclaim.Destination
	for _, e := range svc.destinationEndpoints() {
		if free := (e.Slots - e.Running - e.Waiting + n - 1) / n; free > 0 {
			ds = append(ds, reclaim.Destination{Box: e.Name, Workloads: e.Loaded, FreeSlots: free})
		}
	}
	slices.SortFunc(ds, func(a, b reclaim.Destination) int { return compare(a.Box, b.Box) })
	return ds
}
