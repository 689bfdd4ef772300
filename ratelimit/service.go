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
)

// A call usually takes a few milliseconds, and the shortest latency objectives are 100 ms. A
// call that exceeds askTimeout is abandoned, and the called box is skipped during the cooldown,
// after which a single request probes it. If no arbiter answers, all are asked once more with
// finalAskTimeout.
const (
	askTimeout      = 25 * time.Millisecond
	finalAskTimeout = 100 * time.Millisecond
	defaultCooldown = time.Second
)

// Service asks and answers for shared rates on behalf of one box.
type Service struct {
	Quota *quota.Quota

	// Throttle enforces the shares of endpoints' rates that are leased to this box. Rates holds
	// the rates that endpoints have stated.
	Throttle *throttle.Throttle
	Rates    *endpointlimit.Rates

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
		Quota: q, Throttle: &throttle.Throttle{Leases: q}, Rates: r, Cooldown: defaultCooldown,
		metrics: m, log: log, unresponsive: map[string]time.Time{},
	}
}

// Name returns the service's name.
func (l *Service) Name() string { return Name }

// Start registers the handlers for calls from other boxes.
func (l *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, peer.Name, &l.node); err != nil {
		return err
	}
	peer.Handle(l.node.Server, methodAsk, func(_ context.Context, x quota.Question) (quota.Answer, error) {
		return l.Quota.Ask(x, boottime.Now()), nil
	})
	peer.Handle(l.node.Server, methodPermit, func(_ context.Context, x throttle.Question) (throttle.Answer, error) {
		return l.answerPermit(x), nil
	})
	return nil
}

// Stop does nothing. Calls end when the peer node stops.
func (l *Service) Stop(context.Context) error { return nil }

// Take asks the arbiters of an account whether a request may be admitted. It returns the answer
// and the arbiter that gave it, or the zero Arbiter if none answered.
func (l *Service) Take(c context.Context, x quota.Question) (quota.Answer, quota.Arbiter) {
	began := boottime.Now()
	v, by := l.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		if l.coolingDown(a.Box) {
			return quota.Answer{}, false
		}
		return l.ask(c, a, x, askTimeout)
	})
	if by.Box == "" {
		v, by = l.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
			return l.ask(c, a, x, finalAskTimeout)
		})
	}
	metrics.GetOrRegisterTimer("limit.asked", l.metrics).UpdateSince(began)
	return v, by
}

// ask asks one arbiter, which may be this box. It reports false if there is no answer.
func (l *Service) ask(c context.Context, a quota.Arbiter, x quota.Question, timeout time.Duration) (quota.Answer, bool) {
	if a.Box == l.Quota.Self.Box {
		return l.Quota.Ask(x, boottime.Now()), true
	}
	var v quota.Answer
	ok := l.call(c, a, methodAsk, x, &v, timeout)
	return v, ok
}

// call calls another box. If the box does not answer in time, call marks it unresponsive and
// reports false. A call cancelled by the caller says nothing about the box and is not counted.
func (l *Service) call(c context.Context, a quota.Arbiter, method string, in, out any, timeout time.Duration) bool {
	t, cancel := context.WithTimeout(c, timeout)
	defer cancel()
	err := l.node.Client.Call(t, a.Address, method, in, out)
	if err == nil {
		l.markResponsive(a.Box)
		return true
	}
	if c.Err() != nil {
		return false
	}
	metrics.GetOrRegisterCounter("limit.unanswered", l.metrics).Inc(1)
	l.log.Info().Str("event", "limit").Str("other", a.Box).Interface("question", in).Dur("limit", timeout).Err(err).
		Msg("did not answer; others are asked for a while")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive[a.Box] = boottime.Now()
	return false
}

// coolingDown reports whether a box is to be skipped because it did not answer recently. Once
// per cooldown it returns false, so that one request probes the box.
func (l *Service) coolingDown(box string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.unresponsive[box]
	if ok && boottime.Since(at) >= l.Cooldown {
		l.unresponsive[box] = boottime.Now()
		return false
	}
	return ok
}

func (l *Service) markResponsive(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unresponsive, box)
}
