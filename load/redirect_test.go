package load_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/load"
)

// Guards against answers of other locations that are taken for those of the box, and against requests that are sent twice.
func TestRedirects(t *testing.T) {
	for _, status := range statustest.Redirects {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(status+" "+method, func(t *testing.T) {
				t.Parallel()
				s := statustest.NewRedirector(t, status, "body")
				c := load.Client{Balancer: &load.Balancer{Boxes: []string{s.Address}}, HTTP: load.NewHTTP()}
				o := c.Send(t.Context(), load.Spec{Service: "s", Method: method, Path: "/x", Guard: load.NotRepeatable, Deadline: time.Minute})
				require.False(t, o.Answered)
				require.Equal(t, 1, o.Sends)
				require.EqualValues(t, 1, s.Requests.Load())
			})
		}
	}
}

// Guards against boxes that count as ready since another location answers 200.
func TestRedirectedReadinessCheck(t *testing.T) {
	for _, status := range statustest.Redirects {
		away, ready := statustest.NewRedirector(t, status, ""), statustest.NewServer(t, "200", "", "")
		b := &load.Balancer{Boxes: []string{away.Address, ready.Address}}
		b.CheckAll(t.Context())
		for range b.Boxes {
			require.Equal(t, ready.Address, b.Next(), status)
		}
	}
}
