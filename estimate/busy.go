package estimate

import "math"

// The bounds of the part of its time that an endpoint may spend reading.
const (
	minUtilization = 0.05
	maxUtilization = 0.85
)

// busySteps halve the interval between the bounds to less than a thousandth.
const bisectionSteps = 10

// busy returns the largest part of its time that an endpoint may spend reading
// prompts for no more than late of the requests to miss their objective for having
// waited for the prompts of others.
func (f *fit) maxPrefillUtilization(s *Stats, late float64) float64 {
	read := f.prefillSeconds(s.Moments[1], s.Moments[2])
	if read <= 0 {
		return minUtilization
	}
	rest := f.sumSquaredPrefillSeconds(&s.Moments) / (2 * read)
	low, high := minUtilization, maxUtilization
	for range bisectionSteps {
		mid := (low + high) / 2
		if f.lateShare(s, mid, rest) > late {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// late is the part of the requests that wait for longer than their objective leaves,
// where endpoints spend a part of their time reading. A request that comes at any
// moment finds an endpoint reading for that part of the cases. The wait is then taken
// to be exponential with the mean of a queue that is served in order: rest, what is
// left of one prompt, over the part of the time that is free. Requests that would be
// late without waiting do not count.
func (f *fit) lateShare(s *Stats, busy, rest float64) float64 {
	sum, n := 0.0, 0.0
	for ms, c := range s.Classes {
		slack := float64(ms)/thousand - f.firstEvent[fixed] - f.prefillSeconds(c.Tokens, c.Squares)/max(c.Count, epsilon)
		if slack <= 0 {
			continue
		}
		sum += c.Count * busy * math.Exp(-slack*(1-busy)/max(rest, epsilon))
		n += c.Count
	}
	if n <= 0 {
		return busy
	}
	return sum / n
}
