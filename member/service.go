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

// The times of the protocol.
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

// registerPrefix is where a box leaves its address for those that join later.
const registrationPrefix = "members/"

// caller is what the service needs of the peers' client.
type caller interface {
	Call(c context.Context, address, method string, in, out any) error
}

// store is what the service needs of the key-value service.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	List(c context.Context, prefix string) ([]kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// probe is a ping; the answer has the same form.
type probe struct {
	_msgpack struct{} `msgpack:",as_array"`

	From   string
	Digest uint64
	Target string
}

// exchange is what two boxes tell each other when their tables differ: the rows,
// and the successors of processes that have left.
type syncMessage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Rows       []Member
	Successors map[string]string
}

// succession says which incarnation answers for one that has left.
type succession struct {
	incarnation string
	learned     time.Time
}

// Service is the membership of one box.
type Service struct {
	Seeds []string
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

// New returns the membership of a box. Its address is known once it starts.
func New(box, dc string, seeds []string, log zerolog.Logger) *Service {
	m := Member{Box: box, DataCentre: dc, Incarnation: uuid.NewString(), Started: time.Now().UnixNano()}
	return &Service{Seeds: seeds, Log: log, self: m, changedAt: map[string]time.Time{}, successors: map[string]succession{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start joins the others and begins to probe them.
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

// Stop tells the others that the box leaves and ends the probes.
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

// Self returns the own row.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Up returns the members that are up in a data centre, or in all for "", this box among them. The
// slice is shared and must not be changed.
func (s *Service) Up(dc string) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Up(dc)
}

// LocalBoxes returns the boxes that are up in the own data centre.
func (s *Service) LocalBoxes() []string {
	ms := s.Up(s.self.DataCentre)
	ns := make([]string, len(ms))
	for i, m := range ms {
		ns[i] = m.Box
	}
	return ns
}

// Owner reports whether this box is among the first n of its data centre for
// a key, and returns the first.
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

// SetSuccessor names the incarnation that will answer for this process when it has
// left.
func (s *Service) SetSuccessor(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.Successor = incarnation
}

// ResolveIncarnation returns the member that answers for an incarnation: itself while it
// is up, or else its successor, or the successor's.
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

// Merge takes rows from another box.
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

// refute answers a rumour that this process is down. The caller holds the lock.
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
