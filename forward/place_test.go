package forward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/occupancy"
)

// A request asks for a place at a few endpoints only, however many there are, and is refused with a time to
// return if none will have one before it has to be refused.
func TestPlaceQuestionsAreBounded(t *testing.T) {
	s := newScript(t)
	asked := 0
	s.f.RequestPlace = func(context.Context, occupancy.Question) (occupancy.Answer, func(bool)) {
		asked++
		return occupancy.Answer{After: time.Hour, Part: 1}, nil
	}
	for i := range 40 {
		s.f.Roster.Put(endpoint.Endpoint{ID: fmt.Sprint("e-", i), Service: "s", Slots: 4, Address: "127.0.0.1:1"})
	}
	s.f.Balancer.Availability.Refusals.Observe("s", endpoint.Limit{Limited: true, PerSecond: 2}, boottime.Now())
	s.setRoute([]string{"idempotent", "3"})
	s.call("", "body", nil)
	require.Equal(t, errkind.NoEndpoint, errkind.Of(s.err).Kind)
	require.Positive(t, errkind.Of(s.err).RetryAfter)
	require.Equal(t, 4, asked)
}
