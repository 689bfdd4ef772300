package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
)

// admit decides whether an attempt is made. It returns the choice to send to, which differs from ch
// if only another endpoint can begin the request before its deadline. A request that may have run is
// always admitted, because a refusal states that it did not.
func (r *run) admit(c context.Context, ch balance.Choice) (balance.Choice, error) {
	if !r.f.Admission.DeadlineCheck || r.mayHaveRun {
		return ch, nil
	}
	if _, d := r.checkDeadline(ch); !d.Refused() {
		return ch, nil
	}
	q := r.newQuery()
	q.Fastest = true
	best, _, ok := r.find(q)
	if !ok {
		best = ch
	}
	in, d := r.checkDeadline(best)
	if d.Refused() {
		return ch, r.refuse(best, in, d)
	}
	hadPermit := r.hasPermit
	p := permitState{started: boottime.Now()}
	if best.Endpoint.ID == ch.Endpoint.ID || r.acquirePermit(c, &p, best.Endpoint) && r.acquirePlace(c, &p, best.Endpoint) {
		return best, nil
	}
	r.hasPermit = hadPermit
	return ch, nil
}

// checkDeadline decides on the request if ch is the endpoint that begins it first.
func (r *run) checkDeadline(ch balance.Choice) (admission.Input, admission.Decision) {
	now := boottime.Now()
	in := admission.Input{Expected: ch.Expected, Left: r.q.Expires.Sub(now), LoadAge: ch.LoadAge, Random: rand.Float64()}
	in.Ratio, in.Samples = r.f.Accuracy.Quantile(r.accuracyKey(), admission.OptimisticQuantile, now)
	return in, admission.Decide(in)
}

// refuse logs and counts a refusal and returns its error.
func (r *run) refuse(ch balance.Choice, in admission.Input, d admission.Decision) error {
	// The request is part of the service's demand, which decides how many endpoints are wanted.
	r.f.Meter.Begin(r.q.Service.Name, r.addedTokens(ch), boottime.Now())()
	metrics.GetOrRegisterCounter("admission.refused."+string(d.Reason), r.f.Metrics).Inc(1)
	r.f.Log.Info().Str("event", "admission").Str("request", r.q.Call.ID).Str("route", r.q.Route.Name).Str("account", r.q.AccountName()).
		Str("refused", string(d.Reason)).Int("attempts", len(r.reached)).Str("endpoint", ch.Endpoint.ID).Int("running", ch.Running).Dur("expected", in.Expected).Dur("left", in.Left).
		Dur("load_age", in.LoadAge).Float64("ratio", in.Ratio).Float64("samples", in.Samples).Dur("earliest", d.Earliest).Dur("after", d.RetryAfter).
		Msg("no endpoint can begin the request before its deadline")
	err := errkind.New(errkind.WaitTooLong, "the wait for an endpoint of %s is %v or longer, and %v are left",
		r.q.Service.Name, d.Earliest.Round(time.Millisecond), in.Left.Round(time.Millisecond))
	if d.Reason == admission.DeadlinePassed {
		err = errkind.New(errkind.WaitTooLong, "the deadline passed before an endpoint of %s began the request", r.q.Service.Name)
	}
	return err.WithRetryAfter(max(d.RetryAfter, r.f.retryAfter(r.q.Service.Name)))
}

func (r *run) accuracyKey() accuracy.Key {
	return accuracy.Key{Service: r.q.Service.Name, Route: r.q.Route.Name}
}

// recordAnswer records that the first event of an attempt belonged to an answer.
func (r *run) recordAnswer(n *balance.Attempt) {
	n.RecordAnswer()
	r.recordWait()
	r.shared.succeeded.Store(true)
}

// recordExpiry records the wait of an attempt that may have run and had no event at its deadline. The time to its
// first event would have been longer.
func (r *run) recordExpiry(out attemptResult) {
	if out.eventCount == 0 && boottime.Until(r.q.Expires) <= 0 {
		r.recordWait()
	}
}

// newErrorHistogram returns a histogram of the answers of the last minutes.
func newErrorHistogram() metrics.Histogram {
	const size, alpha = 512, 0.015
	return metrics.NewHistogram(metrics.NewExpDecaySample(size, alpha))
}

// recordWait records the time since the attempt was sent against the time expected. Without recent load
// reports the expected time lacks the load of other boxes. Its error would be wrong once reports
// arrive again, so it is not recorded.
func (r *run) recordWait() {
	if !r.f.Admission.DeadlineCheck || r.trace.Choice.LoadAge > admission.MaxLoadAge || r.trace.Via != "" || r.f.Pool.IsLost(r.trace.Choice.Endpoint.ID) {
		return
	}
	now := boottime.Now()
	expected, observed := r.trace.Choice.Expected, now.Sub(r.attemptSent)
	r.f.Accuracy.Observe(r.accuracyKey(), expected, observed, now)
	if expected > 0 {
		h := r.f.Metrics.GetOrRegister("admission.observed_percent."+r.q.Service.Name, newErrorHistogram).(metrics.Histogram)
		h.Update(int64(100 * observed / expected))
	}
}
