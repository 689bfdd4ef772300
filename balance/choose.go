package balance

import (
	"time"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/rendezvous"
)

// The figures that count against an endpoint besides its expected time.
const (
	// remotePenalty is what an endpoint of another data centre must be better by: the
	// way there and back takes some milliseconds, and its bytes are paid for. Without it
	// 0.006 of a day's worth is lost, within what runs of the same code differ by.
	remotePenalty = 10 * time.Millisecond

	// remoteRetryPenalty is that for a request that has lost an endpoint: the way to other
	// data centres may be what broke, and it has few attempts.
	remoteRetryPenalty = 300 * time.Millisecond

	// slownessThreshold is how many times the expected time an endpoint takes, smoothed, from which
	// on its own pace is believed before its service's. On a day on which a quarter of
	// the endpoints are four times slower for 12 s that is 0.013 of its worth (mean of
	// three runs with and without).
	slownessThreshold = 1.5

	// rereadWeight is how many times the time to read shared parts counts that an endpoint does
	// not hold, beyond the once that it delays the answer: what is read again also keeps
	// other answers waiting, and has others read again what then gives way. With 0 the
	// mean worth of five days with trouble is 0.561, with this 0.580.
	rereadWeight = 4

	// failurePenalty is the time that a certain failure is taken to cost. Where a fifth
	// to a third of the endpoints fail 45 in 100 of their calls for some seconds, 12 in
	// 1,000 of a day's requests fail without it and 7 with it (means of three runs).
	failurePenalty = 3 * time.Second

	// coldFraction is the part of a cold endpoint's remaining warm-up that counts.
	coldFraction = 0.2

	// preferredCachedFraction is the part of a prompt's shared pieces that the endpoint which all
	// boxes prefer for it is taken to hold already. Boxes thereby read a part at one
	// endpoint without a word; without homes 0.04 to 0.05 of a day's worth is lost.
	preferredCachedFraction = 0.7
)

// Up to lookAll boxes each choose among all endpoints; more look at a part that
// falls with their number, and at lookLeast endpoints or more. Of the endpoints of its
// data centre, whose long prompts a box hears of, it looks at lookNear or more.
const (
	fullScanBoxes        = 6
	minScanned           = 3
	minLocalScanFraction = 0.4
)

// Query is what a choice depends on. Parts are those that other requests share.
type Query struct {
	DataCentre   string
	Parts        []call.Part
	SharedParts  int // how many of Parts, from the first, other requests may share
	Prompt       int // tokens, all parts together
	Engine       bool
	EndpointLost bool // an endpoint was lost with this request
	Objective    time.Duration
	Skip         map[string]bool // incarnations

	// UnlimitedOnly says that the request may go only to endpoints that take any rate.
	UnlimitedOnly bool

	// Takes, if set, reports whether the request may go to an endpoint.
	Eligible func(*endpoint.Endpoint) bool

	// Home, if it has an ID, is the endpoint that all boxes prefer for the shared parts. It
	// is judged also if it is none of those to choose among. Else it is found among these.
	Preferred endpoint.Endpoint
}

// PreferredKey names the shared parts, by which their home is found; empty for none.
func (q *Query) PreferredKey() string {
	if q.SharedParts == 0 || q.SharedParts > len(q.Parts) {
		return ""
	}
	return q.Parts[q.SharedParts-1].ID
}

// Choice is the endpoint chosen, the time to its first event that was expected,
// and the tokens that it has to read. Running is how many requests it has, and
// Age how old the other boxes' word of that was.
type Choice struct {
	Endpoint     endpoint.Endpoint
	Expected     time.Duration
	Objective    time.Duration
	Tokens       int
	RereadTokens int // of Tokens, those of parts that other requests share
	Load         estimate.Load
	Parts        []call.Part
	Avoided      bool
	Running      int
	LoadAge      time.Duration

	// TypicalFirstEvent is the time to the first event that all endpoints of the service take on
	// average if nothing of the prompt is held, and Pause that between two events.
	TypicalFirstEvent time.Duration
	Pause             time.Duration
}

// Choose returns the endpoint with the least expected time to the first event,
// and false if there is none that takes calls. All are of one service. Of those that are
// equal any may be chosen: with the first by ID, boxes that know of no load would all choose the
// same few.
func (b *Balancer) Choose(es []endpoint.Endpoint, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(es) == 0 {
		return Choice{}, false
	}
	s := search{balancer: b, query: &q, now: now, isExcluded: b.exclusion(&q, now), view: b.model(es[0].Service).View(now)}
	home := q.Preferred.ID
	if home == "" {
		home = preferredEndpoint(es, &q, s.isExcluded)
	} else {
		s.consider(&q.Preferred, true)
	}
	part := b.scanFraction(len(es))
	first := b.scanStart(len(es))
	for i := range es {
		e := &es[(first+i)%len(es)]
		look := part
		if e.DataCentre == q.DataCentre && b.nearPeers > 0 {
			look = max(look, minLocalScanFraction)
		}
		if s.found && look < 1 && e.ID != home && b.Rand() > look {
			continue
		}
		s.consider(e, e.ID == home)
	}
	if !b.remoteAt.IsZero() {
		s.best.LoadAge = now.Sub(b.remoteAt)
	}
	return s.best, s.found
}

// scanStart is where a choice among n endpoints begins to look.
func (b *Balancer) scanStart(n int) int {
	if b.Rand == nil {
		return 0
	}
	return min(int(b.Rand()*float64(n)), n-1)
}

// search is one choice under way: the best endpoint of those that it has looked at. The book's
// lock is held.
type search struct {
	balancer   *Balancer
	query      *Query
	now        time.Time
	isExcluded func(*endpoint.Endpoint) bool
	view       estimate.View

	best  Choice
	cost  time.Duration
	found bool
}

// consider judges an endpoint, and keeps it if it is better than the best so far.
func (s *search) consider(e *endpoint.Endpoint, home bool) {
	if s.isExcluded(e) {
		return
	}
	c := s.balancer.evaluate(e, *s.query, home, &s.view, s.now)
	d := c.Expected + s.balancer.penalty(&c, *s.query, &s.view, s.now)
	switch {
	case !s.found, s.best.Avoided && !c.Avoided, s.best.Avoided == c.Avoided && d < s.cost:
		s.best, s.cost, s.found = c, d, true
	}
}

// scanFraction is the part of the endpoints that one choice looks at. What the others
// have sent is known late; where many boxes send, all would choose the same
// endpoint until they know, so each looks at some, taken at random.
func (b *Balancer) scanFraction(n int) float64 {
	if b.Rand == nil || b.boxes <= fullScanBoxes || n == 0 {
		return 1
	}
	return max(float64(fullScanBoxes)/float64(b.boxes), float64(minScanned)/float64(n))
}

// evaluate estimates the time to the first event at one endpoint.
func (b *Balancer) evaluate(e *endpoint.Endpoint, q Query, home bool, v *estimate.View, now time.Time) Choice {
	p := b.lookup(e.ID)
	c := Choice{
		Endpoint: *e, Parts: q.Parts, Objective: q.Objective, Running: p.running + p.remote.running,
		Avoided: now.Before(p.avoidedUntil) || now.Before(b.dataCentre(e.DataCentre).avoidedUntil) || !p.probationFrom.IsZero() && p.trials > 0,
	}
	c.Load.Running = c.Running
	if q.Engine {
		held := p.cached.cachedTokens(q.Parts, now)
		if home {
			held = max(held, int(preferredCachedFraction*float64(sharedTokens(q))))
		}
		c.Tokens = max(q.Prompt-held, 0)
		c.RereadTokens = max(sharedTokens(q)-held, 0)
		told := p.hinted.remaining(v.Pace(), now) + b.unobservedFraction()*float64(p.remote.tokens)
		c.Load.Read, c.Load.Ahead, c.Load.Told = c.Tokens, p.tokens, int(told)
	}
	c.Expected = v.Expect(c.Load)
	whole := c.Load
	whole.Read = q.Prompt
	c.TypicalFirstEvent, c.Pause = v.Expect(whole), v.Pause(c.Running)
	if over := c.Running + 1 - e.Slots; over > 0 {
		// A slot comes free for each part of the time that an answer holds one.
		c.Expected += v.Held * time.Duration(over) / time.Duration(max(e.Slots, 1))
	}
	if p.slowness > slownessThreshold {
		c.Expected = time.Duration(p.slowness * float64(c.Expected))
	}
	return c
}

// penalty is what counts against a choice besides its expected time.
func (b *Balancer) penalty(c *Choice, q Query, v *estimate.View, now time.Time) time.Duration {
	e := &c.Endpoint
	p := b.lookup(e.ID)
	f := p.failureProbability(now)
	d := time.Duration(f*f*float64(failurePenalty)) + time.Duration(coldFraction*float64(e.Cold))
	if c.RereadTokens > 0 {
		d += rereadWeight * v.Reading(c.RereadTokens)
	}
	switch {
	case e.DataCentre == q.DataCentre:
	case q.EndpointLost:
		d += remoteRetryPenalty
	default:
		d += remotePenalty
	}
	return d
}

func sharedTokens(q Query) int {
	n := 0
	for _, p := range q.Parts[:min(q.SharedParts, len(q.Parts))] {
		n += p.Tokens
	}
	return n
}

// preferredEndpoint returns the endpoint that every box prefers for prompts that begin
// alike: the highest rendezvous hash.
func preferredEndpoint(es []endpoint.Endpoint, q *Query, out func(*endpoint.Endpoint) bool) string {
	if q.PreferredKey() == "" {
		return ""
	}
	key := rendezvous.Hash(q.PreferredKey())
	home, top := "", uint64(0)
	for i := range es {
		if out(&es[i]) {
			continue
		}
		if w := rendezvous.Weight(key, es[i].ID); home == "" || w > top {
			home, top = es[i].ID, w
		}
	}
	return home
}
