package estimate

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// tiny keeps divisions in bounds; it is below any time in seconds that is observed.
const epsilon = 1e-9

// The features of the time to the first event, in this order. Tokens are in thousands
// and requests in tens, so that the sums are of one size.
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
	r := float64(l.Prefill) / thousand
	return []float64{1, r, float64(l.LocalQueued) / thousand, float64(l.RemoteQueued) / thousand, float64(l.Running) / ten, r * r / ten}
}

// fit is the coefficients in seconds by feature, and those of the pauses.
type fit struct {
	firstEvent [numFeatures]float64
	pause      [2]float64
}

// prior is what a service is taken to be before anything is known: endpoints slower
// than any in use, so that the first requests spread widely. Since errors count by their
// part of the time seen, what is faster is believed within a few answers, and what is
// slow finds no rows to outweigh. Each of its rows counts as one answer at
// first, and as half of one when priorFades answers are known.
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

// priorPauses are the same for the pauses between events.
var priorPauses = []struct{ running, seconds float64 }{{0, 0.2}, {20, 0.4}}

// solve returns the coefficients that fit best. None is negative: more to do never
// takes less time.
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

// with solves sums together with a prior, s, that fades with what is known. Where what
// is known cannot be solved, the prior alone is.
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

// solve returns the coefficients with the least squares of errors of which none is
// negative: the most negative one is left out until there is none.
func (s *Sums) solveNonNegative() []float64 {
	n := len(s.Observed)
	out := make([]bool, n)
	for {
		x := s.solveExcluding(out)
		worst := -1
		for i, v := range x {
			if v < 0 && (worst < 0 || v < x[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			return x
		}
		out[worst] = true
	}
}

// without solves the normal equations without some of the features, whose coefficients
// are zero. Nil stands for sums that cannot be solved.
func (s *Sums) solveExcluding(out []bool) []float64 {
	n := len(s.Observed)
	a, b := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	k := 0
	for i := range n {
		for j := i; j < n; j++ {
			if !out[i] && !out[j] {
				a.SetSym(i, j, s.Products[k])
			}
			k++
		}
		if out[i] {
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

// first is the expected time to the first event, in seconds.
func (f *fit) firstEventSeconds(l Load) float64 {
	r := float64(l.Prefill) / thousand
	return f.firstEvent[fixed] + f.firstEvent[perPrefill]*r + f.firstEvent[perLocalQueued]*float64(l.LocalQueued)/thousand + f.firstEvent[perRemoteQueued]*float64(l.RemoteQueued)/thousand +
		f.firstEvent[perRunning]*float64(l.Running)/ten + f.firstEvent[perPrefillSquare]*r*r/ten
}

// reading is the time that an endpoint takes to read prompts of so many thousand
// tokens in all, whose squares add up to so much, in seconds.
func (f *fit) prefillSeconds(tokens, squares float64) float64 {
	return f.firstEvent[perPrefill]*tokens + f.firstEvent[perPrefillSquare]*squares/ten
}

// readingSquared is the sum of the squares of those times.
func (f *fit) sumSquaredPrefillSeconds(m *[5]float64) float64 {
	b, q := f.firstEvent[perPrefill], f.firstEvent[perPrefillSquare]/ten
	return b*b*m[2] + 2*b*q*m[3] + q*q*m[4]
}

// perToken is the mean time for each token of the prompts that were read, in seconds.
func (f *fit) prefillSecondsPerToken(s *Stats) float64 {
	if s.Moments[1] <= 0 {
		return f.firstEvent[perPrefill] / thousand
	}
	return f.prefillSeconds(s.Moments[1], s.Moments[2]) / s.Moments[1] / thousand
}

// running is how many requests may run at once for a mean pause, in seconds.
func (f *fit) concurrencyForPause(pause float64) float64 {
	if f.pause[1] <= epsilon {
		return math.Inf(1)
	}
	return (pause - f.pause[0]) / f.pause[1]
}
