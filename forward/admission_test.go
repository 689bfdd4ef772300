package forward_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/requesthash"
)

// send sends a request of the script's route with the time that is left until its deadline.
func (s *script) send(left time.Duration, change func(*forward.Request)) error {
	q := forward.Request{
		Call:  &call.Call{ID: "1", Method: http.MethodPost, Host: "h", Target: "/x", Arrived: boottime.Now()},
		Route: &s.route, Service: &catalog.Service{Name: "s"}, Expires: boottime.Now().Add(left), Content: requesthash.Hash(1),
	}
	change(&q)
	_, err := s.f.Do(context.Background(), q, &recorder{})
	return err
}

// newShortage returns a script with one endpoint whose service takes a thousand times as long as
// expected, so that no request can begin before its deadline.
func newShortage(t *testing.T, behaviours ...string) *script {
	s := newScript(t)
	s.f.Admission.DeadlineCheck = true
	s.step([]string{"route", "idempotent", "3"}, "")
	s.step(append([]string{"endpoint", "a"}, behaviours...), "")
	s.makeShort()
	return s
}

func (s *script) makeShort() {
	for range 40 {
		s.f.Accuracy.Observe(accuracy.Key{Service: "s"}, time.Millisecond, time.Second, boottime.Now())
	}
}

// A request that is known to be lost is refused with a retry time and reaches no endpoint. Its tokens
// count as demand, so that endpoints are ordered for it.
func TestLostRequestIsRefused(t *testing.T) {
	var out bytes.Buffer
	s := newShortage(t, "ok")
	s.f.Log = zerolog.New(&out)
	s.call("", "body", nil)
	s.step([]string{"expect", "error", "wait_too_long"}, "")
	require.Equal(t, errkind.NotRun, errkind.WaitTooLong.Response().Run)
	require.Positive(t, errkind.Of(s.err).RetryAfter)
	s.step([]string{"expect", "asked", "a", "0"}, "")
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter("admission.refused.wait_too_long", s.f.Metrics).Count())
	for _, field := range []string{"expected", "left", "load_age", "ratio", "samples", "earliest", "after"} {
		require.Contains(t, out.String(), `"`+field+`":`)
	}
}

// The check must not act while it is off, or on load reports older than a second.
func TestLostRequestIsSentWithoutKnowledge(t *testing.T) {
	s := newShortage(t, "ok")
	s.f.Balancer.SetRemoteLoad(map[string]balance.Load{"a": {Running: 1}}, 1, boottime.Now().Add(-2*time.Second))
	_, before := s.f.Accuracy.Quantile(accuracy.Key{Service: "s"}, 0.5, boottime.Now())
	s.call("", "body", nil)
	s.step([]string{"expect", "status", "200"}, "")
	_, after := s.f.Accuracy.Quantile(accuracy.Key{Service: "s"}, 0.5, boottime.Now())
	require.LessOrEqual(t, after, before, "the error of a prediction without recent load reports")
	s = newShortage(t, "ok")
	s.f.Admission.DeadlineCheck = false
	s.call("", "body", nil)
	s.step([]string{"expect", "status", "200"}, "")
}

// The check applies again before the next attempt of a request that an endpoint refused, and never
// to one that may have run: 503 would state that it did not.
func TestCheckAfterFailedAttempt(t *testing.T) {
	for behaviour, want := range map[string]string{"shed": "wait_too_long", "close": "200"} {
		s := newScript(t)
		s.f.Admission.DeadlineCheck = true
		s.step([]string{"route", "idempotent", "3"}, "")
		s.step([]string{"endpoint", "a", behaviour}, "")
		s.f.OnSend = func(endpoint.Endpoint, int) {
			s.makeShort()
			s.endpoints["b"] = newFakeEndpoint(t, "b", []string{"ok"})
			s.f.Roster.Put(endpoint.Endpoint{ID: "b", Service: "s", Slots: 4, Address: s.endpoints["b"].listener.Addr().String()})
		}
		s.call("", "body", nil)
		if want == "200" {
			s.step([]string{"expect", "status", want}, "")
		} else {
			s.step([]string{"expect", "error", want}, "")
		}
	}
}

// A deadline that passed before a run is a refusal: the caller may return. One that passed during a
// run is not.
func TestDeadlinePassedBeforeRun(t *testing.T) {
	s := newScript(t)
	s.step([]string{"route", "mutating", "3"}, "")
	s.step([]string{"endpoint", "a", "suspend:6"}, "")
	for check, want := range map[bool]errkind.Kind{false: errkind.DeadlineTooShort, true: errkind.WaitTooLong} {
		s.f.Admission.DeadlineCheck = check
		require.Equal(t, want, errkind.Of(s.send(0, func(*forward.Request) {})).Kind)
	}
	s.f.Admission.DeadlineCheck = true
	s.call("", "body", nil)
	s.step([]string{"expect", "error", "outcome_unknown"}, "")
}

// The errors of predictions are recorded from answers, and from waits that ended at the deadline.
func TestPredictionErrorsAreRecorded(t *testing.T) {
	s := newScript(t)
	s.f.Admission.DeadlineCheck = true
	s.step([]string{"route", "idempotent", "1"}, "")
	s.step([]string{"endpoint", "a", "ok"}, "")
	s.call("", "body", nil)
	_, samples := s.f.Accuracy.Quantile(accuracy.Key{Service: "s"}, 0.5, boottime.Now())
	require.InDelta(t, 1, samples, 0.01)
	s.step([]string{"endpoint", "a", "mute"}, "")
	require.Error(t, s.send(20*time.Millisecond, func(*forward.Request) {}))
	_, samples = s.f.Accuracy.Quantile(accuracy.Key{Service: "s"}, 0.5, boottime.Now())
	require.InDelta(t, 2, samples, 0.02)
	h := s.f.Metrics.Get("admission.observed_percent.s").(metrics.Histogram)
	require.EqualValues(t, 2, h.Count())
}
