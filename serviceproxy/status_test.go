package serviceproxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/view"
)

// Guards against answers with invalid statuses that reach callers, and that ask for a back-off. The endpoint may have run the request.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range statustest.Invalid {
		for _, repeatable := range []bool{false, true} {
			s := statustest.NewServer(t, status, "Retry-After: 60\r\n", "body")
			p := New()
			defer p.pooled.CloseIdleConnections()
			p.view = &view.View{}
			e := &view.EndpointState{InFlight: &atomic.Int64{}, Endpoint: fleet.Endpoint{Box: fleet.Box{Name: "e", Address: s.Address}, Load: fleet.Load{Incarnation: "i"}}}
			resp, interruption, err := p.attempt(t.Context(), Request{Method: http.MethodGet, Path: "/x", Repeatable: repeatable}, e, 1)
			require.Error(t, err, "status %s: %v", status, resp)
			require.Equal(t, recovery.Disconnected, interruption)
			require.Error(t, p.askIncarnation(t.Context(), e))
		}
	}
}
