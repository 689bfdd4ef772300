// Package forward sends a request to an endpoint of its service and passes the response to the
// caller. If an attempt fails, it retries the request at another endpoint where the kind of the
// request, its route's limits and the service's retry budget allow that. Streams can resume at
// another endpoint after the last event that the caller received.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/answertimes"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endmark"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/liveness"
	"birchlink.dev/birchlink/numbering"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/termination"
)

// Codec translates between calls and the HTTP headers of the endpoints.
type Codec interface {
	// Head returns the header of the request that attempt a sends.
	Head(c *call.Call, a call.Attempt) http.Header
	// Outcome returns what the status and header of a response report about the request and the
	// endpoint.
	Outcome(status int, h http.Header) call.Outcome
}

// Sink receives a response. For a stream of events, Head is called once before the first Event. For
// any other response, Response is called instead.
type Sink interface {
	Head(status int, h http.Header) error
	Event(raw []byte) error
	Response(status int, h http.Header, body []byte) error
}

// Request is a call with its configuration.
type Request struct {
	Call    *call.Call
	Route   *catalog.Route
	Service *catalog.Service
	Account *catalog.Account   // nil if the route needs no key
	Content requesthash.Hash   // identifies requests with the same content
	Parts   []requesthash.Hash // of the prompt that other requests may share
	Expires time.Time          // deadline, on the clock of package boottime

	// Version is the software version at which the stream began that the request takes up again; empty if it begins one.
	Version string
}

// AccountName returns the name of the account, or "" if the route needs no key.
func (q *Request) AccountName() string {
	if q.Account == nil {
		return ""
	}
	return q.Account.Name
}

// items returns what other requests that crash endpoints may have in common with this one.
func (q *Request) items() quarantine.Request {
	return quarantine.Request{Content: q.Content, Parts: q.Parts}
}

// StartFunc is called once for each request of an account that an endpoint begins to run.
type StartFunc func(account string, at time.Time)

// BeginFunc is called when the first event of a resumable stream has arrived from an endpoint, before it is passed to the
// caller, and with the first event of a request that takes one up again. It must not block.
type BeginFunc func(q *Request, e endpoint.Endpoint)

// SendFunc is called for each attempt, with the prompt tokens sent to the endpoint.
type SendFunc func(e endpoint.Endpoint, tokens int)

// CrashFunc is called for each endpoint that is found to have crashed.
type CrashFunc func(e endpoint.Endpoint)

// DrainFunc is called for each endpoint that reports in a response that it is draining.
type DrainFunc func(e endpoint.Endpoint)

// LimitFunc is called when an endpoint sets, lowers or removes the limit on its request rate.
type LimitFunc func(s endpointlimit.Statement)

// Forwarder forwards requests. All exported fields must be set, except SpendCredit, Terminations, Moves, Health, OnBegin, Admission, Shutdown,
// Accuracy, Liveness, EndMarks, AnswerTimes and Numbering.
type Forwarder struct {
	DataCentre    string
	Roster        *endpoint.Roster
	Balancer      *balance.Balancer
	Pool          *httpconn.Pool
	Budget        *budget.Budget
	SpendCredit   SpendFunc // nil: credits of this box alone
	Meter         *demand.Meter
	Quarantine    *quarantine.Quarantine
	Terminations  *termination.Detector // nil: no process is found to have ended
	Rollouts      *rollout.Gate
	Unsettled     UnsettledFunc // nil: streams begin at any version
	Codec         Codec
	Moves         MoveCodec   // nil if running requests are not moved
	Health        HealthCodec // nil if endpoints have no health checks
	RequestPermit PermitFunc
	RequestPlace  PlaceFunc
	OnStart       StartFunc
	OnBegin       BeginFunc
	OnSend        SendFunc
	OnCrash       CrashFunc
	OnDraining    DrainFunc
	OnLimitChange LimitFunc
	Admission     admission.Options // zero: all decisions are off
	Shutdown      *shutdown.Window  // nil: the box never shuts down
	Metrics       metrics.Registry
	Log           zerolog.Logger

	// Accuracy holds the errors of the expected times to the first event.
	Accuracy accuracy.Tracker

	// Liveness knows which processes of endpoints have outlived the ends of their connections.
	Liveness liveness.Prober

	// EndMarks knows which services end their streams with the same event.
	EndMarks endmark.Census

	// AnswerTimes holds how long answers take, of which Shutdown is told.
	AnswerTimes answertimes.Tracker

	// Numbering knows which services count the events of their streams.
	Numbering numbering.Census

	attempts attemptSet
	streams  streamSet
}

// Check returns an error if a request must not be sent to any endpoint: its content is quarantined
// because endpoints crashed while they ran it, no endpoint of the service accepts requests now, or the box shuts down before its
// answer ends.
func (f *Forwarder) Check(q Request) error {
	if err := f.CheckShutdown(&q); err != nil {
		return err
	}
	_, err := f.judge(q)
	return err
}

// judge returns the verdict of the quarantine on a request, or an error if the request must not be sent to any endpoint.
func (f *Forwarder) judge(q Request) (quarantine.Verdict, error) {
	v := f.Quarantine.Judge(q.items(), f.versionsFunc(q.Service.Name), boottime.Now())
	if v.Refused {
		return v, errkind.New(errkind.Quarantined, "endpoints of %s ended while they ran this request or others with a part of its prompt", q.Service.Name).WithRetryAfter(v.RetryAfter)
	}
	if left := f.retryAfter(q.Service.Name); left > 0 {
		return v, errkind.New(errkind.NoEndpoint, "no endpoint of %s takes a request now: they rest, or their rates are used up", q.Service.Name).WithRetryAfter(left)
	}
	return v, nil
}

// retryAfter returns the time until the first endpoint of a service accepts requests. It is zero
// if one does now or none is known.
func (f *Forwarder) retryAfter(service string) time.Duration {
	es, all := f.Roster.Subset(service)
	left := f.Balancer.RetryAfter(es, boottime.Now())
	if left == 0 || all {
		return left
	}
	return f.Balancer.RetryAfter(f.Roster.Serving(service), boottime.Now())
}

// Do forwards a request. If the error is nil, the sink has received the complete response. Errors
// are of package errkind; if the sink has received a head before, the caller of Do must abort the
// response. The trace is for the log.
func (f *Forwarder) Do(c context.Context, q Request, s Sink) (Trace, error) {
	r := &run{f: f, q: q, sink: s, shared: &shared{}, tried: map[string]bool{}, answer: f.newAnswer(&q, q.Call.LastEventID)}
	r.trace.Content, r.trace.Parts = q.Content, q.Parts
	if q.Version != "" {
		r.begun = &endpoint.Endpoint{Service: q.Service.Name, Version: q.Version}
	}
	f.Budget.CountRequest(q.Service.Name, boottime.Now())
	c, cancel := context.WithTimeout(c, boottime.Until(q.Expires))
	defer cancel()
	defer f.Pool.Budget.Release(r)
	for {
		done, err := r.step(c)
		if done || err != nil {
			r.trace.FirstSent = r.shared.sentAt()
			r.recordAnswerTime(c, err)
			return r.trace, err
		}
	}
}
