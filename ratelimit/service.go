// Package ratelimit provides the service that enforces rates shared by all boxes. It asks the
// arbiters of an account whether a request may be admitted, and the arbiters of an endpoint's
// rate whether a request may be sent there. It answers other boxes for the accounts and
// endpoints of which this box is an arbiter.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/throttle"
)

// Name is the name under which the service is registered in the kernel.
const Name = "limit"

// Methods of the calls between boxes: one for an account, one for an endpoint's rate.
const (
	methodAsk    = "limit.ask"
	methodPermit = "limit.permit"
	methodPlace  = "limit.place"
	methodReturn = "limit.return"
)

// A call usually takes a few milliseconds, and the shortest latency objectives are 100 ms. A
// call that exceeds askTimeout is abandoned, and the called box is skipped during the cooldown,
// after which a single request probes it. If no arbiter answers, all are asked once more with
// finalAskTimeout.
const (
	askTimeout      = 25 * time.Millisecond
	finalAskTimeout = 100 * time.Millisecond

	// The arbiter that refuses last is asked again, for its reserve or a return time, only within
	// askAgainWithin. With askTimeout, the second question then ends within 60 ms, in which a
	// refusal is due.
	askAgainWithin = 35 * time.Millisecond

	defaultCooldown = time.Second

	// maxTimerDelay is how late the timeout of a call may end before the process is taken to have been stopped.
	maxTimerDelay = 250 * time.Millisecond
)

// Service asks and answers for shared rates on behalf of one box.
type Service struct {
	Quota *quota.Quota

	// Throttle enforces the shares of endpoints' rates that are leased to this box. Rates holds
	// the rates that endpoints have stated.
	Throttle *throttle.Throttle
	Rates    *endpointlimit.Rates

	// Occupancy gives places at endpoints from the shares of them that are leased to this box.
	Occupancy *occupancy.Limiter

	// Cooldown is how long a box that did not answer is skipped.
	Cooldown time.Duration

	node    *peer.Node
	metrics metrics.Registry
	log     zerolog.Logger

	mu           sync.Mutex
	unresponsive map[string]time.Time // by box, the time of the last failed call or probe
}

// New returns a service that uses q for accounts and r for the rates of endpoints.
func New(q *quota.Quota, r *endpointlimit.Rates, m metrics.Registry, log zerolog.Logger) *Service {
	return &Service{
		Quota: q, Throttle: &throttle.Throttle{Leases: q}, Rates: r,
		Occupancy: &occupancy.Limiter{Leases: q},
		Cooldown:  defaultCooldown,
		metrics:   m, log: log, unresponsive: map[string]time.Time{},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start registers the handlers for calls from other boxes.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, peer.Name, &s.node); err != nil {
		return err
	}
	peer.Handle(s.node.Server, methodAsk, func(_ context.Context, x quota.Question) (quota.Answer, error) {
		return s.Quota.Ask(x, boottime.Now()), nil
	})
	peer.Handle(s.node.Server, methodPermit, func(_ context.Context, x throttle.Question) (throttle.Answer, error) {
		return s.answerPermit(x), nil
	})
	peer.Handle(s.node.Server, methodPlace, func(_ context.Context, x occupancy.Question) (occupancy.Answer, error) {
		return s.Occupancy.Ask(x, boottime.Now()), nil
	})
	peer.Handle(s.node.Server, methodReturn, func(_ context.Context, x occupancy.Return) (struct{}, error) {
		s.Occupancy.Return(x, boottime.Now())
		return struct{}{}, nil
	})
	return nil
}

// Stop does nothing. Calls end when the peer node stops.
func (s *Service) Stop(context.Context) error { return nil }

// Take asks the arbiters of an account whether a request may be admitted. It returns the answer
// and the arbiter that gave it, or the zero Arbiter if none answered.
func (s *Service) Take(c context.Context, x quota.Question) (quota.Answer, quota.Arbiter) {
	began := boottime.Now()
	v, by := s.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		if s.coolingDown(a.Box) || x.Last && boottime.Since(began) > askAgainWithin {
			return quota.Answer{}, false
		}
		return s.ask(c, a, x, askTimeout)
	})
	if by.Box == "" {
		v, by = s.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
			return s.ask(c, a, x, finalAskTimeout)
		})
	}
	metrics.GetOrRegisterTimer("limit.asked", s.metrics).UpdateSince(began)
	s.count(v)
	return v, by
}

// count counts how a request was admitted or refused beyond its account's free room.
func (s *Service) count(v quota.Answer) {
	inc := func(name string, counted bool) {
		if counted {
			metrics.GetOrRegisterCounter(name, s.metrics).Inc(1)
		}
	}
	inc("limit.from_reserve", v.FromReserve)
	inc("limit.placed", v.Placed && v.Return == quota.NotReturned)
	inc("limit.returned_due", v.OK && v.Return == quota.ReturnedDue)
	inc("limit.returned_early", !v.OK && v.Return == quota.ReturnedEarly)
}

// ask asks one arbiter, which may be this box. It reports false if there is no answer.
func (s *Service) ask(c context.Context, a quota.Arbiter, x quota.Question, timeout time.Duration) (quota.Answer, bool) {
	if a.Box == s.Quota.Self.Box {
		return s.Quota.Ask(x, boottime.Now()), true
	}
	var v quota.Answer
	ok := s.call(c, a, methodAsk, x, &v, timeout)
	return v, ok
}

// call calls another box. If the box does not answer in time, call marks it unresponsive and
// reports false. A call cancelled by the caller, or during which this process was stopped, says nothing about the box and is not
// counted.
func (s *Service) call(c context.Context, a quota.Arbiter, method string, in, out any, timeout time.Duration) bool {
	t, cancel := context.WithTimeout(c, timeout)
	defer cancel()
	began := boottime.Now()
	err := s.node.Client.Call(t, a.Address, method, in, out)
	if err == nil {
		s.markResponsive(a.Box)
		return true
	}
	if c.Err() != nil || boottime.Since(began) >= timeout+maxTimerDelay {
		return false
	}
	metrics.GetOrRegisterCounter("limit.unanswered", s.metrics).Inc(1)
	s.log.Info().Str("event", "limit").Str("other", a.Box).Interface("question", in).Dur("limit", timeout).Err(err).
		Msg("did not answer; others are asked for a while")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[a.Box] = boottime.Now()
	return false
}

// coolingDown reports whether a box is to be skipped because it did not answer recently. Once
// per cooldown it returns false, so that one request probes the box.
func (s *Service) coolingDown(box string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.unresponsive[box]
	if ok && boottime.Since(at) >= s.Cooldown {
		s.unresponsive[box] = boottime.Now()
		return false
	}
	return ok
}

func (s *Service) markResponsive(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unresponsive, box)
}
