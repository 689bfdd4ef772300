package admission

import "time"

// Options selects the decisions on requests under shortage that are in use.
type Options struct {
	DeadlineCheck bool // requests that no endpoint can begin before their deadline are refused
}

// OptimisticQuantile is the quantile of the ratios of observed to expected times to the first event
// that the deadline check assumes. In replays of shortages, at most 0.6% of the requests would be
// refused although they are served when they are sent; with 0.5 it would be 3.1%, with 0.1 0.2%, but
// then nearly no lost request is found.
const OptimisticQuantile = 0.25

// minSamples is the number of answers below which a prediction refuses nothing.
const minSamples = 20

// MaxLoadAge is the age of other boxes' load reports above which a prediction refuses nothing: two
// rounds of reports.
const MaxLoadAge = time.Second

// The bounds of the retry time of a request that is refused for its deadline. No service has a longer
// queue than maxDeadlineRetry, because requests leave it at their deadlines.
const (
	minDeadlineRetry = 100 * time.Millisecond
	maxDeadlineRetry = 15 * time.Second
)

// retrySpread is the largest part of a retry time that is added at random.
const retrySpread = 0.2

// Input holds what the decision on a request before an attempt is based on.
type Input struct {
	Expected time.Duration // expected time to the first event at the fastest endpoint
	Left     time.Duration // time until the deadline
	LoadAge  time.Duration // age of the other boxes' load reports

	// Ratio is the OptimisticQuantile of observed to expected times, and Samples the weighted number
	// of answers that it is taken from.
	Ratio   float64
	Samples float64

	Random float64 // in [0, 1); spreads the retry times of requests that are refused together
}

// Reason states why a request is refused.
type Reason string

// The reasons. Admitted is that of a request that is sent.
const (
	Admitted       Reason = ""
	DeadlinePassed Reason = "deadline_passed"
	WaitTooLong    Reason = "wait_too_long"
)

// Decision states whether a request is sent. If it is refused, RetryAfter is the time until the wait
// is short enough for a request with as much time left, if no others arrive.
type Decision struct {
	Reason     Reason
	Earliest   time.Duration // optimistic time to the first event
	RetryAfter time.Duration
}

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d.Reason != Admitted }

// Decide refuses a request that no endpoint can begin before its deadline. If it were sent, it would
// end unserved and hold a place in a queue until then. The load pattern is that of a service whose
// endpoints cannot take all incoming requests.
func Decide(in Input) Decision {
	if in.Left <= 0 {
		return Decision{Reason: DeadlinePassed, RetryAfter: minDeadlineRetry}
	}
	// Since the load was reported, an endpoint has worked off at most the time that has passed.
	d := Decision{Earliest: max(time.Duration(in.Ratio*float64(in.Expected))-in.LoadAge, 0)}
	if in.Samples < minSamples || in.LoadAge > MaxLoadAge || d.Earliest < in.Left {
		return d
	}
	d.Reason = WaitTooLong
	wait := min(max(d.Earliest-in.Left, minDeadlineRetry), maxDeadlineRetry)
	d.RetryAfter = wait + time.Duration(retrySpread*in.Random*float64(wait))
	return d
}
