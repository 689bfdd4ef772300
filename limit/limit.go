// Package limit asks the arbiters of accounts whether requests may be let in, and
// answers for those of which this box is one.
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
)

// Name is the name of the service.
const Name = "limit"

// method is the call by which boxes ask each other.
const method = "limit.ask"

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

	// Doubt is for how long a box that did not answer is not asked.
	Doubt time.Duration

	node    *peer.Node
	metrics metrics.Registry
	log     zerolog.Logger

	mu     sync.Mutex
	doubts map[string]time.Time // by box, since when it has not answered
}

// New returns the service of a box.
func New(q *quota.Quota, m metrics.Registry, log zerolog.Logger) *Limit {
	return &Limit{Quota: q, Doubt: doubtFor, metrics: m, log: log, doubts: map[string]time.Time{}}
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
	t, cancel := context.WithTimeout(c, limit)
	defer cancel()
	var v quota.Answer
	err := l.node.Client.Call(t, a.Address, method, x, &v)
	if err == nil {
		l.trust(a.Box)
		return v, true
	}
	if c.Err() != nil {
		return v, false
	}
	metrics.GetOrRegisterCounter("limit.unanswered", l.metrics).Inc(1)
	l.log.Info().Str("event", "limit").Str("other", a.Box).Str("account", x.Account).Dur("limit", limit).Err(err).Msg("did not answer; others are asked for a while")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubts[a.Box] = boottime.Now()
	return v, false
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
