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
	return k
}

// Name returns the service's name.
func (k *Service) Name() string { return Name }

// Start looks up the services that streams depend on and starts the sweep of finished streams.
func (k *Service) Start(_ context.Context, n *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(n, view.Name, &k.view),
		kernel.Bind(n, member.Name, &k.members),
		kernel.Bind(n, peer.Name, &k.peers),
		kernel.Bind(n, decisions.Name, &k.decisions),
		kernel.Bind(n, configsync.Name, &k.follower),
		kernel.Bind(n, admission.Name, &k.admission),
		kernel.Bind(n, observer.Name, &k.viewObserver),
		kernel.Bind(n, suspects.Name, &k.suspects),
	); err != nil {
		return err
	}
	k.dc = k.members.Self().DataCentre
	k.engines = engine.NewClient(k.members.Self().Box)
	k.base, k.cancel = context.WithCancel(context.Background())
	k.follower.OnChange(k.configure)
	k.view.OnLeaving(func(box string, d time.Time) { k.group.Go(func() { k.evacuate(box, d) }) })
	k.registerHandlers()
	k.group.Go(k.sweepLoop)
	return nil
}

// Stop cancels all streams that still run. A planned shutdown hands them over first.
func (k *Service) Stop(context.Context) error {
	k.cancel()
	k.group.Wait()
	k.engines.Close()
	return nil
}

func (k *Service) configure(d *config.Document) {
	p, err := router.New(k.PolicyName, d.Targets.LoadBound, d.Targets.RecomputeWeight)
	if err != nil {
		k.Log.Error().Err(err).Msg("keeping the current routing policy")
		return
	}
	k.currentPolicy.Store(policyHolder{p})
}

func (k *Service) policy() router.Policy { return k.currentPolicy.Load().(policyHolder).Policy }

func (k *Service) allowRetry(account string) bool { return k.admission.Retry(account) }

// Run starts the stream of an accepted request.
func (k *Service) Run(q Request) *Stream {
	s := newStream(q)
	k.launch(s, func(c context.Context) { newRun(k, s).start(c) })
	return s
}

// RunRemote starts the stream of a request that this data centre has no capacity for. The request
// is run in another data centre or refused.
func (k *Service) RunRemote(q Request) *Stream {
	s := newStream(q)
	s.remoteOnly = true
	k.launch(s, func(c context.Context) { newRun(k, s).start(c) })
	return s
}

// HasRemote reports whether there are boxes in other data centres.
func (k *Service) HasRemote() bool {
	return slices.ContainsFunc(k.members.Up(""), func(m member.Member) bool { return m.DataCentre != k.dc })
}

// launch registers a stream and calls f with a context that ends at the stream's deadline.
func (k *Service) launch(s *Stream, f func(context.Context)) {
	c, cancel := context.WithDeadline(k.base, s.Deadline)
	s.cancel = cancel
	k.mu.Lock()
	k.streams[s.ID] = s
	k.mu.Unlock()
	k.group.Go(func() {
		defer cancel()
		f(c)
	})
}

// Find returns a stream that runs on this box or ended on it recently. The error is of kind
// UnknownRequest.
func (k *Service) Find(id string) (*Stream, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.streams[id]
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "no request %s here", id)
	}
	return s, nil
}

// trackInFlight adds an attempt to the target's requests in flight until the returned function is
// called.
func (k *Service) trackInFlight(t target) func() {
	if t.endpoint == nil {
		return func() {}
	}
	t.endpoint.InFlight.Add(1)
	return func() { t.endpoint.InFlight.Add(-1) }
}

// isGone reports whether a box was reclaimed: it is unknown, gone, or leaving and past its deadline.
func (k *Service) isGone(box string) bool {
	s := k.view.Endpoint(box)
	return s == nil || s.State == fleet.Gone || s.State == fleet.Leaving && time.Now().After(s.Deadline)
}

// live returns the streams that have not ended.
func (k *Service) live() []*Stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ss []*Stream
	for _, s := range k.streams {
		if !s.Done() {
			ss = append(ss, s)
		}
	}
	return ss
}

// Live returns the number of streams that have not ended.
func (k *Service) Live() int { return len(k.live()) }

func (k *Service) sweepLoop() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-k.base.Done():
			return
		case now := <-t.C:
			k.sweep(now)
		}
	}
}

// sweep cancels repeatable streams that have no reader, and drops finished answers that are older
// than finishedRetention or exceed MaxFinished, oldest first.
func (k *Service) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ended []*Stream
	for id, s := range k.streams {
		s.mu.Lock()
		done, at := s.done, s.endedAt
		s.mu.Unlock()
		switch {
		case done && now.Sub(at) > finishedRetention:
			delete(k.streams, id)
		case done:
			ended = append(ended, s)
		case s.unreadFor(now) > abandonTimeout && s.Repeatable:
			s.cancel()
		}
	}
	if over := len(ended) - k.MaxFinished; over > 0 {
		slices.SortFunc(ended, func(a, b *Stream) int { return a.endedAt.Compare(b.endedAt) })
		for _, s := range ended[:over] {
			delete(k.streams, s.ID)
		}
	}
}

// evacuate moves the streams off a leaving box. It plans again every replanInterval until the
// deadline.
func (k *Service) evacuate(box string, deadline time.Time) {
	for k.base.Err() == nil && time.Now().Before(deadline) {
		k.evacuateOnce(box, time.Until(deadline))
		wait.For(k.base, replanInterval)
	}
}

func (k *Service) evacuateOnce(box string, notice time.Duration) {
	var ss []reclaim.Stream
	by := map[string]*Stream{}
	rate := 1.0
	if s := k.view.Endpoint(box); s != nil {
		rate = s.TokensPerSecond
	}
	for _, s := range k.live() {
		if s.Stats().Box == box {
			ss = append(ss, reclaimInput(s, rate))
			by[s.ID] = s
		}
	}
	if len(ss) == 0 {
		return
	}
	l := reclaim.Limits{Notice: notice, Margin: notice / marginDivisor, BytesPerSecond: transferBytesPerSecond}
	for _, m := range reclaim.Plan(ss, k.freeDestinations(), l) {
		k.decisions.Record(decisions.Decision{Subject: m.ID, Event: "reclaim", Choice: m.To, Reason: m.Reason, Workload: by[m.ID].Workload})
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
func (k *Service) freeDestinations() []reclaim.Destination {
	n := max(len(k.members.LocalBoxes()), 1)
	var ds []reclaim.Destination
	for _, e := range k.destinationEndpoints() {
		if free := (e.Slots - e.Running - e.Waiting + n - 1) / n; free > 0 {
			ds = append(ds, reclaim.Destination{Box: e.Name, Workloads: e.Loaded, FreeSlots: free})
		}
	}
	slices.SortFunc(ds, func(a, b reclaim.Destination) int { return compare(a.Box, b.Box) })
	return ds
}
