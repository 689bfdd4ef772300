// Package limit asks the arbiters of accounts whether requests may be let in, and those of
// endpoints' rates whether requests may be sent there. It answers for those of which this box
// is one.
package limit

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/stated"
	"birchlink.dev/birchlink/throttle"
)

// Name is the name of the service.
const Name = "limit"

// The calls by which boxes ask each other: of an account, and of an endpoint's rate.
const (
	method       = "limit.ask"
	methodPermit = "limit.permit"
)

// A question takes some milliseconds; the shortest objectives are of 100 ms and more.
// One that takes longer than askLimit is given up, and that box is not asked for
// doubtFor, and then by one request. Where nobody has answered, all are asked once more
// for up to lastLimit.
const (
	askLimit  = 25 * time.Millisecond
	lastLimit = 100 * time.Millisecond
	doubtFor  = time.Second
)

// Limit is the service of one box.
type Limit struct {
	Quota *quota.Quota

	// Throttle answers for the endpoints' rates, and Rates are those that this box knows.
	Throttle *throttle.Throttle
	Rates    *stated.Rates

	// Doubt is for how long a box that did not answer is not asked.
	Doubt time.Duration

	node    *peer.Node
	metrics metrics.Registry
	log     zerolog.Logger

	mu     sync.Mutex
	doubts map[string]time.Time // by box, since when it has not answered
}

// New returns the service of a box.
func New(q *quota.Quota, r *stated.Rates, m metrics.Registry, log zerolog.Logger) *Limit {
	return &Limit{
		Quota: q, Throttle: &throttle.Throttle{Leases: q}, Rates: r, Doubt: doubtFor,
		metrics: m, log: log, doubts: map[string]time.Time{},
	}
}

// Name returns the service's name.
func (l *Limit) Name() string { return Name }

// Start answers the other boxes' questions.
func (l *Limit) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, peer.Name, &l.node); err != nil {
		return err
	}
	peer.Handle(l.node.Server, method, func(_ context.Context, x quota.Question) (quota.Answer, error) {
		return l.Quota.Ask(x, boottime.Now()), nil
	})
	peer.Handle(l.node.Server, methodPermit, func(_ context.Context, x throttle.Question) (throttle.Answer, error) {
		return l.answer(x), nil
	})
	return nil
}

// Stop does nothing: the node's end ends the questions.
func (l *Limit) Stop(context.Context) error { return nil }

// Take asks whether a request may be let in. It returns the answer and the box that
// gave it, which is of no name if none did.
func (l *Limit) Take(c context.Context, x quota.Question) (quota.Answer, quota.Arbiter) {
	began := boottime.Now()
	v, by := l.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		if l.doubted(a.Box) {
			return quota.Answer{}, false
		}
		return l.ask(c, a, x, askLimit)
	})
	if by.Box == "" {
		v, by = l.Quota.Take(x, began, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
			return l.ask(c, a, x, lastLimit)
		})
	}
	metrics.GetOrRegisterTimer("limit.asked", l.metrics).UpdateSince(began)
	return v, by
}

// ask asks one box. It reports false if that does not answer.
func (l *Limit) ask(c context.Context, a quota.Arbiter, x quota.Question, limit time.Duration) (quota.Answer, bool) {
	if a.Box == l.Quota.Self.Box {
		return l.Quota.Ask(x, boottime.Now()), true
	}
	var v quota.Answer
	ok := l.call(c, a, method, x, &v, limit)
	return v, ok
}

// call asks another box. It reports false if that does not answer, and notes that.
func (l *Limit) call(c context.Context, a quota.Arbiter, method string, in, out any, limit time.Duration) bool {
	t, cancel := context.WithTimeout(c, limit)
	defer cancel()
	err := l.node.Client.Call(t, a.Address, method, in, out)
	if err == nil {
		l.trust(a.Box)
		return true
	}
	if c.Err() != nil {
		return false
	}
	metrics.GetOrRegisterCounter("limit.unanswered", l.metrics).Inc(1)
	l.log.Info().Str("event", "limit").Str("other", a.Box).Interface("question", in).Dur("limit", limit).Err(err).Msg("did not answer; others are asked for a while")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubts[a.Box] = boottime.Now()
	return false
}

// doubted reports whether a box has not answered a moment ago. After doubtFor one
// request asks it again.
func (l *Limit) doubted(box string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.doubts[box]
	if ok && boottime.Since(at) >= l.Doubt {
		l.doubts[box] = boottime.Now()
		return false
	}
	return ok
}

func (l *Limit) trust(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.doubts, box)
}
