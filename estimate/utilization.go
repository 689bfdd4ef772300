package estimate

import "math"

// The bounds of an endpoint's prefill utilization, the fraction of its time that it spends on
// prefill.
const (
	minUtilization = 0.05
	maxUtilization = 0.85
)

// bisectionSteps narrow the interval between the bounds to less than a thousandth.
const bisectionSteps = 10

// maxPrefillUtilization returns the largest prefill utilization at which at most the fraction
// maxLate of the requests miss their objective because they queue behind other prompts.
func (f *fit) maxPrefillUtilization(s *Stats, maxLate float64) float64 {
	total := f.prefillSeconds(s.Moments[1], s.Moments[2])
	if total <= 0 {
		return minUtilization
	}
	residual := f.sumSquaredPrefillSeconds(&s.Moments) / (2 * total)
	low, high := minUtilization, maxUtilization
	for range bisectionSteps {
		mid := (low + high) / 2
		if f.lateShare(s, mid, residual) > maxLate {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// lateShare returns the fraction of the requests whose queueing time exceeds the slack that their
// objective leaves. The endpoint is modelled as a first-come, first-served queue with Poisson
// arrivals: a request finds it busy with a probability equal to the utilization, and the wait is
// then exponential with mean residual/(1-utilization), where residual is the mean remaining prefill
// time in seconds of the prompt in service. Requests that would be late without queueing are not
// counted.
func (f *fit) lateShare(s *Stats, utilization, residual float64) float64 {
	sum, n := 0.0, 0.0
	for ms, c := range s.Classes {
		slack := float64(ms)/thousand - f.firstEvent[fixed] - f.prefillSeconds(c.Tokens, c.Squares)/max(c.Count, epsilon)
		if slack <= 0 {
			continue
		}
		sum += c.Count * utilization * math.Exp(-slack*(1-utilization)/max(residual, epsilon))
		n += c.Count
	}
	if n <= 0 {
		return utilization
	}
	return sum / n
}
