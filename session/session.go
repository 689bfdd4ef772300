// Package session keeps a box's lease in the store. Renewing it is the cheapest
// call that the store takes, so it also tells whether the store can be reached.
package session

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "session"

// The times of the lease. Three renewals may be lost before it ends. A box on
// whose word others rest renews each RenewFast, so that a store that is silent to
// it is noticed well within the 2 s in which a leaving endpoint must be known. A
// store that is away is asked again after Retry.
const (
	TTL               = 4 * time.Second
	RenewInterval     = time.Second
	FastRenewInterval = 500 * time.Millisecond
	RetryDelay        = 300 * time.Millisecond
)

// reportValidity is how long a box that was told by another that the store answers makes no call of its
// own: its lease runs out meanwhile, and is taken anew when it is needed. Most boxes need none, and
// their renewals would be most of all calls to the store.
const reportValidity = 1500 * time.Millisecond

// Session is the service of one box.
type Session struct {
	Store store.Store

	log    zerolog.Logger
	fast   atomic.Bool
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu            sync.Mutex
	lease         store.Lease
	renewedAt     time.Time
	reportedAt    time.Time // when the store answered another box that this one hears
	reachable     bool
	everAnswered  bool
	reconnectedAt time.Time // when the store could last be reached again
	onReconnect   []func()
}

// New returns a session with a store.
func New(s store.Store, log zerolog.Logger) *Session { return &Session{Store: s, log: log} }

// Name returns the service's name.
func (s *Session) Name() string { return Name }

// Start begins to keep the lease.
func (s *Session) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.run(c) })
	return nil
}

// Stop gives the lease back, so that others learn at once that the box left.
func (s *Session) Stop(c context.Context) error {
	s.cancel()
	s.group.Wait()
	s.mu.Lock()
	l := s.lease
	s.mu.Unlock()
	if l == 0 {
		return nil
	}
	if err := s.Store.Revoke(c, l); err != nil {
		s.log.Info().Str("event", "lease").Err(err).Msg("not given back; it ends by itself")
	}
	return nil
}

// SetFast says whether others rest on this box's word of the store.
func (s *Session) SetFast(on bool) { s.fast.Store(on) }

// OnReconnect sets what is called when the store can be reached again after it
// could not be.
func (s *Session) OnReconnect(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReconnect = append(s.onReconnect, f)
}

// Lease returns the lease under which this box's own keys stand; zero for none.
func (s *Session) Lease() store.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// MergeReport takes from another box for how long the store has not answered it.
func (s *Session) MergeReport(silent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAt = later(s.reportedAt, boottime.Now().Add(-silent))
}

// StoreUnresponsiveFor returns for how long the store has answered neither a renewal nor the box that
// tells this one of it.
func (s *Session) StoreUnresponsiveFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return boottime.Since(s.lastAnswer())
}

// lastAnswer returns when the store last answered. The lock must be held.
func (s *Session) lastAnswer() time.Time { return later(s.renewedAt, s.reportedAt) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreLost reports whether the store has answered before and does not now.
func (s *Session) StoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everAnswered && !s.reachable
}

// StoreUnreachable reports whether the store did not answer the last renewal, or has not answered
// yet.
func (s *Session) StoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reachable
}

// PingStore reports whether the store answers this box now. It makes a call, so that a box to
// which the store has just become silent does not count on it: members renew seldom.
func (s *Session) PingStore(c context.Context) bool {
	s.mu.Lock()
	l, reached := s.lease, s.reachable
	s.mu.Unlock()
	if !reached || l == 0 {
		return reached
	}
	err := s.Store.Renew(c, l)
	if errors.Is(err, store.ErrNoLease) {
		err = nil // it answers; the next renewal takes a lease anew
	}
	s.recordResult(err)
	return err == nil
}

// EnsureLease returns a lease that stands, and takes one anew if that of before has run out.
func (s *Session) EnsureLease(c context.Context) (store.Lease, error) {
	if err := s.renewOrGrant(c); err != nil {
		return 0, err
	}
	return s.Lease(), nil
}

// OutageGrace returns for how long what vanished from the store may still be due to
// an outage: within d of the store's return, and during an outage for all of d.
func (s *Session) OutageGrace(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if !s.reachable || now.Sub(s.lastAnswer()) >= 2*RenewInterval {
		return d
	}
	return max(d-now.Sub(s.reconnectedAt), 0)
}

func (s *Session) run(c context.Context) {
	for c.Err() == nil {
		err := s.renewOrGrant(c)
		if c.Err() != nil {
			return
		}
		s.recordResult(err)
		if err != nil {
			wait.For(c, RetryDelay)
			continue
		}
		s.awaitRenewal(c)
	}
}

// awaitRenewal waits until the lease is to be renewed.
func (s *Session) awaitRenewal(c context.Context) {
	began := boottime.Now()
	for c.Err() == nil {
		wait.For(c, FastRenewInterval)
		if s.StoreUnreachable() || boottime.Since(began) >= s.renewInterval() {
			return
		}
	}
}

// renewInterval returns how often the lease is renewed now.
func (s *Session) renewInterval() time.Duration {
	s.mu.Lock()
	told := boottime.Since(s.reportedAt) < reportValidity
	s.mu.Unlock()
	switch {
	case s.fast.Load():
		return FastRenewInterval
	case told:
		return math.MaxInt64
	default:
		return RenewInterval
	}
}

// renewOrGrant renews the lease, or takes one.
func (s *Session) renewOrGrant(c context.Context) error {
	l := s.Lease()
	if l != 0 {
		err := s.Store.Renew(c, l)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
		s.setLease(0)
	}
	l, _, err := s.Store.Grant(c, TTL)
	if err != nil {
		return err
	}
	s.setLease(l)
	return nil
}

func (s *Session) setLease(l store.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = l
}

// recordResult keeps whether the store answered, and tells of a change.
func (s *Session) recordResult(err error) {
	s.mu.Lock()
	was := s.reachable
	s.reachable = err == nil
	if err == nil {
		s.renewedAt = boottime.Now()
	}
	var call []func()
	if err == nil && !was {
		call = s.onReconnect
		// The first answer ever is no return: nothing is known to have lapsed.
		if s.everAnswered {
			s.reconnectedAt = s.renewedAt
		}
		s.everAnswered = true
	}
	s.mu.Unlock()
	switch {
	case err == nil && !was:
		s.log.Info().Str("event", "dependency regained").Str("of", "store").Msg("the store answers")
	case err != nil && was:
		s.log.Warn().Str("event", "dependency lost").Str("of", "store").Err(err).Msg("the store does not answer")
	}
	for _, f := range call {
		f()
	}
}
