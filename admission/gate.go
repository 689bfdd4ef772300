package admission

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"birchlink.dev/birchlink/errkind"
)

// queueFactor is the number of requests admitted per slot, so that some can wait while others run.
const queueFactor = 1.5

// The bounds of the retry time of a refusal, before jitter.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Gate admits or refuses requests by the limits passed to Enter; it uses no other services. It is
// not safe for concurrent use.
type Gate struct {
	Reserve float64 // fraction of the limits that only urgent kinds may use

	root          node
	plainInFlight int                      // calls of plain services in flight
	limiters      map[string]*rate.Limiter // by account
}

// Limits holds the limits of this box: its shares of the capacity of the data centre and of the
// rate of an account.
type Limits struct {
	Slots      float64 // slots of engines
	RateShare  float64 // share of the account's rate, from 0 to 1
	PlainSlots float64 // slots of plain services
}

// Enter admits a request and returns the function to call when the request has ended, or refuses it
// with an error of kind LimitReached or Overloaded that contains the time after which to retry.
func (g *Gate) Enter(r Request, m Limits, now time.Time) (func(), error) {
	if err := g.checkRate(r, m.RateShare, now); err != nil {
		return nil, err
	}
	if r.Plain {
		return g.enterPlain(r, m)
	}
	a := g.root.child(r.Account, r.Weight, now)
	b := a.child(r.Member, 1, now)
	c := b.child(r.Match, 1, now)
	path := []*node{&g.root, a, b, c}
	limit := m.Slots * queueFactor
	if !r.Kind.Urgent() {
		limit *= 1 - g.Reserve
	}
	if float64(g.root.inFlight) >= max(limit, 1) {
		return nil, refusal(errkind.Overloaded, r, "the room for kind %s is full (%d of %.0f)", r.Kind, g.root.inFlight, limit)
	}
	if err := checkShares(path, r, limit, now); err != nil {
		return nil, err
	}
	addInFlight(path, 1)
	return func() { addInFlight(path, -1) }, nil
}

// checkShares refuses a request whose account, member or match has used up its share while the
// limit is contended. Urgent kinds are exempt.
func checkShares(path []*node, r Request, limit float64, now time.Time) error {
	if r.Kind.Urgent() || float64(path[0].inFlight) < limit*contentionThreshold {
		return nil
	}
	for i := 1; i < len(path); i++ {
		limit = path[i-1].share(path[i], limit, now)
		if float64(path[i].inFlight) >= limit {
			return refusal(errkind.Overloaded, r, "over the share of %.1f at level %d", limit, i)
		}
	}
	return nil
}

func (g *Gate) enterPlain(r Request, m Limits) (func(), error) {
	limit := max(m.PlainSlots*queueFactor, 1)
	if !r.Kind.Urgent() {
		limit *= 1 - g.Reserve
	}
	if float64(g.plainInFlight) >= limit {
		return nil, refusal(errkind.Overloaded, r, "the room for plain services is full (%d)", g.plainInFlight)
	}
	g.plainInFlight++
	return func() { g.plainInFlight-- }, nil
}

// checkRate applies this box's share of the account's rate.
func (g *Gate) checkRate(r Request, share float64, now time.Time) error {
	if g.limiters == nil {
		g.limiters = make(map[string]*rate.Limiter)
	}
	v := rate.Limit(max(r.Rate*share, 0.1))
	l, ok := g.limiters[r.Account]
	if !ok {
		l = rate.NewLimiter(v, burstSize(v))
		g.limiters[r.Account] = l
	}
	l.SetLimitAt(now, v)
	l.SetBurstAt(now, burstSize(v))
	if l.AllowN(now, 1) {
		return nil
	}
	e := errkind.New(errkind.LimitReached, "account %s is over its rate", r.Account)
	return e.WithRetryAfter(jitter(time.Duration(float64(time.Second) / float64(v))))
}

// burstSize allows two seconds' worth of the rate at once.
func burstSize(v rate.Limit) int { return max(int(2*v), 1) }

// refusal returns an error with a retry time of one second for urgent kinds, and of one second
// times the priority value for others, before jitter.
func refusal(k errkind.Kind, r Request, format string, args ...any) error {
	wait := time.Second
	if p, _ := r.Kind.Priority(); p > urgentPriority {
		wait *= time.Duration(p)
	}
	return errkind.New(k, format, args...).WithRetryAfter(jitter(wait))
}

// jitter returns a random time between d and twice d, so that callers that were refused together do
// not retry together.
func jitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + rand.N(d)
}
