package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/rendezvous"
)

// Name is the name of the service.
const Name = "member"

// The parameters of the protocol.
const (
	probeInterval       = time.Second
	probeTimeout        = 400 * time.Millisecond
	suspicionTimeout    = 3 * time.Second
	relayInterval       = 2 * time.Second
	forgetAfter         = time.Hour
	joinTimeout         = 3 * time.Second
	maxIndirectProbes   = 2
	relaysPerDataCentre = 2

	maxSuccessorHops = 8
)

// registrationPrefix is the key prefix under which boxes store their rows for boxes that join later.
const registrationPrefix = "members/"

// caller is the part of peer.Client that the service uses.
type caller interface {
	Call(c context.Context, address, method string, in, out any) error
}

// store is the part of kv.Client that the service uses.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	List(c context.Context, prefix string) ([]kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// probe is the message and the answer of a probe. Digest is that of the sender's table.
// Target, if set, is the address of a member that the receiver should probe; the answer
// repeats it if that member answered.
type probe struct {
	_msgpack struct{} `msgpack:",as_array"`

	From   string
	Digest uint64
	Target string
}

// syncMessage is the message and the answer of a table exchange. Successors maps the
// incarnations of processes that have left to those of their successors.
type syncMessage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Rows       []Member
	Successors map[string]string
}

// succession names the incarnation that takes over from one that has left, and when it was learned.
type succession struct {
	incarnation string
	learned     time.Time
}

// Service runs the membership protocol for one box.
type Service struct {
	Seeds []string // addresses of boxes to join through
	Log   zerolog.Logger

	mu         sync.Mutex
	self       Member
	table      Table
	changedAt  map[string]time.Time
	successors map[string]succession
	probeOrder []string
	client     caller
	store      store
	cancel     context.CancelFunc
	group      sync.WaitGroup
}

// New returns the membership service of a box. The address of the box is set by Start.
func New(box, dc string, seeds []string, log zerolog.Logger) *Service {
	m := Member{Box: box, DataCentre: dc, Incarnation: uuid.NewString(), Started: time.Now().UnixNano()}
	return &Service{Seeds: seeds, Log: log, self: m, changedAt: map[string]time.Time{}, successors: map[string]succession{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start joins the other boxes and starts the probes.
func (s *Service) Start(c context.Context, k *kernel.Kernel) error {
	p, err := kernel.Find[*peer.Node](k, peer.Name)
	if err != nil {
		return err
	}
	n, err := kernel.Find[*kv.Service](k, kv.Name)
	if err != nil {
		return err
	}
	s.client, s.store = p.Client, n.Client
	peer.Handle(p.Server, "member.probe", s.handleProbe)
	peer.Handle(p.Server, "member.sync", s.handleSync)
	s.mu.Lock()
	s.self.Address = p.Advertise
	s.table.Merge([]Member{s.self})
	s.mu.Unlock()
	s.join(c)
	x, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.runEvery(x, probeInterval, s.probeRound) })
	s.group.Go(func() { s.runEvery(x, relayInterval, s.relayRound) })
	return nil
}

// Stop ends the probes and notifies the other boxes of the data centre that this box has left.
func (s *Service) Stop(c context.Context) error {
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	s.self.State = Left
	s.table.Merge([]Member{s.self})
	s.mu.Unlock()
	c, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, m := range s.Up(s.self.DataCentre) {
		g.Go(func() { s.syncWith(c, m.Address) })
	}
	g.Wait()
	return nil
}

// Self returns the row of this box.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Up returns the members that are up in a data centre, or in all if dc is empty, including this
// box. The slice is shared; the caller must not modify it.
func (s *Service) Up(dc string) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Up(dc)
}

// LocalBoxes returns the names of the boxes that are up in this box's data centre.
func (s *Service) LocalBoxes() []string {
	ms := s.Up(s.self.DataCentre)
	ns := make([]string, len(ms))
	for i, m := range ms {
		ns[i] = m.Box
	}
	return ns
}

// Owner ranks the boxes of the data centre for a key by rendezvous hashing. It reports
// whether this box is among the first n, and returns the first.
func (s *Service) Owner(key string, n int) (bool, Member) {
	ns := rendezvous.Top(rendezvous.Hash(key), s.LocalBoxes(), n)
	if len(ns) == 0 {
		return true, s.Self()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, _ := s.table.Get(ns[0])
	return slices.Contains(ns, s.self.Box), m
}

// SetSuccessor sets the incarnation that takes over the requests of this process when
// it leaves.
func (s *Service) SetSuccessor(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.Successor = incarnation
}

// ResolveIncarnation returns the member that handles the requests of an incarnation:
// the incarnation itself while it is up, or else the first of its successors that is
// up, within maxSuccessorHops.
func (s *Service) ResolveIncarnation(incarnation string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxSuccessorHops {
		m, known := s.table.findIncarnation(incarnation)
		if known && m.isUp() {
			return m, true
		}
		next, left := s.successors[incarnation]
		if !left {
			break
		}
		incarnation = next.incarnation
	}
	return Member{}, false
}

// Merge merges rows from another box into the table.
func (s *Service) Merge(ms []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.Merge(ms)
	for _, m := range ms {
		if m.Successor != "" {
			s.successors[m.Incarnation] = succession{incarnation: m.Successor, learned: time.Now()}
		}
	}
	for _, m := range changed {
		s.changedAt[m.Box] = time.Now()
		s.Log.Info().Str("member", m.Box).Uint8("state", uint8(m.State)).Str("incarnation", m.Incarnation).Msg("member changed")
	}
	s.refute()
}

// refute raises the refutation count if the table has this process in a wrong state. The
// caller holds s.mu.
func (s *Service) refute() {
	m, ok := s.table.Get(s.self.Box)
	if !ok || m.Incarnation != s.self.Incarnation || m.State == s.self.State || s.self.State == Left {
		return
	}
	s.self.Refutations = m.Refutations + 1
	s.table.Merge([]Member{s.self})
}

func (s *Service) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest()
}
