package estimate

import (
	"maps"
	"slices"
	"time"
)

// Stats holds sums over observations, each weighted by its age. The Stats of several boxes can be
// added.
type Stats struct {
	_msgpack struct{} `msgpack:",as_array"`

	First Sums // fit of the time to the first event by the features of Load
	Pause Sums // fit of the pause between events by a constant and the running requests

	// Moments holds the sums of the zeroth to fourth powers of the number of tokens, in thousands,
	// prefilled for each answer. Moments[0] is the number of answers.
	Moments [5]float64

	// Classes holds sums over the same answers by their objective in milliseconds.
	Classes map[int]Class

	Completed   float64 // answers that ended
	SlotSeconds float64 // total time for which those answers held a slot
}

// Class holds the number of answers with one objective, and the sums of the tokens, in thousands,
// prefilled for each and of their squares.
type Class struct {
	_msgpack struct{} `msgpack:",as_array"`

	Count, Tokens, Squares float64
}

// maxClasses bounds the number of distinct objectives. A class whose weighted number of answers
// falls below minClassCount is removed to make room for others.
const (
	maxClasses    = 16
	minClassCount = 0.001
)

// Sums holds the normal equations of a least squares fit. Products is the upper triangle, row by
// row, of the products of the features with each other. Observed holds the products of the features
// with the observed value.
type Sums struct {
	_msgpack struct{} `msgpack:",as_array"`

	Count    float64 // number of observations
	Products []float64
	Observed []float64
}

// countAnswer records the tokens prefilled for an answer and its objective.
func (s *Stats) countAnswer(tokens int, objective time.Duration) {
	t := float64(tokens) / thousand
	power := 1.0
	for i := range s.Moments {
		s.Moments[i] += power
		power *= t
	}
	k := int(objective.Milliseconds())
	if s.Classes == nil {
		s.Classes = map[int]Class{}
	}
	c, known := s.Classes[k]
	if objective <= 0 || !known && len(s.Classes) >= maxClasses {
		return
	}
	s.Classes[k] = Class{Count: c.Count + 1, Tokens: c.Tokens + t, Squares: c.Squares + t*t}
}

// Add adds the observations of another box.
func (s *Stats) Add(o Stats) {
	s.First.merge(o.First)
	s.Pause.merge(o.Pause)
	for i := range s.Moments {
		s.Moments[i] += o.Moments[i]
	}
	if s.Classes == nil {
		s.Classes = map[int]Class{}
	}
	for k, v := range o.Classes {
		c := s.Classes[k]
		s.Classes[k] = Class{Count: c.Count + v.Count, Tokens: c.Tokens + v.Tokens, Squares: c.Squares + v.Squares}
	}
	s.Completed += o.Completed
	s.SlotSeconds += o.SlotSeconds
}

// Without returns s without the observations of one box, which are part of s.
func (s *Stats) Without(o Stats) Stats {
	left, negated := s.clone(), o.clone()
	for k, c := range negated.Classes {
		negated.Classes[k] = Class{Count: -c.Count, Tokens: -c.Tokens, Squares: -c.Squares}
	}
	negated.First.scale(-1)
	negated.Pause.scale(-1)
	for i := range negated.Moments {
		negated.Moments[i] *= -1
	}
	negated.Completed, negated.SlotSeconds = -negated.Completed, -negated.SlotSeconds
	left.Add(negated)
	for k, c := range left.Classes {
		if c.Count < minClassCount {
			delete(left.Classes, k)
		}
	}
	return left
}

// Scaled returns the observations with their weights multiplied by factor. When several boxes take
// over the same observations, each takes its share.
func (s *Stats) Scaled(factor float64) Stats {
	c := s.clone()
	c.scale(factor)
	return c
}

// clone returns a deep copy.
func (s *Stats) clone() Stats {
	c := *s
	c.First.Products, c.First.Observed = slices.Clone(s.First.Products), slices.Clone(s.First.Observed)
	c.Pause.Products, c.Pause.Observed = slices.Clone(s.Pause.Products), slices.Clone(s.Pause.Observed)
	c.Classes = maps.Clone(s.Classes)
	return c
}

func (s *Stats) scale(x float64) {
	s.First.scale(x)
	s.Pause.scale(x)
	for i := range s.Moments {
		s.Moments[i] *= x
	}
	for k, c := range s.Classes {
		if c.Count*x < minClassCount {
			delete(s.Classes, k)
			continue
		}
		s.Classes[k] = Class{Count: c.Count * x, Tokens: c.Tokens * x, Squares: c.Squares * x}
	}
	s.Completed *= x
	s.SlotSeconds *= x
}

// add adds one observation with the features x. Its weight is the inverse of its square, so that
// the fit minimizes relative errors.
func (s *Sums) add(x []float64, observed float64) {
	n := len(x)
	if s.Products == nil {
		s.Products, s.Observed = make([]float64, n*(n+1)/2), make([]float64, n)
	}
	s.Count++
	w := 1 / max(observed*observed, epsilon)
	k := 0
	for i := range n {
		for j := i; j < n; j++ {
			s.Products[k] += w * x[i] * x[j]
			k++
		}
		s.Observed[i] += w * x[i] * observed
	}
}

func (s *Sums) scale(x float64) {
	s.Count *= x
	for i := range s.Products {
		s.Products[i] *= x
	}
	for i := range s.Observed {
		s.Observed[i] *= x
	}
}

// merge adds sums over the same features. Sums over another number of features come from a box that
// runs another version of this program and are ignored.
func (s *Sums) merge(o Sums) {
	if s.Products == nil {
		s.Count, s.Products, s.Observed = o.Count, slices.Clone(o.Products), slices.Clone(o.Observed)
		return
	}
	if len(s.Products) != len(o.Products) || len(s.Observed) != len(o.Observed) {
		return
	}
	s.Count += o.Count
	for i := range o.Products {
		s.Products[i] += o.Products[i]
	}
	for i := range o.Observed {
		s.Observed[i] += o.Observed[i]
	}
}
