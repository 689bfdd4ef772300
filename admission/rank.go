package admission

import "time"

// numRanks is the number of ranks that endpoints distinguish.
const numRanks = 10

// minSlackStep is the slack from which on the rank of a request is not that of its class's most
// urgent. A long prompt takes 100 to 200 ms to prefill: with less slack, a request is late if it
// waits for one.
const minSlackStep = 200 * time.Millisecond

// slackStepFactor is the ratio between the slacks at which one rank ends and the next.
const slackStepFactor = 4

// Urgency is the place of a request among all combinations of an account's and a route's priority
// that the configuration has, ordered by the account's and then the route's. Class 0 is the most
// urgent.
type Urgency struct {
	Class, Classes int
}

// Rank returns the rank of a request at an endpoint; rank 0 is served first. Requests of a more
// urgent class have lower ranks. Within a class, the rank depends on the slack, which is the time that
// the request can wait and still meet its objective: the one that will be late first goes first. A
// request with its slack used up has the lowest rank of its class, so it does not starve. If the
// configuration has more than half as many classes as there are ranks, slack does not count.
func (u Urgency) Rank(slack time.Duration) int {
	n := max(u.Classes, 1)
	if n > numRanks {
		return u.Class * numRanks / n
	}
	steps := numRanks / n
	level := 0
	for s := minSlackStep; level < steps-1 && slack >= s; s *= slackStepFactor {
		level++
	}
	return u.Class*steps + level
}
