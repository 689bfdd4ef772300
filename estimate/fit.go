package estimate

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// epsilon is a lower bound for divisors. It is shorter than any time in seconds that is observed.
const epsilon = 1e-9

// The indices of the features that the time to the first event is fitted by. Tokens are counted in
// thousands and requests in tens, so that the sums have similar magnitudes.
const (
	fixed = iota
	perPrefill
	perLocalQueued
	perRemoteQueued
	perRunning
	perPrefillSquare
	numFeatures
)

const (
	thousand = 1000.0
	ten      = 10.0
)

func (l Load) features() []float64 {
	p := float64(l.Prefill) / thousand
	return []float64{1, p, float64(l.LocalQueued) / thousand, float64(l.RemoteQueued) / thousand, float64(l.Running) / ten, p * p / ten}
}

// fit holds the coefficients of the time to the first event by feature, and those of the pause
// between events: a constant and one per running request. All are in seconds.
type fit struct {
	firstEvent [numFeatures]float64
	pause      [2]float64
}

// prior holds the assumed observations of a service without answers. They describe endpoints slower
// than any in use, so that the first requests spread widely. Because the fit minimizes relative
// errors, a few answers of a faster endpoint outweigh the prior, and those of a slow endpoint do
// not contradict it. Each row counts as one answer at first, and as half of one once priorHalvedAt
// answers are known.
var prior = []struct {
	Load
	seconds float64
}{
	{Load{}, 0.5},
	{Load{Prefill: 1000}, 0.9},
	{Load{Prefill: 10_000}, 4.5},
	{Load{Prefill: 1000, LocalQueued: 10_000}, 4.9},
	{Load{Prefill: 1000, RemoteQueued: 10_000}, 2.9},
	{Load{Prefill: 1000, Running: 50}, 1.9},
	{Load{Prefill: 30_000}, 15},
}

const priorHalvedAt = 5

// priorPauses holds the assumed observations of the pauses between events.
var priorPauses = []struct{ running, seconds float64 }{{0, 0.2}, {20, 0.4}}

// fitStats returns the coefficients of the best fit. None is negative: a higher load never takes
// less time.
func fitStats(s Stats) fit {
	first, pauses := Sums{}, Sums{}
	for _, p := range prior {
		first.add(p.features(), p.seconds)
	}
	for _, p := range priorPauses {
		pauses.add([]float64{1, p.running}, p.seconds)
	}
	f := fit{}
	copy(f.firstEvent[:], first.solveWithPrior(s.First))
	copy(f.pause[:], pauses.solveWithPrior(s.Pause))
	return f
}

// solveWithPrior solves the known sums together with the prior s, whose weight falls with the
// number of known observations. If that system has no solution, it solves the prior alone.
func (s *Sums) solveWithPrior(known Sums) []float64 {
	all := Sums{}
	all.merge(*s)
	all.scale(priorHalvedAt / (priorHalvedAt + known.Count))
	all.merge(known)
	if x := all.solveNonNegative(); x != nil {
		return x
	}
	return s.solveNonNegative()
}

// solveNonNegative returns the least squares coefficients under the constraint that none is
// negative. It repeatedly excludes the feature with the most negative coefficient. It returns nil
// if the sums cannot be solved.
func (s *Sums) solveNonNegative() []float64 {
	n := len(s.Observed)
	excluded := make([]bool, n)
	for {
		x := s.solveExcluding(excluded)
		worst := -1
		for i, v := range x {
			if v < 0 && (worst < 0 || v < x[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			return x
		}
		excluded[worst] = true
	}
}

// solveExcluding solves the normal equations without the excluded features, whose coefficients are
// zero. It returns nil if the sums cannot be solved.
func (s *Sums) solveExcluding(excluded []bool) []float64 {
	n := len(s.Observed)
	a, b := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	k := 0
	for i := range n {
		for j := i; j < n; j++ {
			if !excluded[i] && !excluded[j] {
				a.SetSym(i, j, s.Products[k])
			}
			k++
		}
		if excluded[i] {
			a.SetSym(i, i, 1)
		} else {
			b.SetVec(i, s.Observed[i])
		}
	}
	var c mat.Cholesky
	var x mat.VecDense
	if !c.Factorize(a) || c.SolveVecTo(&x, b) != nil || math.IsNaN(mat.Sum(&x)) {
		return nil
	}
	return x.RawVector().Data
}

// firstEventSeconds returns the expected time to the first event.
func (f *fit) firstEventSeconds(l Load) float64 {
	p := float64(l.Prefill) / thousand
	return f.firstEvent[fixed] + f.firstEvent[perPrefill]*p + f.firstEvent[perLocalQueued]*float64(l.LocalQueued)/thousand +
		f.firstEvent[perRemoteQueued]*float64(l.RemoteQueued)/thousand + f.firstEvent[perRunning]*float64(l.Running)/ten +
		f.firstEvent[perPrefillSquare]*p*p/ten
}

// prefillSeconds returns the time to prefill prompts, given the sum of their lengths and the sum of
// the squares of their lengths, both in thousands of tokens.
func (f *fit) prefillSeconds(tokens, squares float64) float64 {
	return f.firstEvent[perPrefill]*tokens + f.firstEvent[perPrefillSquare]*squares/ten
}

// sumSquaredPrefillSeconds returns the sum of the squared prefill times of the prompts whose length
// moments are given.
func (f *fit) sumSquaredPrefillSeconds(moments *[5]float64) float64 {
	b, q := f.firstEvent[perPrefill], f.firstEvent[perPrefillSquare]/ten
	return b*b*moments[2] + 2*b*q*moments[3] + q*q*moments[4]
}

// prefillSecondsPerToken returns the mean prefill time per token over the observed prompts.
func (f *fit) prefillSecondsPerToken(s *Stats) float64 {
	if s.Moments[1] <= 0 {
		return f.firstEvent[perPrefill] / thousand
	}
	return f.prefillSeconds(s.Moments[1], s.Moments[2]) / s.Moments[1] / thousand
}

// concurrencyForPause returns the number of running requests at which the mean pause has the given
// length in seconds.
func (f *fit) concurrencyForPause(pause float64) float64 {
	if f.pause[1] <= epsilon {
		return math.Inf(1)
	}
	return (pause - f.pause[0]) / f.pause[1]
}
