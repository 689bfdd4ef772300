package forward

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
)

// SpendFunc spends a credit of this box, or one that another box lends, for a repeat of a request to a service. The
// lender is the address of the other box; empty for a credit of this one.
type SpendFunc func(c context.Context, service string) (lender string, ok bool)

// payment is how a repeat was paid for, as a value in logs and a part of the names of metrics.
type payment string

// The payments.
const (
	paid      payment = "paid"
	borrowed  payment = "borrowed"  // another box lent the credit
	overdrawn payment = "overdrawn" // there was no credit after the repeat, and the next one is taken for it
	denied    payment = "denied"    // the repeat was not made
)

// Causes of repeats besides the names of interruptions.
const (
	causeContinuation = "continuation" // the arrival was to continue a moved run and was not accepted
	causeSilent       = "silent"       // the endpoint was silent, and the attempt there may go on
	causeDraining     = "draining"     // the stream was resumed before its endpoint ended
	causeUnprovenEnd  = "unproven_end" // the stream ended without an event; the same endpoint is asked again
)

// credit pays for the next arrival of a request that has arrived at an endpoint before.
type credit struct {
	cause    string            // how the arrival before it ended
	endpoint endpoint.Endpoint // where it ended
	lender   string
}

// payment returns how the repeat is paid for.
func (c *credit) payment() payment {
	if c.lender != "" {
		return borrowed
	}
	return paid
}

// spendCredit spends a credit of this box or of another.
func (f *Forwarder) spendCredit(c context.Context, service string) (lender string, ok bool) {
	if f.SpendCredit != nil {
		return f.SpendCredit(c, service)
	}
	return "", f.Budget.Spend(service, boottime.Now())
}

// takeCredit takes a credit for the next arrival of the request, unless it has one. An attempt that reaches no
// endpoint leaves it for the next one.
func (r *run) takeCredit(c context.Context, cause string, e endpoint.Endpoint) bool {
	if r.credit == nil {
		r.credit = r.stream.takeCredit()
	}
	if r.credit != nil {
		return true
	}
	lender, ok := r.f.spendCredit(c, r.q.Service.Name)
	if !ok {
		r.recordRepeat(denied, cause, e, "")
		return false
	}
	r.credit = &credit{cause, e, lender}
	return true
}

// recordArrival records that the request is about to arrive at an endpoint. A continuation needs no credit: if it is
// accepted, it is the same run.
func (r *run) recordArrival() {
	if r.shared.firstSent.Load() == nil {
		now := boottime.Now()
		r.shared.firstSent.CompareAndSwap(nil, &now)
	}
	if k := r.credit; k != nil && r.continued == nil {
		r.credit = nil
		r.recordRepeat(k.payment(), k.cause, k.endpoint, k.lender)
	}
}

// payContinuation pays for a continuation that arrived at an endpoint and was not accepted. It pays after the fact, because
// a run that is not continued may be lost. It returns false if there is no credit: the next one is taken then, and
// there must not be more such arrivals than needed.
func (r *run) payContinuation(c context.Context, out attemptResult, e endpoint.Endpoint) bool {
	if out.isAccepted() || out.isNotSent() {
		return true
	}
	lender, ok := r.f.spendCredit(c, r.q.Service.Name)
	if !ok {
		r.f.Budget.Charge(r.q.Service.Name, boottime.Now())
		r.recordRepeat(overdrawn, causeContinuation, e, "")
		return false
	}
	k := credit{causeContinuation, e, lender}
	r.recordRepeat(k.payment(), k.cause, k.endpoint, k.lender)
	return true
}

// recordRepeat logs and counts a repeat: an arrival at an endpoint of a request that has arrived at one
// before. The cause is how the arrival before it ended, and e is the endpoint where it did.
func (r *run) recordRepeat(p payment, cause string, e endpoint.Endpoint, lender string) {
	service := r.q.Service.Name
	metrics.GetOrRegisterCounter("repeats."+service+"."+string(p)+"."+cause, r.f.Metrics).Inc(1)
	requests, repeats := r.f.Budget.Counts(service, boottime.Now())
	l := r.f.Log.Info().Str("event", "repeat").Str("request", r.q.Call.ID).Str("service", service).Str("endpoint", e.ID).Str("cause", cause).
		Str("payment", string(p)).Int("attempt", len(r.reached)).Int("requests", requests).Int("repeats", repeats)
	if lender != "" {
		l.Str("lender", lender)
	}
	l.Msg("decision")
}

// isAccepted reports whether the endpoint continued the run that the attempt was to continue.
func (r attemptResult) isAccepted() bool { return r.done || r.stopped != nil || r.eventCount > 0 }

// isNotSent reports whether the request did not arrive at the endpoint.
func (r attemptResult) isNotSent() bool {
	return !r.done && (r.interruption == recovery.Unreachable || r.interruption == recovery.NeverSeen)
}
