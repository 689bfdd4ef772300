// Package stoporder records the orders by which endpoints were told to stop a run of a request, and what they answered.
package stoporder

import (
	"slices"
	"sync"
)

// Unanswered is what stands for the answer to an order until there is one.
const Unanswered = "unanswered"

// maxAnswers bounds the answers of one endpoint that are kept.
const maxAnswers = 16

// Log records the orders of one request. Its zero value is ready to use, and its methods may be called concurrently.
type Log struct {
	mu        sync.Mutex
	endpoints map[string]*orders // by incarnation
}

// orders are those that were sent to one endpoint.
type orders struct {
	sent    int
	answers []string
}

// Send records that an order is about to be sent to an endpoint, and returns its number there, from 1 on.
func (l *Log) Send(incarnation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints == nil {
		l.endpoints = map[string]*orders{}
	}
	o := l.endpoints[incarnation]
	if o == nil {
		o = &orders{}
		l.endpoints[incarnation] = o
	}
	if o.sent++; o.sent <= maxAnswers {
		o.answers = append(o.answers, Unanswered)
	}
	return o.sent
}

// Answer records the answer to an order.
func (l *Log) Answer(incarnation string, number int, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.endpoints[incarnation]; o != nil && number <= len(o.answers) {
		o.answers[number-1] = answer
	}
}

// Answers returns the answers to the orders that were sent to an endpoint, in the order in which these were sent: all that are kept,
// and the number of orders.
func (l *Log) Answers(incarnation string) (answers []string, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.endpoints[incarnation]
	if o == nil {
		return nil, 0
	}
	return slices.Clone(o.answers), o.sent
}
