package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/shutdown"
)

// Guards against connections to endpoints, and quota, for requests that a box that shuts down can't send.
func TestStoppingBoxConnectsInVain(t *testing.T) {
	s := newScript(t)
	s.step([]string{"route", "idempotent", "2"}, "")
	s.step([]string{"endpoint", "a", "ok"}, "")
	s.f.Shutdown = &shutdown.Window{}
	s.f.Shutdown.Begin(boottime.Now(), time.Second, 2*time.Second)
	q := forward.Request{
		Call: &call.Call{ID: "1", Arrived: boottime.Now()}, Route: &s.route, Service: &catalog.Service{Name: "s"}, Expires: boottime.Now().Add(time.Minute),
	}
	require.True(t, errkind.Is(s.f.Check(q), errkind.Stopping))
	_, err := s.f.Do(context.Background(), q, &recorder{})
	require.True(t, errkind.Is(err, errkind.Stopping))
	s.step([]string{"expect", "connections", "a", "0"}, "")
}
