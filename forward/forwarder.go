// Package forward carries one call to the endpoints that may answer it: it
// chooses, sends, and decides what follows when an attempt breaks.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/exchange"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/stated"
)

// Codec translates between calls and the headers that endpoints speak.
type Codec interface {
	Head(c *call.Call, a call.Attempt) http.Header
	Outcome(status int, h http.Header) call.Outcome
}

// Sink takes an answer. Head is called once, before the first Event; Whole is
// called instead of both for an answer that is no stream of events.
type Sink interface {
	Head(status int, h http.Header) error
	Event(raw []byte) error
	Whole(status int, h http.Header, body []byte) error
}

// Request is a call with what the configuration says of it.
type Request struct {
	Call    *call.Call
	Route   *catalog.Route
	Service *catalog.Service
	Account *catalog.Account // nil where no key is needed
	Content content.Hash     // what is asked for
	Expires time.Time
}

// AccountName returns the name of the account; empty where no key is needed.
func (q *Request) AccountName() string {
	if q.Account == nil {
		return ""
	}
	return q.Account.Name
}

// Began is told of each request that an endpoint began to run.
type Began func(account string, at time.Time)

// Sent is told of each prompt that is sent to an endpoint.
type Sent func(e endpoint.Endpoint, tokens int)

// Ended is told of each endpoint that is found to have ended.
type Ended func(e endpoint.Endpoint)

// Leaves is told of each endpoint that says in an answer that it leaves.
type Leaves func(e endpoint.Endpoint)

// Stated is told of each limit on the rate of its requests that an endpoint names, lowers or ends.
type Stated func(w stated.Statement)

// Forwarder carries calls. All fields must be set.
type Forwarder struct {
	DataCentre string
	Roster     *endpoint.Roster
	Book       *balance.Balancer
	Pool       *exchange.Pool
	Budget     *budget.Budget
	Meter      *demand.Meter
	Quarantine *quarantine.Quarantine
	Rollouts   *rollout.Gate
	Codec      Codec
	Permit     Permit
	Began      Began
	Sent       Sent
	Ended      Ended
	Leaves     Leaves
	Stated     Stated
	Metrics    metrics.Registry
	Log        zerolog.Logger

	flights flights
}

// Check returns an error if a request is to be sent to no endpoint, since others ended
// under what it asks for, or since none takes any now.
func (f *Forwarder) Check(q Request) error {
	if left, refused := f.Quarantine.Refuses(q.Content, boottime.Now()); refused {
		return errkind.New(errkind.Quarantined, "endpoints of %s ended while they ran this request", q.Service.Name).After(left)
	}
	if left := f.back(q.Service.Name); left > 0 {
		return errkind.New(errkind.NoEndpoint, "no endpoint of %s takes a request now: they rest, or their rates are used up", q.Service.Name).After(left)
	}
	return nil
}

// back returns when the first endpoint of a service takes calls again; zero if one does now,
// or none is known.
func (f *Forwarder) back(service string) time.Duration {
	es, whole := f.Roster.Part(service)
	left := f.Book.RetryAfter(es, boottime.Now())
	if left == 0 || whole {
		return left
	}
	return f.Book.RetryAfter(f.Roster.Serving(service), boottime.Now())
}

// Do carries a request to its end. A nil error means that the sink has the whole
// answer. Another is of a kind of package errkind; if the sink has been given a
// head by then, the answer must be broken off. The trace is for the log.
func (f *Forwarder) Do(c context.Context, q Request, s Sink) (Trace, error) {
	r := &run{f: f, q: q, sink: s, skip: map[string]bool{}, last: q.Call.LastEventID}
	r.trace.Content = q.Content
	f.Budget.CountRequest(q.Service.Name, boottime.Now())
	c, cancel := context.WithTimeout(c, boottime.Until(q.Expires))
	defer cancel()
	for {
		done, err := r.step(c)
		if done || err != nil {
			return r.trace, err
		}
	}
}
