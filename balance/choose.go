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
	// elsewhere is what an endpoint of another data centre must be better by: the
	// way there and back takes some milliseconds, and its bytes are paid for. Without it
	// 0.006 of a day's worth is lost, within what runs of the same code differ by.
	elsewhere = 10 * time.Millisecond

	// afterBreak is that for a request that has lost an endpoint: the way to other
	// data centres may be what broke, and it has few attempts.
	afterBreak = 300 * time.Millisecond

	// slow is how many times the expected time an endpoint takes, smoothed, from which
	// on its own pace is believed before its service's. On a day on which a quarter of
	// the endpoints are four times slower for 12 s that is 0.013 of its worth (mean of
	// three runs with and without).
	slow = 1.5

	// again is how many times the time to read shared parts counts that an endpoint does
	// not hold, beyond the once that it delays the answer: what is read again also keeps
	// other answers waiting, and has others read again what then gives way. With 0 the
	// mean worth of five days with trouble is 0.561, with this 0.580.
	again = 4

	// failurePenalty is the time that a certain failure is taken to cost. Where a fifth
	// to a third of the endpoints fail 45 in 100 of their calls for some seconds, 12 in
	// 1,000 of a day's requests fail without it and 7 with it (means of three runs).
	failurePenalty = 3 * time.Second

	// coldPart is the part of a cold endpoint's remaining warm-up that counts.
	coldPart = 0.2

	// homePart is the part of a prompt's shared pieces that the endpoint which all
	// boxes prefer for it is taken to hold already. Boxes thereby read a part at one
	// endpoint without a word; without homes 0.04 to 0.05 of a day's worth is lost.
	homePart = 0.7
)

// Up to lookAll boxes each choose among all endpoints; more look at a part that
// falls with their number, and at lookLeast endpoints or more. Of the endpoints of its
// data centre, whose long prompts a box hears of, it looks at lookNear or more.
const (
	lookAll   = 6
	lookLeast = 3
	lookNear  = 0.4
)

// Query is what a choice depends on. Parts are those that other requests share.
type Query struct {
	DataCentre string
	Parts      []call.Part
	Shared     int // how many of Parts, from the first, other requests may share
	Prompt     int // tokens, all parts together
	Engine     bool
	Broke      bool // an endpoint was lost with this request
	Objective  time.Duration
	Skip       map[string]bool // incarnations

	// Unlimited says that the request may go only to endpoints that take any rate.
	Unlimited bool

	// Takes, if set, reports whether the request may go to an endpoint.
	Takes func(*endpoint.Endpoint) bool

	// Home, if it has an ID, is the endpoint that all boxes prefer for the shared parts. It
	// is judged also if it is none of those to choose among. Else it is found among these.
	Home endpoint.Endpoint
}

// HomeKey names the shared parts, by which their home is found; empty for none.
func (q *Query) HomeKey() string {
	if q.Shared == 0 || q.Shared > len(q.Parts) {
		return ""
	}
	return q.Parts[q.Shared-1].ID
}

// Choice is the endpoint chosen, the time to its first event that was expected,
// and the tokens that it has to read. Running is how many requests it has, and
// Age how old the other boxes' word of that was.
type Choice struct {
	Endpoint  endpoint.Endpoint
	Expected  time.Duration
	Objective time.Duration
	Tokens    int
	Again     int // of Tokens, those of parts that other requests share
	Load      estimate.Load
	Parts     []call.Part
	Avoided   bool
	Running   int
	Age       time.Duration

	// Usual is the time to the first event that all endpoints of the service take on
	// average if nothing of the prompt is held, and Pause that between two events.
	Usual time.Duration
	Pause time.Duration
}

// Choose returns the endpoint with the least expected time to the first event,
// and false if there is none that takes calls. All are of one service. Of those that are
// equal any may be chosen: with the first by ID, boxes that know of no load would all choose the
// same few.
func (b *Book) Choose(es []endpoint.Endpoint, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(es) == 0 {
		return Choice{}, false
	}
	s := search{book: b, query: &q, now: now, out: b.out(&q, now), view: b.model(es[0].Service).Predict(now)}
	home := q.Home.ID
	if home == "" {
		home = homeOf(es, &q, s.out)
	} else {
		s.look(&q.Home, true)
	}
	part := b.looked(len(es))
	first := b.first(len(es))
	for i := range es {
		e := &es[(first+i)%len(es)]
		look := part
		if e.DataCentre == q.DataCentre && b.near > 0 {
			look = max(look, lookNear)
		}
		if s.found && look < 1 && e.ID != home && b.Chance() > look {
			continue
		}
		s.look(e, e.ID == home)
	}
	if !b.toldAt.IsZero() {
		s.best.Age = now.Sub(b.toldAt)
	}
	return s.best, s.found
}

// first is where a choice among n endpoints begins to look.
func (b *Book) first(n int) int {
	if b.Chance == nil {
		return 0
	}
	return min(int(b.Chance()*float64(n)), n-1)
}

// search is one choice under way: the best endpoint of those that it has looked at. The book's
// lock is held.
type search struct {
	book  *Book
	query *Query
	now   time.Time
	out   func(*endpoint.Endpoint) bool
	view  estimate.Prediction

	best  Choice
	cost  time.Duration
	found bool
}

// look judges an endpoint, and keeps it if it is better than the best so far.
func (s *search) look(e *endpoint.Endpoint, home bool) {
	if s.out(e) {
		return
	}
	c := s.book.judge(e, *s.query, home, &s.view, s.now)
	d := c.Expected + s.book.penalty(&c, *s.query, &s.view, s.now)
	switch {
	case !s.found, s.best.Avoided && !c.Avoided, s.best.Avoided == c.Avoided && d < s.cost:
		s.best, s.cost, s.found = c, d, true
	}
}

// looked is the part of the endpoints that one choice looks at. What the others
// have sent is known late; where many boxes send, all would choose the same
// endpoint until they know, so each looks at some, taken at random.
func (b *Book) looked(n int) float64 {
	if b.Chance == nil || b.boxes <= lookAll || n == 0 {
		return 1
	}
	return max(float64(lookAll)/float64(b.boxes), float64(lookLeast)/float64(n))
}

// judge estimates the time to the first event at one endpoint.
func (b *Book) judge(e *endpoint.Endpoint, q Query, home bool, v *estimate.Prediction, now time.Time) Choice {
	p := b.peek(e.ID)
	c := Choice{
		Endpoint: *e, Parts: q.Parts, Objective: q.Objective, Running: p.running + p.told.running,
		Avoided: now.Before(p.until) || now.Before(b.site(e.DataCentre).until) || !p.proves.IsZero() && p.trying > 0,
	}
	c.Load.Running = c.Running
	if q.Engine {
		held := p.parts.held(q.Parts, now)
		if home {
			held = max(held, int(homePart*float64(shared(q))))
		}
		c.Tokens = max(q.Prompt-held, 0)
		c.Again = max(shared(q)-held, 0)
		told := p.heard.left(v.PrefillRate(), now) + b.blind()*float64(p.told.tokens)
		c.Load.Prefill, c.Load.LocalQueued, c.Load.RemoteQueued = c.Tokens, p.tokens, int(told)
	}
	c.Expected = v.FirstEvent(c.Load)
	whole := c.Load
	whole.Prefill = q.Prompt
	c.Usual, c.Pause = v.FirstEvent(whole), v.Pause(c.Running)
	if over := c.Running + 1 - e.Slots; over > 0 {
		// A slot comes free for each part of the time that an answer holds one.
		c.Expected += v.SlotTime * time.Duration(over) / time.Duration(max(e.Slots, 1))
	}
	if p.slowness > slow {
		c.Expected = time.Duration(p.slowness * float64(c.Expected))
	}
	return c
}

// penalty is what counts against a choice besides its expected time.
func (b *Book) penalty(c *Choice, q Query, v *estimate.Prediction, now time.Time) time.Duration {
	e := &c.Endpoint
	p := b.peek(e.ID)
	f := p.failing(now)
	d := time.Duration(f*f*float64(failurePenalty)) + time.Duration(coldPart*float64(e.Cold))
	if c.Again > 0 {
		d += again * v.PrefillTime(c.Again)
	}
	switch {
	case e.DataCentre == q.DataCentre:
	case q.Broke:
		d += afterBreak
	default:
		d += elsewhere
	}
	return d
}

func shared(q Query) int {
	n := 0
	for _, p := range q.Parts[:min(q.Shared, len(q.Parts))] {
		n += p.Tokens
	}
	return n
}

// homeOf returns the endpoint that every box prefers for prompts that begin
// alike: the highest rendezvous hash.
func homeOf(es []endpoint.Endpoint, q *Query, out func(*endpoint.Endpoint) bool) string {
	if q.HomeKey() == "" {
		return ""
	}
	key := rendezvous.Key(q.HomeKey())
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
