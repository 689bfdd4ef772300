package engine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
)

// An engine that refuses says for how long it wants nothing; one that does not say so did not run
// the attempt either.
func TestRefusalAsksForRest(t *testing.T) {
	after := "2"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", after)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	c := engine.NewClient("entry-1")
	t.Cleanup(c.Close)
	_, err := c.Generate(t.Context(), s.Listener.Addr().String(), engine.Request{})
	var e *engine.RestError
	require.ErrorAs(t, err, &e)
	require.Equal(t, 2*time.Second, e.For)
	require.ErrorIs(t, err, engine.ErrNotRun)
	after = "later"
	_, err = c.Generate(t.Context(), s.Listener.Addr().String(), engine.Request{})
	require.NotErrorAs(t, err, new(*engine.RestError))
	require.ErrorIs(t, err, engine.ErrNotRun)
}
