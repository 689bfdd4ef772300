// Package stoporder records the orders by which endpoints were told to stop a run of a request, and what they answered. Once
// an order is sent, the end of a run may be its effect. An answer that nothing runs does not show the opposite: the endpoint may have
// stopped the run for that order, or for an earlier one whose answer was lost.
package stoporder

import (
	"slices"
	"sync"

	"birchlink.dev/birchlink/call"
)

// Unanswered is what stands for the answer to an order until there is one.
const Unanswered = "unanswered"

// maxAnswers bounds the answers of one endpoint that are kept.
const maxAnswers = 16

// Log records the orders of one request. Its zero value is ready to use, and its methods may be called concurrently.
type Log struct {
	mu        sync.Mutex
	endpoints map[string]*orders // by ID: orders name no other
}

// orders are those that were sent to one endpoint.
type orders struct {
	sent     int
	answered int
	answers  []string
}

// Count returns the number of orders that were sent to an endpoint.
func (l *Log) Count(endpoint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.endpoints[endpoint]; o != nil {
		return o.sent
	}
	return 0
}

// Send records that an order is about to be sent to an endpoint, and returns its number there, from 1 on.
func (l *Log) Send(endpoint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints == nil {
		l.endpoints = map[string]*orders{}
	}
	o := l.endpoints[endpoint]
	if o == nil {
		o = &orders{}
		l.endpoints[endpoint] = o
	}
	if o.sent++; o.sent <= maxAnswers {
		o.answers = append(o.answers, Unanswered)
	}
	return o.sent
}

// Answer records the answer to an order, or that there will be none.
func (l *Log) Answer(endpoint string, number int, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.endpoints[endpoint]
	if o == nil || answer == Unanswered {
		return
	}
	if o.answered++; number <= len(o.answers) {
		o.answers[number-1] = answer
	}
}

// MayStop reports whether an order has no answer, so that the endpoint may carry it out at any time.
func (l *Log) MayStop(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.endpoints[endpoint]
	return o != nil && o.answered < o.sent
}

// IsNoRun reports whether a single order was sent to an endpoint after the first n, and its answer says that nothing runs.
func (l *Log) IsNoRun(endpoint string, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.endpoints[endpoint]
	return o != nil && o.sent == n+1 && n < len(o.answers) && o.answers[n] == call.NoSuchRun.String()
}

// Answers returns the answers to the orders that were sent to an endpoint, in the order in which these were sent: all that are kept,
// and the number of orders.
func (l *Log) Answers(endpoint string) (answers []string, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.endpoints[endpoint]
	if o == nil {
		return nil, 0
	}
	return slices.Clone(o.answers), o.sent
}
