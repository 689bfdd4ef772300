package serviceproxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/view"
)

// Guards against refusals of an expectation of the caller that its box has met: the box has read the body.
func TestExpectationsAreRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect") != "" {
			w.WriteHeader(http.StatusExpectationFailed)
		}
	}))
	defer s.Close()
	p := New()
	p.view = &view.View{}
	defer func() { _ = p.Stop(t.Context()) }()
	e := &view.EndpointState{InFlight: &atomic.Int64{}, Endpoint: fleet.Endpoint{Box: fleet.Box{Name: "e", Address: strings.TrimPrefix(s.URL, "http://")}}}
	for _, repeatable := range []bool{false, true} {
		q := Request{Method: http.MethodPost, Path: "/x", Header: http.Header{"Expect": {"100-continue"}}, Body: []byte("body"), Repeatable: repeatable}
		resp, _, err := p.attempt(t.Context(), q, e, 1)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.Status)
	}
}
