package splice

import "birchlink.dev/birchlink/sequence"

// indexes is the numbering of tokens, whose indexes count from 0.
type indexes struct{}

// Relate returns how the index of a token relates to that of the token before it.
func (indexes) Relate(before, n int) sequence.Relation {
	switch {
	case n == before:
		return sequence.Same
	case n < before:
		return sequence.Earlier
	case n-before == 1:
		return sequence.Next
	default:
		return sequence.Later
	}
}

// IsNumber reports whether an index can be compared, which each can.
func (indexes) IsNumber(int) bool { return true }

// IsFirst reports whether an index is 0.
func (indexes) IsFirst(n int) bool { return n == 0 }

// Before returns the index before n. It returns false for the first one.
func (indexes) Before(n int) (int, bool) {
	if n <= 0 {
		return 0, false
	}
	return n - 1, true
}
