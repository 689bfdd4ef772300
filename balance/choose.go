package balance

import (
	"time"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/rendezvous"
)

// Costs of an endpoint besides its expected time to the first event.
const (
	// remotePenalty is the cost of an endpoint in another data centre: the round trip takes some
	// milliseconds, and its traffic is billed. Without it the score of a simulated day falls by 0.006,
	// which is within the variation between runs.
	remotePenalty = 10 * time.Millisecond

	// remoteRetryPenalty replaces remotePenalty for a request that has lost an endpoint: the link
	// to other data centres may have failed, and the request has few attempts left.
	remoteRetryPenalty = 300 * time.Millisecond

	// slownessThreshold is the ratio of observed to expected time above which the estimate of an
	// endpoint is scaled by its own ratio. Where a quarter of the endpoints are four times slower
	// for 12 s, it adds 0.013 to the score of a simulated day. With Balancer.Speeds, the ratio is to
	// the time that the endpoint's speed factor lets expect, and shows queues that this box doesn't
	// know of.
	slownessThreshold = 1.5

	// recomputeWeight is the weight of the time to prefill shared parts that the endpoint has not
	// cached, in addition to the delay of the answer itself. Prefilling them also delays other
	// answers and evicts parts that must then be recomputed. With 0 the mean score of five simulated
	// days with faults is 0.561 instead of 0.580.
	recomputeWeight = 4

	// failurePenalty is the cost of an endpoint that fails every call; it scales with the square of
	// the failure probability. Where a fifth to a third of the endpoints fail 45% of their calls
	// for some seconds, it reduces the failed requests of a simulated day from 12 to 7 in 1,000.
	failurePenalty = 3 * time.Second

	// coldFraction is the fraction of a cold endpoint's remaining warm-up time that counts.
	coldFraction = 0.2

	// preferredCachedFraction is the fraction of a prompt's shared tokens that the preferred
	// endpoint is assumed to have cached. Boxes thereby send prompts with the same start to one
	// endpoint without communicating. Without preferred endpoints the score of a simulated
	// day falls by 0.04 to 0.05.
	preferredCachedFraction = 0.7
)

// With up to fullScanBoxes boxes, each choice considers all endpoints. With more boxes it considers
// a random fraction of them in inverse proportion to the number of boxes, but minScanned endpoints
// or more on average, and at least minLocalScanFraction of those of its own data centre, for which
// the box gets hints of long prompts.
const (
	fullScanBoxes        = 6
	minScanned           = 3
	minLocalScanFraction = 0.4
)

// Query holds the inputs of a choice.
type Query struct {
	DataCentre   string
	Parts        []call.Part
	SharedParts  int             // length of the prefix of Parts that other requests may share
	Prompt       int             // tokens, all parts together
	Engine       bool            // the endpoints prefill prompts and cache them
	EndpointLost bool            // an earlier attempt of this request lost its endpoint
	Objective    time.Duration   // for the time to the first event
	GapTarget    time.Duration   // for the longest pause between events; zero if there is none
	Events       float64         // that the answer is expected to have
	Skip         map[string]bool // incarnations that the request was already sent to

	// UnlimitedOnly restricts the choice to endpoints without a rate limit.
	UnlimitedOnly bool

	// MaxSilence, if positive, excludes endpoints that have sent something for their calls under way, and nothing for
	// longer since. Endpoints that have sent nothing for them yet are chosen last: calls that leave a silent endpoint at the same time
	// might all go to another.
	MaxSilence time.Duration

	// Fastest makes the choice consider all endpoints and rank them by their expected time alone.
	Fastest bool

	// Eligible, if not nil, reports whether the request may go to an endpoint.
	Eligible func(*endpoint.Endpoint) bool

	// Preferred, if it has an ID, is the endpoint that all boxes prefer for the shared parts. It is
	// considered even if it is not among the candidates. If it has no ID, the preferred endpoint is
	// determined among the candidates.
	Preferred endpoint.Endpoint
}

// PreferredKey returns the ID of the shared prefix, which determines the preferred endpoint. It
// returns "" if nothing is shared.
func (q *Query) PreferredKey() string {
	if q.SharedParts == 0 || q.SharedParts > len(q.Parts) {
		return ""
	}
	return q.Parts[q.SharedParts-1].ID
}

// Choice is the chosen endpoint with the estimate behind it. Expected is the time to the first
// event, Tokens the prompt tokens that the endpoint has to prefill, Running the calls under way
// there, and LoadAge the age of the other boxes' load reports.
type Choice struct {
	Endpoint        endpoint.Endpoint
	Expected        time.Duration
	Objective       time.Duration
	Tokens          int
	RecomputeTokens int // of Tokens, those of parts that other requests share
	Load            estimate.Load
	Parts           []call.Part
	Avoided         bool
	Running         int
	LoadAge         time.Duration

	// GapTarget is that of the query, and speedClass the class of the endpoint's speed.
	GapTarget  time.Duration
	speedClass int8

	// SpeedFactor is the ratio of the endpoint's times to the service's mean. Expected includes it.
	SpeedFactor float64

	// meanExpected is what Expected would be at an endpoint of mean speed.
	meanExpected time.Duration

	prediction estimate.Prediction

	// TypicalFirstEvent is the time to the first event that the service's endpoints take on average
	// under this load with nothing of the prompt cached, and Pause the average time between two
	// events. Neither includes SpeedFactor: roll-outs judge versions by them, and a version whose
	// endpoints are all slow would otherwise be compared with itself.
	TypicalFirstEvent time.Duration
	Pause             time.Duration
}

// Choose returns the endpoint with the least expected time to the first event plus penalties, and
// false if none accepts the call. All endpoints must be of one service. Equal endpoints are equally
// likely if Rand is set; if the first by ID were chosen, boxes that know of no load would all
// choose the same few.
func (b *Balancer) Choose(es []endpoint.Endpoint, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(es) == 0 {
		return Choice{}, false
	}
	s := search{balancer: b, query: &q, now: now, isExcluded: b.exclusion(&q, now), prediction: b.model(es[0].Service).Predict(now)}
	preferredID := q.Preferred.ID
	if preferredID == "" {
		preferredID = b.preferredEndpoint(es, &q, s.isExcluded)
	} else {
		s.consider(&q.Preferred, true)
	}
	fraction := b.scanFraction(len(es))
	if q.Fastest {
		fraction = 1
	}
	first := b.scanStart(len(es))
	for i := range es {
		e := &es[(first+i)%len(es)]
		limit := fraction
		if e.DataCentre == q.DataCentre && b.nearPeers > 0 {
			limit = max(limit, minLocalScanFraction)
		}
		if s.found && limit < 1 && e.ID != preferredID && b.Rand() > limit {
			continue
		}
		s.consider(e, e.ID == preferredID)
	}
	if !b.remoteAt.IsZero() {
		s.best.LoadAge = now.Sub(b.remoteAt)
	}
	s.best.prediction = s.prediction
	return s.best, s.found
}

// scanStart returns the index of the first of n endpoints to consider.
func (b *Balancer) scanStart(n int) int {
	if b.Rand == nil {
		return 0
	}
	return min(int(b.Rand()*float64(n)), n-1)
}

// search is the state of one choice: the best endpoint so far. The balancer's lock is held.
type search struct {
	balancer   *Balancer
	query      *Query
	now        time.Time
	isExcluded func(*endpoint.Endpoint) bool
	prediction estimate.Prediction

	best  Choice
	cost  time.Duration
	found bool

	// stallCosts are the costs of long pauses by speed class, computed once for each class.
	stallCosts [2*rendezvous.MaxClass + 1]stallCost
}

// stallCost is a cost, and whether it has been computed.
type stallCost struct {
	known bool
	cost  time.Duration
}

// stallCost returns the cost of long pauses at endpoints of a speed class. A stream that is late by a
// long pause is as late as one whose first event takes the whole objective longer, so the probability
// of such a pause counts for that part of the objective.
func (s *search) stallCost(service string, class int8) time.Duration {
	if s.balancer.Speeds == nil || s.query.GapTarget <= 0 {
		return 0
	}
	c := &s.stallCosts[int(class)+rendezvous.MaxClass]
	if !c.known {
		risk := s.balancer.stalls.Risk(service, class, s.query.Events, s.now)
		c.known, c.cost = true, time.Duration(risk*float64(s.query.Objective))
	}
	return c.cost
}

// consider evaluates an endpoint and keeps it if it is better than the best so far.
func (s *search) consider(e *endpoint.Endpoint, preferred bool) {
	if s.isExcluded(e) {
		return
	}
	c := s.balancer.evaluate(e, *s.query, preferred, &s.prediction, s.now)
	d := c.Expected
	if !s.query.Fastest {
		d += s.balancer.penalty(&c, *s.query, &s.prediction, s.now) + s.stallCost(e.Service, c.speedClass)
	}
	switch {
	case !s.found, s.best.Avoided && !c.Avoided, s.best.Avoided == c.Avoided && d < s.cost:
		s.best, s.cost, s.found = c, d, true
	}
}

// scanFraction returns the fraction of n endpoints that one choice considers. Load reports of other
// boxes arrive late; if many boxes considered all endpoints, they would all choose the same one
// until the next report. So each considers a random subset.
func (b *Balancer) scanFraction(n int) float64 {
	if b.Rand == nil || b.boxes <= fullScanBoxes || n == 0 {
		return 1
	}
	return max(float64(fullScanBoxes)/float64(b.boxes), float64(minScanned)/float64(n))
}

// evaluate estimates the time to the first event at one endpoint.
func (b *Balancer) evaluate(e *endpoint.Endpoint, q Query, preferred bool, v *estimate.Prediction, now time.Time) Choice {
	st := b.lookup(e.ID)
	c := Choice{
		Endpoint: *e, Parts: q.Parts, Objective: q.Objective, Running: st.running + st.remote.running,
		Avoided: now.Before(st.avoidedUntil) || st.unproven && st.running > 0 || now.Before(b.dataCentre(e.DataCentre).avoidedUntil) ||
			!st.probationFrom.IsZero() && st.trials > 0 || q.MaxSilence > 0 && st.isUnheard(),
	}
	c.Load.Running = c.Running
	c.SpeedFactor, c.speedClass, c.GapTarget = b.speedFactor(e), b.speedClass(e), q.GapTarget
	if q.Engine {
		cached := st.cached.cachedTokens(q.Parts, now)
		if preferred {
			cached = max(cached, int(preferredCachedFraction*float64(sharedTokens(q))))
		}
		c.Tokens = max(q.Prompt-cached, 0)
		c.RecomputeTokens = max(sharedTokens(q)-cached, 0)
		remote := st.hinted.remaining(v.PrefillRate()/c.SpeedFactor, now) + b.unobservedFraction()*float64(st.remote.tokens)
		c.Load.Prefill, c.Load.LocalQueued, c.Load.RemoteQueued = c.Tokens, st.tokens, int(remote)
	}
	c.Expected = v.FirstEvent(c.Load)
	uncached := c.Load
	uncached.Prefill = q.Prompt
	c.TypicalFirstEvent, c.Pause = v.FirstEvent(uncached), v.Pause(c.Running)
	if excess := c.Running + 1 - e.Slots; excess > 0 {
		// One of all slots becomes free every SlotTime / Slots on average.
		c.Expected += v.SlotTime * time.Duration(excess) / time.Duration(max(e.Slots, 1))
	}
	c.meanExpected = c.Expected
	if c.SpeedFactor != 1 {
		c.Expected = time.Duration(c.SpeedFactor * float64(c.Expected))
	}
	if st.slowness > slownessThreshold {
		c.Expected = time.Duration(st.slowness * float64(c.Expected))
	}
	return c
}

// penalty returns the cost of a choice besides its expected time and long pauses.
func (b *Balancer) penalty(c *Choice, q Query, v *estimate.Prediction, now time.Time) time.Duration {
	e := &c.Endpoint
	st := b.lookup(e.ID)
	f := st.failureProbability(now)
	d := time.Duration(f*f*float64(failurePenalty)) + time.Duration(coldFraction*float64(e.ColdLeft))
	if c.RecomputeTokens > 0 {
		d += time.Duration(recomputeWeight * c.SpeedFactor * float64(v.PrefillTime(c.RecomputeTokens)))
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

// preferredEndpoint returns the ID of the endpoint that every box prefers for prompts with the same
// shared prefix: the one with the highest rendezvous score, in which faster endpoints weigh more.
func (b *Balancer) preferredEndpoint(es []endpoint.Endpoint, q *Query, isExcluded func(*endpoint.Endpoint) bool) string {
	if q.PreferredKey() == "" {
		return ""
	}
	key := rendezvous.Hash(q.PreferredKey())
	var p rendezvous.Picker
	for i := range es {
		if !isExcluded(&es[i]) {
			p.Add(i, b.speedClass(&es[i]), rendezvous.Weight(key, es[i].ID))
		}
	}
	if i, ok := p.Best(); ok {
		return es[i].ID
	}
	return ""
}
