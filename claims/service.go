package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/ledger"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
)

// Name is the name of the service.
const Name = "claims"

// ownerTimeout is how long a slot's owner may take before a box commits by
// itself. Two who commit cost a retry and never a second claim.
const ownerTimeout = 500 * time.Millisecond

// Service is the service of one box.
type Service struct {
	Slots int
	TTL   time.Duration

	store   store
	members *member.Service
	peers   *peer.Node
	mu      sync.Mutex
	slots   map[int]*committer
	group   sync.WaitGroup
}

// New returns the claims of a box: so many pages, whose claims last for ttl.
func New(slots int, ttl time.Duration) *Service {
	return &Service{Slots: slots, TTL: ttl, slots: map[int]*committer{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start lets peers have their claims committed here.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	n, err := kernel.Find[*kv.Service](k, kv.Name)
	if err != nil {
		return err
	}
	s.store = n
	if err := errors.Join(
		kernel.Bind(k, member.Name, &s.members),
		kernel.Bind(k, peer.Name, &s.peers),
	); err != nil {
		return err
	}
	peer.Handle(s.peers.Server, "claims.commit", s.commit)
	return nil
}

// Stop waits for the commits that are under way.
func (s *Service) Stop(context.Context) error {
	s.group.Wait()
	return nil
}

// Claim returns the claim on a key that is in force: the one given, or an
// earlier one. The error is of kind ClaimUnavailable.
func (s *Service) Claim(c context.Context, claim ledger.Claim) (ledger.Claim, error) {
	slot := ledger.Key(claim.Key).Slot(s.Slots)
	_, owner := s.members.Owner(pageKey(slot), 1)
	if owner.Address == "" || owner.Box == s.members.Self().Box {
		return s.commit(c, claim)
	}
	x, cancel := context.WithTimeout(c, ownerTimeout)
	defer cancel()
	var in ledger.Claim
	err := s.peers.Client.Call(x, owner.Address, "claims.commit", claim, &in)
	if err == nil || errkind.Is(err, errkind.ClaimUnavailable) {
		return in, err
	}
	return s.commit(c, claim)
}

func pageKey(slot int) string { return fmt.Sprintf("claims/%d", slot) }

func (s *Service) commit(c context.Context, claim ledger.Claim) (ledger.Claim, error) {
	if len(claim.Key) != len(ledger.Key{}) {
		return claim, errkind.New(errkind.BadRequest, "a claim's key has %d bytes", len(claim.Key))
	}
	slot := ledger.Key(claim.Key).Slot(s.Slots)
	s.mu.Lock()
	m, ok := s.slots[slot]
	if !ok {
		m = &committer{store: s.store, key: pageKey(slot), ttl: s.TTL, interval: commitInterval}
		s.slots[slot] = m
	}
	s.mu.Unlock()
	return m.submit(c, claim, func(f func()) { s.group.Go(f) })
}
