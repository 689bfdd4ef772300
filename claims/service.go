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

// ownerTimeout is how long a box waits for a slot's owner before it commits the claim itself. Two
// committers of a slot cost a retry, and never a second claim.
const ownerTimeout = 500 * time.Millisecond

// Service is the claim service of one box.
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

// New returns the claim service of a box. Claims are kept in the given number of slots, with one
// page each, and last for ttl.
func New(slots int, ttl time.Duration) *Service {
	return &Service{Slots: slots, TTL: ttl, slots: map[int]*committer{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start looks up the services that claims depend on, and accepts claims of peers.
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

// Stop waits for the commits in progress.
func (s *Service) Stop(context.Context) error {
	s.group.Wait()
	return nil
}

// Claim returns the claim on a key that is in force: the given one, or an earlier one.
// The error is of kind ClaimUnavailable if the claim can't be committed.
func (s *Service) Claim(c context.Context, claim ledger.Claim) (ledger.Claim, error) {
	slot := ledger.Key(claim.Key).Slot(s.Slots)
	_, owner := s.members.Owner(pageKey(slot), 1)
	if owner.Address == "" || owner.Box == s.members.Self().Box {
		return s.commit(c, claim)
	}
	x, cancel := context.WithTimeout(c, ownerTimeout)
	defer cancel()
	var current ledger.Claim
	err := s.peers.Client.Call(x, owner.Address, "claims.commit", claim, &current)
	if err == nil || errkind.Is(err, errkind.ClaimUnavailable) {
		return current, err
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
