package engine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
)

// A refusal with a valid Retry-After returns a *BackOffError; one with an invalid value returns
// ErrNotRun alone.
func TestGenerateReturnsBackOff(t *testing.T) {
	after := "2"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", after)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	c := engine.NewClient("entry-1")
	t.Cleanup(c.Close)
	_, err := c.Generate(t.Context(), s.Listener.Addr().String(), engine.Request{})
	var e *engine.BackOffError
	require.ErrorAs(t, err, &e)
	require.Equal(t, 2*time.Second, e.Duration)
	require.ErrorIs(t, err, engine.ErrNotRun)
	after = "later"
	_, err = c.Generate(t.Context(), s.Listener.Addr().String(), engine.Request{})
	require.NotErrorAs(t, err, new(*engine.BackOffError))
	require.ErrorIs(t, err, engine.ErrNotRun)
}
