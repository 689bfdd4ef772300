package rollout

import (
	"math"
	"time"
)

// Policy decides on the stages of one order from the evidence passed to successive calls of Next.
// It reads no clock: the age of the order is an argument.
type Policy struct {
	// MaxShare is the fraction of a service's requests that a bad version may receive.
	MaxShare float64

	order         uint64 // revision of the order
	routes        map[string]*sequentialTest
	rejected      bool    // whether the version was found to be bad
	answersAtRamp float64 // number of answers of the new version when the ramp began
}

// sequentialTest is the state of the test of one route: the evidence processed so far, and the
// cumulative log likelihood ratios (LLR) of a bad version to a good one. They restart from zero
// whenever they would become negative, as in the CUSUM test.
type sequentialTest struct {
	counts             RouteCounts
	failedLLR, slowLLR float64
}

// The fractions of an order's duration after which the next stage begins, if the evidence suffices.
// The other versions keep receiving requests until late, since a version may become bad after a
// while or under load. The final phase is for the requests that are still in flight at the other
// versions.
const (
	rampStart       = 0.5
	wholeStart      = 0.65
	finalPhaseStart = 0.92
)

// canaryFraction is the canary's fraction of the share that a bad version may receive. The rest
// allows for the seconds between a bad answer and the moment when the last box learns of it.
// rampShare is the share of the requests in the ramp.
const (
	canaryFraction = 0.5
	rampShare      = 0.3
)

// The new version needs minCanaryAnswers answers before the ramp: a version that fails 20% of its
// requests gives this many answers without a failure in 0.4% of the cases. It needs another
// minRampAnswers answers, and the ramp has to last minRampDuration, before it receives all
// requests, since it may have become bad just before the ramp.
const (
	minCanaryAnswers = 25
	minRampAnswers   = 40
	minRampDuration  = time.Second
)

// decisionMargin is the time before the end of an order's duration when the final phase begins at
// the latest, since the decision has to be written to the store.
const decisionMargin = time.Second

// minDrainDuration is the least time that the other versions have to drain once all new requests go
// to the new version. Boxes learn of that within half a second, and most requests end within a
// second.
const minDrainDuration = 1500 * time.Millisecond

// Share returns the fraction of the requests that may go to the new version in a stage, where a bad
// version may receive the fraction maxShare.
func Share(s Stage, maxShare float64) float64 {
	switch s {
	case Canary:
		return canaryFraction * maxShare
	case Ramp:
		return rampShare
	case Whole, Complete:
		return 1
	default:
		return 0
	}
}

// Next returns the next stage of an order of the given age, which has been in stage s for the time
// inStage. It returns s if the order stays in that stage.
func (p *Policy) Next(o Order, s Stage, inStage, age time.Duration, e Evidence) Stage {
	if s.Final() {
		return s
	}
	p.rejected = p.rejected || p.testEvidence(e)
	if p.rejected {
		return Reverted
	}
	elapsed := float64(age) / float64(max(o.Duration, 1))
	final := elapsed >= finalPhaseStart || o.Duration-age <= decisionMargin
	switch {
	case s == Whole && inStage >= minDrainDuration && (final || e.Busy == 0):
		return Complete
	case final && (s != Whole || o.Duration-age <= decisionMargin/4):
		return Reverted // the version did not prove good in time
	case s == Closed:
		return Canary
	case p.maxLLR() > maxAdvanceLLR:
		return s
	case s == Canary && elapsed >= rampStart && e.newAnswers() >= minCanaryAnswers:
		p.answersAtRamp = e.newAnswers()
		return Ramp
	case s == Ramp && elapsed >= wholeStart && inStage >= minRampDuration && e.newAnswers() >= p.answersAtRamp+minRampAnswers:
		return Whole
	}
	return s
}

// rejectLLR is the log likelihood ratio from which a version counts as bad. The hypothesis of a bad
// version is that it fails, or is slow, more often than the other versions over the same period by
// the ratio and the excess of a defect. A good version is rejected at most once in about 22,000
// answers (e^10). A version that fails 20% of its requests is rejected after about 25 answers, and
// one that is always slow after six.
const rejectLLR = 10.0

// defect describes one way in which a version is bad. A rate is the fraction of the answers that
// have the defect. The rate of a bad version exceeds that of the other versions by at least a ratio
// and an excess.
type defect struct {
	baseline float64 // assumed rate of the other versions while few of their answers are known
	ratio    float64
	excess   float64
}

var (
	failures = defect{baseline: 0.01, ratio: 2, excess: 0.1}
	slowness = defect{baseline: 0.05, ratio: 2, excess: 0.3}
)

// maxAdvanceLLR is the largest log likelihood ratio at which a version may enter the next stage. A
// good version seldom exceeds it.
const maxAdvanceLLR = 0.7 * rejectLLR

// maxLLR returns the largest log likelihood ratio over all routes and defects.
func (p *Policy) maxLLR() float64 {
	largest := 0.0
	for _, t := range p.routes {
		largest = max(largest, t.failedLLR, t.slowLLR)
	}
	return largest
}

// baselineAnswers is the number of answers that the baseline rate of a defect counts for.
const baselineAnswers = 20

// The bounds of the assumed rates of defects. They keep the log likelihood ratios finite.
const (
	minBadRate = 0.005
	maxBadRate = 0.95
)

// testEvidence updates the tests of all routes, and reports whether the version is bad.
func (p *Policy) testEvidence(e Evidence) bool {
	if p.routes == nil {
		p.routes = map[string]*sequentialTest{}
	}
	all := RouteCounts{}
	bad := false
	for n, counts := range e.Routes {
		all = RouteCounts{Old: all.Old.plus(counts.Old), New: all.New.plus(counts.New)}
		bad = p.route(n).update(counts) || bad
	}
	return p.route(allRoutes).update(all) || bad
}

// allRoutes is the key of the test over the answers of all routes. A version that is bad on all
// routes is detected sooner by this test, and one that is bad on a single route by the test of that
// route.
const allRoutes = ""

// route returns the test of a route, which it creates if necessary.
func (p *Policy) route(name string) *sequentialTest {
	t := p.routes[name]
	if t == nil {
		t = &sequentialTest{}
		p.routes[name] = t
	}
	return t
}

// update adds the answers since the last call, and reports whether the version is bad on the route.
func (t *sequentialTest) update(now RouteCounts) bool {
	more := now.New.minus(t.counts.New)
	t.counts = now
	t.failedLLR = failures.updateLLR(t.failedLLR, now.Old.Answers, now.Old.Failed, more.Answers, more.Failed)
	t.slowLLR = slowness.updateLLR(t.slowLLR, now.Old.Answers, now.Old.Slow, more.Answers, more.Slow)
	return t.failedLLR >= rejectLLR || t.slowLLR >= rejectLLR
}

// updateLLR adds answers of the new version, some of them bad, to a log likelihood ratio and
// returns the result. The result is never negative, so that earlier good answers do not outweigh
// later bad ones.
func (d defect) updateLLR(llr, oldAnswers, oldBad, answers, bad float64) float64 {
	goodRate := (oldBad + d.baseline*baselineAnswers) / (oldAnswers + baselineAnswers)
	goodRate = min(max(goodRate, minBadRate), maxBadRate/d.ratio)
	badRate := min(max(d.ratio*goodRate, goodRate+d.excess), maxBadRate)
	bad = min(bad, answers)
	return max(llr+bad*math.Log(badRate/goodRate)+(answers-bad)*math.Log((1-badRate)/(1-goodRate)), 0)
}
