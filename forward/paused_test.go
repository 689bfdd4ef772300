package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
)

// Guards against an endpoint's limit that all boxes forget because a box reads, after it was suspended, a response without the
// limit: the response may be older than what others were told meanwhile, and not every response carries the limit.
func TestResponseReadAfterSuspensionKeepsLimit(t *testing.T) {
	s := newScript(t)
	var other endpointlimit.Rates // of another box
	s.f.OnLimitChange = func(w endpointlimit.Statement) { other.Merge([]endpointlimit.Statement{w}, boottime.Now()) }
	own := &s.f.Balancer.Availability.Rates
	known := func(r *endpointlimit.Rates, id string) bool {
		l, _ := r.Limit(id, boottime.Now())
		return l.Limited
	}
	s.step([]string{"route", "idempotent", "1"}, "")
	s.step([]string{"endpoint", "a", "limit:1", "suspend_ok:3", "ok"}, "")
	e, _ := s.f.Roster.Get("a")
	s.call("", "body", nil)
	require.NoError(t, s.err)
	require.True(t, known(own, e.Incarnation()))

	s.call("", "body", nil)
	s.step([]string{"expect", "error", "no_endpoint"}, "")
	boottime.SimulateSuspension(1100 * time.Millisecond) // until the endpoint takes another request
	other.Observe(e.Incarnation(), endpoint.Limit{Limited: true, PerSecond: 1}, boottime.Now().Add(2*time.Second))
	s.call("", "body", nil)
	require.NoError(t, s.err)
	require.True(t, known(own, e.Incarnation()))
	require.True(t, known(&other, e.Incarnation()))

	boottime.SimulateSuspension(1100 * time.Millisecond)
	s.call("", "body", nil)
	require.NoError(t, s.err)
	require.False(t, known(own, e.Incarnation()), "a response to a request that was sent later removes the limit")
}
