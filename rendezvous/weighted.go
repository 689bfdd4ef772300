package rendezvous

import "math"

// MaxClass bounds the classes of members with different weights: they go from -MaxClass to MaxClass.
const MaxClass = 2

// ClassWeight is the ratio of the weights of members in neighbouring classes.
const ClassWeight = 1.2

// classMask maps a class to a position in the arrays of a Picker, whose size is a power of two so
// that access needs no check of bounds.
const classMask = 7

// Picker finds the highest member of weighted rendezvous hashing: a member of class c is chosen
// ClassWeight to the power of c times as often as one of class 0. With all members in one class, it is
// the member with the highest Weight. The zero value has no members.
type Picker struct {
	top   [classMask + 1]uint64
	index [classMask + 1]int // of the highest member, plus 1
}

// Add adds a member, given its position, class and unweighted Weight for the key.
func (p *Picker) Add(index int, class int8, weight uint64) {
	if c := class & classMask; weight >= p.top[c] {
		p.top[c], p.index[c] = weight, index+1
	}
}

// Best returns the position of the highest member, and false if there is none.
//
// A member with the weight w and a hash u, uniform in (0, 1), has the score w / -log(u). Within a
// class the order of the scores is that of the hashes, so logarithms are needed once per class only.
func (p *Picker) Best() (int, bool) {
	best, top := 0, -1.0
	for class := -MaxClass; class <= MaxClass; class++ {
		c := class & classMask
		if p.index[c] == 0 {
			continue
		}
		u := (float64(p.top[c]>>11) + 0.5) / (1 << 53)
		if score := math.Pow(ClassWeight, float64(class)) / -math.Log(u); score > top {
			best, top = p.index[c], score
		}
	}
	return best - 1, best > 0
}
