package rollout

import (
	"math"
	"time"
)

// Policy decides on one order, from the evidence that is told to it again and again. It keeps no
// time: how long ago the order came is an argument.
type Policy struct {
	// MaxShare is the part of a service's requests that a bad version may get.
	MaxShare float64

	order         uint64 // the revision of the order
	routes        map[string]*sequentialTest
	rejected      bool    // the version was found to be bad
	answersAtRamp float64 // the version's answers as the ramp began
}

// trial is the test of one route: the evidence seen so far, and how much more likely it is under
// a bad version than under a good one, as a logarithm, since it last spoke for a good one.
type sequentialTest struct {
	counts             RouteCounts
	failedLLR, slowLLR float64
}

// The parts of an order's duration after which the next stage begins, if the evidence suffices
// for it. A version may turn bad late or under load: so the other versions are left late, and
// the last part is for what is still under way there.
const (
	rampStart       = 0.5
	wholeStart      = 0.65
	finalPhaseStart = 0.92
)

// canaryPart is the part of the bound on a bad version's requests that the canary takes: the rest
// is for the seconds between a bad answer and the last box that hears of it. rampShare is the
// share of the ramp.
const (
	canaryFraction = 0.5
	rampShare      = 0.3
)

// enoughAnswers of the new version are needed for it to get more than the canary's part: one with
// 20 failures in 100 passes so many without one in 0.4 of 100 cases. In the ramp enoughMore are
// needed for it to get all, since it may have turned bad just before; it lasts rampFor at the least.
const (
	minCanaryAnswers = 25
	minRampAnswers   = 40
	minRampDuration  = time.Second
)

// least is how long before an order's end it is decided at the latest: the word has to be written.
const decisionMargin = time.Second

// emptyFor is how long the other versions are given at the least, once all new requests go to the
// version: the boxes hear of it within half a second, and most requests end within a second.
const minDrainDuration = 1500 * time.Millisecond

// Share returns the part of the requests that may go to the version in a stage, where a bad one
// may get the part most.
func Share(s Stage, most float64) float64 {
	switch s {
	case Canary:
		return canaryFraction * most
	case Ramp:
		return rampShare
	case Whole, Complete:
		return 1
	default:
		return 0
	}
}

// Next returns the stage of an order that came some time ago and has been in a stage for some.
func (p *Policy) Next(o Order, s Stage, in, ago time.Duration, e Evidence) Stage {
	if s.Final() {
		return s
	}
	p.rejected = p.rejected || p.testEvidence(e)
	if p.rejected {
		return Reverted
	}
	part := float64(ago) / float64(max(o.Duration, 1))
	last := part >= finalPhaseStart || o.Duration-ago <= decisionMargin
	switch {
	case s == Whole && in >= minDrainDuration && (last || e.Busy == 0):
		return Complete
	case last && (s != Whole || o.Duration-ago <= decisionMargin/4):
		return Reverted // it was not seen to be good in time
	case s == Closed:
		return Canary
	case p.maxLLR() > maxAdvanceLLR:
		return s
	case s == Canary && part >= rampStart && e.newAnswers() >= minCanaryAnswers:
		p.answersAtRamp = e.newAnswers()
		return Ramp
	case s == Ramp && part >= wholeStart && in >= minRampDuration && e.newAnswers() >= p.answersAtRamp+minRampAnswers:
		return Whole
	}
	return s
}

// A version is bad if some route's evidence is e^certain times more likely under one that fails,
// or is slow, more often by the ratio and the difference below than the other versions in the same
// seconds. A good version is sent back once in 22,000 answers or more (e^10); one with 20 failures
// in 100 is found by some 25 answers, one that is always slow by six.
const rejectLLR = 10.0

// kind is one way of being bad: what part of the answers of a service is usual where few are
// known, and what a bad version's part is at the least.
type defect struct {
	baseline float64
	ratio    float64
	excess   float64
}

var (
	failures = defect{baseline: 0.01, ratio: 2, excess: 0.1}
	slowness = defect{baseline: 0.05, ratio: 2, excess: 0.3}
)

// mostDoubt is up to which suspicion a version gets a larger part: a good one seldom has more.
const maxAdvanceLLR = 0.7 * rejectLLR

// doubt is the strongest suspicion against the version.
func (p *Policy) maxLLR() float64 {
	most := 0.0
	for _, t := range p.routes {
		most = max(most, t.failedLLR, t.slowLLR)
	}
	return most
}

// usualAnswers is how many answers the usual part counts for.
const baselineAnswers = 20

// The bounds of a part of answers that is taken to be bad.
const (
	minBadRate = 0.005
	maxBadRate = 0.95
)

// bad takes in the evidence, and reports whether the version is bad.
func (p *Policy) testEvidence(e Evidence) bool {
	if p.routes == nil {
		p.routes = map[string]*sequentialTest{}
	}
	all := RouteCounts{}
	found := false
	for n, pair := range e.Routes {
		all = RouteCounts{Old: all.Old.plus(pair.Old), New: all.New.plus(pair.New)}
		found = p.route(n).update(pair) || found
	}
	return p.route(allRoutes).update(all) || found
}

// allRoutes is no route's name: a version that is bad on all is found sooner by all answers
// together, one that is bad on one route by those of that route.
const allRoutes = ""

func (p *Policy) route(name string) *sequentialTest {
	t := p.routes[name]
	if t == nil {
		t = &sequentialTest{}
		p.routes[name] = t
	}
	return t
}

// take takes in what is new of a route's evidence.
func (t *sequentialTest) update(now RouteCounts) bool {
	more := now.New.minus(t.counts.New)
	t.counts = now
	t.failedLLR = failures.updateLLR(t.failedLLR, now.Old.Answers, now.Old.Failed, more.Answers, more.Failed)
	t.slowLLR = slowness.updateLLR(t.slowLLR, now.Old.Answers, now.Old.Slow, more.Answers, more.Slow)
	return t.failedLLR >= rejectLLR || t.slowLLR >= rejectLLR
}

// weigh adds answers of the new version, some of them bad, to a sum of log likelihood ratios that
// never falls below zero: what speaks for a version does not outweigh what it does later.
func (k defect) updateLLR(sum, oldAnswers, oldBad, answers, bad float64) float64 {
	good := (oldBad + k.baseline*baselineAnswers) / (oldAnswers + baselineAnswers)
	good = min(max(good, minBadRate), maxBadRate/k.ratio)
	worse := min(max(k.ratio*good, good+k.excess), maxBadRate)
	bad = min(bad, answers)
	return max(sum+bad*math.Log(worse/good)+(answers-bad)*math.Log((1-worse)/(1-good)), 0)
}
