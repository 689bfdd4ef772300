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
	minRetry = 500 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Gate admits or refuses requests by the limits passed to Enter; it uses no other services. It is
// not safe for concurrent use.
type Gate struct {
	Reserve float64 // fraction of the limits that only urgent kinds may use

	root    tree
	plain   int                      // calls of plain services in flight
	buckets map[string]*rate.Limiter // by account
}

// Room holds the limits of this box: its shares of the capacity of the data centre and of the rate
// of an account.
type Room struct {
	Slots float64 // slots of engines
	Share float64 // share of the account's rate, from 0 to 1
	Plain float64 // slots of plain services
}

// Enter admits a request and returns the function to call when the request has ended, or refuses it
// with an error of kind LimitReached or Overloaded that contains the time after which to retry.
func (g *Gate) Enter(r Request, m Room, now time.Time) (func(), error) {
	if err := g.limit(r, m.Share, now); err != nil {
		return nil, err
	}
	if r.Plain {
		return g.enterPlain(r, m)
	}
	a := g.root.child(r.Account, r.Weight, now)
	b := a.child(r.Member, 1, now)
	c := b.child(r.Match, 1, now)
	path := []*tree{&g.root, a, b, c}
	room := m.Slots * queueFactor
	if !r.Kind.Urgent() {
		room *= 1 - g.Reserve
	}
	if float64(g.root.inFlight) >= max(room, 1) {
		return nil, refuse(errkind.Overloaded, r, "the room for kind %s is full (%d of %.0f)", r.Kind, g.root.inFlight, room)
	}
	if err := fair(path, r, room, now); err != nil {
		return nil, err
	}
	add(path, 1)
	return func() { add(path, -1) }, nil
}

// fair refuses a request whose account, member or match has used up its share while the limit is
// contended. Urgent kinds are exempt.
func fair(path []*tree, r Request, room float64, now time.Time) error {
	if r.Kind.Urgent() || float64(path[0].inFlight) < room*contended {
		return nil
	}
	for i := 1; i < len(path); i++ {
		room = path[i-1].share(path[i], room, now)
		if float64(path[i].inFlight) >= room {
			return refuse(errkind.Overloaded, r, "over the share of %.1f at level %d", room, i)
		}
	}
	return nil
}

func (g *Gate) enterPlain(r Request, m Room) (func(), error) {
	room := max(m.Plain*queueFactor, 1)
	if !r.Kind.Urgent() {
		room *= 1 - g.Reserve
	}
	if float64(g.plain) >= room {
		return nil, refuse(errkind.Overloaded, r, "the room for plain services is full (%d)", g.plain)
	}
	g.plain++
	return func() { g.plain-- }, nil
}

// limit applies this box's share of the account's rate.
func (g *Gate) limit(r Request, share float64, now time.Time) error {
	if g.buckets == nil {
		g.buckets = make(map[string]*rate.Limiter)
	}
	v := rate.Limit(max(r.Rate*share, 0.1))
	l, ok := g.buckets[r.Account]
	if !ok {
		l = rate.NewLimiter(v, burst(v))
		g.buckets[r.Account] = l
	}
	l.SetLimitAt(now, v)
	l.SetBurstAt(now, burst(v))
	if l.AllowN(now, 1) {
		return nil
	}
	e := errkind.New(errkind.LimitReached, "account %s is over its rate", r.Account)
	return e.After(spread(time.Duration(float64(time.Second) / float64(v))))
}

// burst allows two seconds' worth of the rate at once.
func burst(v rate.Limit) int { return max(int(2*v), 1) }

// refuse returns an error with a retry time of one second for urgent kinds, and of one second times
// the priority value for others, before jitter.
func refuse(k errkind.Kind, r Request, format string, args ...any) error {
	wait := time.Second
	if p, _ := r.Kind.Priority(); p > urgentPriority {
		wait *= time.Duration(p)
	}
	return errkind.New(k, format, args...).After(spread(wait))
}

// spread returns a random time between d and twice d, so that callers that were refused together do
// not retry together.
func spread(d time.Duration) time.Duration {
	d = min(max(d, minRetry), maxRetry)
	return d + rand.N(d)
}
