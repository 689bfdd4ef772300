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
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/follower"
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

// The times and bounds of the keeper.
const (
	sweepEvery     = time.Second
	abandonedAfter = 15 * time.Second
	heldFor        = 2 * time.Minute
	prefixesKept   = 8192
	replanEvery    = time.Second
	transferRate   = 1 << 30
	marginPart     = 4
)

// Keeper is the service of one box.
type Keeper struct {
	PolicyName string
	MaxHeld    int
	Log        zerolog.Logger

	dc        string
	view      *view.View
	members   *member.Service
	peers     *peer.Node
	decisions *decisions.Log
	follower  *follower.Follower
	admission *admission.Admission
	fresh     *observer.Observer
	suspects  *suspects.Service
	engines   *engine.Client
	prefixes  *lru.Cache[uint64, string]
	buffers   sync.Pool
	chosen    atomic.Value
	index     atomic.Pointer[index]

	recomputed  metrics.Counter
	moved       metrics.Counter
	transferred metrics.Counter

	mu       sync.Mutex
	streams  map[string]*Stream
	draining atomic.Bool
	cancel   context.CancelFunc
	base     context.Context
	group    sync.WaitGroup
}

// holder keeps a policy in an atomic value, whatever its type.
type holder struct{ router.Policy }

// New returns the keeper of a box. Finished answers are held up to a number.
func New(policy string, held int, m metrics.Registry, log zerolog.Logger) *Keeper {
	p, err := lru.New[uint64, string](prefixesKept)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	k := &Keeper{
		PolicyName: policy, MaxHeld: held, Log: log, prefixes: p, streams: map[string]*Stream{},
		recomputed:  metrics.GetOrRegisterCounter("stream.recomputed_tokens", m),
		moved:       metrics.GetOrRegisterCounter("stream.replayed", m),
		transferred: metrics.GetOrRegisterCounter("stream.transferred", m),
	}
	k.buffers.New = func() any { return new(candidates) }
	return k
}

// Name returns the service's name.
func (k *Keeper) Name() string { return Name }

// Start finds the services that the streams need.
func (k *Keeper) Start(_ context.Context, n *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(n, view.Name, &k.view),
		kernel.Bind(n, member.Name, &k.members),
		kernel.Bind(n, peer.Name, &k.peers),
		kernel.Bind(n, decisions.Name, &k.decisions),
		kernel.Bind(n, follower.Name, &k.follower),
		kernel.Bind(n, admission.Name, &k.admission),
		kernel.Bind(n, observer.Name, &k.fresh),
		kernel.Bind(n, suspects.Name, &k.suspects),
	); err != nil {
		return err
	}
	k.dc = k.members.Self().DataCentre
	k.engines = engine.NewClient(k.members.Self().Box)
	k.base, k.cancel = context.WithCancel(context.Background())
	k.follower.OnChange(k.configure)
	k.view.OnLeaving(func(box string, d time.Time) { k.group.Go(func() { k.clear(box, d) }) })
	k.handlePeers()
	k.group.Go(k.sweepAll)
	return nil
}

// Stop ends whatever still runs. A planned stop drains the keeper before.
func (k *Keeper) Stop(context.Context) error {
	k.cancel()
	k.group.Wait()
	k.engines.Close()
	return nil
}

func (k *Keeper) configure(d *config.Document) {
	p, err := router.New(k.PolicyName, d.Targets.LoadBound, d.Targets.RecomputeWeight)
	if err != nil {
		k.Log.Error().Err(err).Msg("routing policy kept")
		return
	}
	k.chosen.Store(holder{p})
}

func (k *Keeper) policy() router.Policy { return k.chosen.Load().(holder).Policy }

func (k *Keeper) retry(account string) bool { return k.admission.Retry(account) }

// Run starts the stream of an accepted request.
func (k *Keeper) Run(q Request) *Stream {
	s := newStream(q)
	k.launch(s, func(c context.Context) { newRun(k, s).begin(c) })
	return s
}

// RunAbroad starts the stream of a request for which this data centre has no
// room: another one takes it, or it is refused.
func (k *Keeper) RunAbroad(q Request) *Stream {
	s := newStream(q)
	s.abroad = true
	k.launch(s, func(c context.Context) { newRun(k, s).begin(c) })
	return s
}

// Abroad reports whether there are other data centres to ask.
func (k *Keeper) Abroad() bool {
	return slices.ContainsFunc(k.members.Up(""), func(m member.Member) bool { return m.DataCentre != k.dc })
}

// launch enters a stream and runs it until its deadline.
func (k *Keeper) launch(s *Stream, f func(context.Context)) {
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

// Find returns a stream that this box has or held a little ago.
func (k *Keeper) Find(id string) (*Stream, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.streams[id]
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "no request %s here", id)
	}
	return s, nil
}

// count notes own work at an endpoint and returns how to end it.
func (k *Keeper) count(t target) func() {
	if t.slot == nil {
		return func() {}
	}
	t.slot.InFlight.Add(1)
	return func() { t.slot.InFlight.Add(-1) }
}

// gone reports whether a box was taken.
func (k *Keeper) gone(box string) bool {
	s := k.view.Endpoint(box)
	return s == nil || s.State == fleet.Gone || s.State == fleet.Leaving && time.Now().After(s.Deadline)
}

// live returns the streams that have not ended.
func (k *Keeper) live() []*Stream {
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

// Live returns how many streams have not ended.
func (k *Keeper) Live() int { return len(k.live()) }

func (k *Keeper) sweepAll() {
	t := time.NewTicker(sweepEvery)
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

// sweep cancels what nobody reads any more and forgets old answers.
func (k *Keeper) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ended []*Stream
	for id, s := range k.streams {
		s.mu.Lock()
		done, at := s.done, s.ended
		s.mu.Unlock()
		switch {
		case done && now.Sub(at) > heldFor:
			delete(k.streams, id)
		case done:
			ended = append(ended, s)
		case s.abandoned(now) > abandonedAfter && s.Repeatable:
			s.cancel()
		}
	}
	if over := len(ended) - k.MaxHeld; over > 0 {
		slices.SortFunc(ended, func(a, b *Stream) int { return a.ended.Compare(b.ended) })
		for _, s := range ended[:over] {
			delete(k.streams, s.ID)
		}
	}
}

// clear takes the streams off a box that leaves, and looks again until it is
// gone.
func (k *Keeper) clear(box string, deadline time.Time) {
	for k.base.Err() == nil && time.Now().Before(deadline) {
		k.clearOnce(box, time.Until(deadline))
		wait.For(k.base, replanEvery)
	}
}

func (k *Keeper) clearOnce(box string, notice time.Duration) {
	var ss []reclaim.Stream
	by := map[string]*Stream{}
	rate := 1.0
	if s := k.view.Endpoint(box); s != nil {
		rate = s.TokensPerSecond
	}
	for _, s := range k.live() {
		if s.Stats().Box == box {
			ss = append(ss, planned(s, rate))
			by[s.ID] = s
		}
	}
	if len(ss) == 0 {
		return
	}
	l := reclaim.Limits{Notice: notice, Margin: notice / marginPart, BytesPerSecond: transferRate}
	for _, m := range reclaim.Plan(ss, k.rooms(), l) {
		k.decisions.Record(decisions.Decision{Subject: m.ID, Event: "reclaim", Choice: m.To, Reason: m.Reason, Workload: by[m.ID].Workload})
		if m.Act == reclaim.Finish {
			continue
		}
		select {
		case by[m.ID].signals <- signal{box: box, move: m}:
		default: // told already
		}
	}
}

// rooms is this box's part of the free slots of the other endpoints.
func (k *Keeper) rooms() []reclaim.Destination {
	n := max(len(k.members.LocalBoxes()), 1)
	var ds []reclaim.Destination
	for _, e := range k.destinations() {
		if free := (e.Slots - e.Running - e.Waiting + n - 1) / n; free > 0 {
			ds = append(ds, reclaim.Destination{Box: e.Name, Workload: e.Loaded, Free: free})
		}
	}
	slices.SortFunc(ds, func(a, b reclaim.Destination) int { return compare(a.Box, b.Box) })
	return ds
}
