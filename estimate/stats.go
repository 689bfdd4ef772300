package estimate

import (
	"maps"
	"slices"
	"time"
)

// Stats are sums over observations, each weighed down by its age. Those of several
// boxes add up to what all observed.
type Stats struct {
	_msgpack struct{} `msgpack:",as_array"`

	First Sums // by the features of Load
	Pause Sums // by a constant and the requests that run

	// Moments are the answers, and sums of the tokens read for each, in thousands, up
	// to their fourth power.
	Moments [5]float64

	// Classes are the same answers by their objective in milliseconds.
	Classes map[int]Class

	Completed   float64 // that ended
	SlotSeconds float64 // seconds that they took in all
}

// Class is the answers with one objective, and sums of the tokens read for each, in
// thousands, and of their squares.
type Class struct {
	_msgpack struct{} `msgpack:",as_array"`

	Count, Tokens, Squares float64
}

// maxClasses bounds the objectives that are told apart. One of which less than forgotten
// of an answer is left, by its age, gives its place to others.
const (
	maxClasses    = 16
	minClassCount = 0.001
)

// Sums are those of a least squares fit: products of features with each other, as the
// upper triangle row by row, and with what is to be fitted.
type Sums struct {
	_msgpack struct{} `msgpack:",as_array"`

	Count    float64 // of the observations
	Products []float64
	Observed []float64
}

// count takes in how much was read for an answer with an objective.
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

// Add adds what another box observed.
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

// Without returns what is left of sums without those of one of the boxes that are in them.
func (s *Stats) Without(o Stats) Stats {
	left, taken := s.clone(), o.clone()
	for k, c := range taken.Classes {
		taken.Classes[k] = Class{Count: -c.Count, Tokens: -c.Tokens, Squares: -c.Squares}
	}
	taken.First.scale(-1)
	taken.Pause.scale(-1)
	for i := range taken.Moments {
		taken.Moments[i] *= -1
	}
	taken.Completed, taken.SlotSeconds = -taken.Completed, -taken.SlotSeconds
	left.Add(taken)
	for k, c := range left.Classes {
		if c.Count < minClassCount {
			delete(left.Classes, k)
		}
	}
	return left
}

// Part returns a part of what was observed, as one of several boxes takes it over.
func (s *Stats) Scaled(x float64) Stats {
	c := s.clone()
	c.scale(x)
	return c
}

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

// add takes one observation, weighed by the inverse of its square.
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

// merge adds sums over the same features. Those of another number of features come
// from a box that runs another version, and are left out.
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
