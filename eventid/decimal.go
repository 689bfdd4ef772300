// Package eventid compares the IDs of server-sent events.
package eventid

import (
	"math"
	"strconv"

	"birchlink.dev/birchlink/sequence"
)

// Decimal is the numbering of events whose IDs are decimal numbers. Of other IDs it knows only whether they are equal.
type Decimal struct{}

// Relate returns how the ID of an event relates to that of the event before it.
func (Decimal) Relate(before, id string) sequence.Relation {
	if before == id {
		return sequence.Same
	}
	a, errA := strconv.ParseUint(before, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	switch {
	case errA != nil || errB != nil:
		return sequence.Unknown
	case a == b:
		return sequence.Same
	case b < a:
		return sequence.Earlier
	case b-a == 1:
		return sequence.Next
	default:
		return sequence.Later
	}
}

// LeftOut returns how many numbers are left out between an ID, or zero if it is empty, and the last one of some events after it.
func (Decimal) LeftOut(before, last string, events int) int {
	a, _ := strconv.ParseUint(before, 10, 64)
	b, err := strconv.ParseUint(last, 10, 64)
	if err != nil || b < a || b-a > math.MaxInt32 {
		return 0
	}
	return max(int(b-a)-events, 0)
}

// IsNumber reports whether an ID is a decimal number.
func (Decimal) IsNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// IsFirst reports whether an ID is 0 or 1.
func (Decimal) IsFirst(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n <= 1
}

// Before returns the ID before a number in a count from 1, which is empty before the first one.
func (Decimal) Before(id string) (string, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil || n == 0:
		return "", false
	case n == 1:
		return "", true
	default:
		return strconv.FormatUint(n-1, 10), true
	}
}
