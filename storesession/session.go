// Package storesession keeps a box's lease in the store. Renewing the lease is the cheapest call of the
// store, so its result also shows whether the store can be reached.
package storesession

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

// The times of the lease. Three renewals may fail before it expires. A box whose reports other
// boxes rely on renews every FastRenewInterval, so that it notices an unresponsive store well
// within the 2 s in which a draining endpoint must be known. A failed call is retried after
// RetryDelay.
const (
	TTL               = 4 * time.Second
	RenewInterval     = time.Second
	FastRenewInterval = 500 * time.Millisecond
	RetryDelay        = 300 * time.Millisecond
)

// reportValidity is how long a box makes no renewals after another box reported that the store
// answers. The lease expires meanwhile, and a new one is taken when it is needed. Most boxes need
// no lease, and their renewals would be most of the calls to the store.
const reportValidity = 1500 * time.Millisecond

// Session keeps the lease of one box.
type Session struct {
	Store store.Store

	log    zerolog.Logger
	fast   atomic.Bool
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu            sync.Mutex
	lease         store.Lease
	renewedAt     time.Time // when the last call began that the store answered
	reportedAt    time.Time // when the store last answered a box that reports to this one
	reachable     bool
	everAnswered  bool
	reconnectedAt time.Time // when the store last became reachable again
	answersSince  time.Time // when it last became reachable, the first time included
	onReconnect   []func()
}

// New returns a session with a store.
func New(s store.Store, log zerolog.Logger) *Session { return &Session{Store: s, log: log} }

// Name returns the service's name.
func (s *Session) Name() string { return Name }

// Start starts to renew the lease.
func (s *Session) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { s.run(c) })
	return nil
}

// Stop revokes the lease, so that other boxes see at once that this box has left.
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
		s.log.Info().Str("event", "lease").Err(err).Msg("lease not revoked; it will expire")
	}
	return nil
}

// SetFast sets whether other boxes rely on this box's reports on the store. The lease is then
// renewed every FastRenewInterval.
func (s *Session) SetFast(on bool) { s.fast.Store(on) }

// OnReconnect registers f to be called when the store answers for the first time and whenever it
// becomes reachable again.
func (s *Session) OnReconnect(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReconnect = append(s.onReconnect, f)
}

// Lease returns the lease that this box's own keys are bound to, or zero if there is none.
func (s *Session) Lease() store.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// MergeReport records a report of another box: the time since the store last answered that box.
func (s *Session) MergeReport(silent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAt = later(s.reportedAt, boottime.Now().Add(-silent))
}

// StoreUnresponsiveFor returns the time since the store was last asked for a renewal that it answered, or last answered the
// box that reports to this one.
func (s *Session) StoreUnresponsiveFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return boottime.Since(s.lastAnswer())
}

// StoreResponsiveFor returns for how long the store has answered without an outage that this box knows of.
func (s *Session) StoreResponsiveFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachable || boottime.Since(s.lastAnswer()) >= 2*RenewInterval {
		return 0
	}
	return boottime.Since(s.answersSince)
}

// lastAnswer returns when the store last answered. The caller must hold the lock.
func (s *Session) lastAnswer() time.Time { return later(s.renewedAt, s.reportedAt) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreLost reports whether the store has answered before and did not answer the last call.
func (s *Session) StoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everAnswered && !s.reachable
}

// StoreUnreachable reports whether the store did not answer the last call, or has never answered.
func (s *Session) StoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reachable
}

// PingStore reports whether the store answers this box now. It makes a call, since a box renews
// seldom while others report on the store, and may not have noticed yet that the store is
// unresponsive.
func (s *Session) PingStore(c context.Context) bool {
	s.mu.Lock()
	l, reached := s.lease, s.reachable
	s.mu.Unlock()
	if !reached || l == 0 {
		return reached
	}
	asked := boottime.Now()
	err := s.Store.Renew(c, l)
	if errors.Is(err, store.ErrNoLease) {
		err = nil // the store answers; the next renewal takes a new lease
	}
	s.recordResult(asked, err)
	return err == nil
}

// EnsureLease renews the lease, or takes a new one if the lease has expired, and returns it.
func (s *Session) EnsureLease(c context.Context) (store.Lease, error) {
	if err := s.renewOrGrant(c); err != nil {
		return 0, err
	}
	return s.Lease(), nil
}

// OutageGrace returns for how much longer the absence of a key may be the effect of an outage: d
// while the store is unresponsive, and what is left of d after the store became reachable again.
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
		asked := boottime.Now()
		err := s.renewOrGrant(c)
		if c.Err() != nil {
			return
		}
		s.recordResult(asked, err)
		if err != nil {
			wait.For(c, RetryDelay)
			continue
		}
		s.awaitRenewal(c)
	}
}

// awaitRenewal waits until the lease is due for renewal or the store is unreachable.
func (s *Session) awaitRenewal(c context.Context) {
	began := boottime.Now()
	for c.Err() == nil {
		wait.For(c, FastRenewInterval)
		if s.StoreUnreachable() || boottime.Since(began) >= s.renewInterval() {
			return
		}
	}
}

// renewInterval returns the current interval between renewals.
func (s *Session) renewInterval() time.Duration {
	s.mu.Lock()
	reported := boottime.Since(s.reportedAt) < reportValidity
	s.mu.Unlock()
	switch {
	case s.fast.Load():
		return FastRenewInterval
	case reported:
		return math.MaxInt64
	default:
		return RenewInterval
	}
}

// renewOrGrant renews the lease, or takes a new one if there is none or it has expired.
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

// recordResult records whether the store answered a call that began at a time, and logs and reports a change. The answer may
// have waited to be read while the process was stopped, so it shows that the store answered after asked, and no more.
func (s *Session) recordResult(asked time.Time, err error) {
	s.mu.Lock()
	was := s.reachable
	s.reachable = err == nil
	if err == nil {
		s.renewedAt = later(s.renewedAt, asked)
	}
	var callbacks []func()
	if err == nil && !was {
		now := boottime.Now()
		s.answersSince = now
		callbacks = s.onReconnect
		// The first answer of all ends no outage: no key is known to have lapsed.
		if s.everAnswered {
			s.reconnectedAt = now
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
	for _, f := range callbacks {
		f()
	}
}
