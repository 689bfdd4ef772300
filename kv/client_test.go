package kv_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/stand/faults"
	"birchlink.dev/birchlink/stand/kvstore"
)

func startServer(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// During an outage, back-off keeps 1000 calls from reaching the service more than a few times. The
// first call after the back-off period finds the service available again.
func TestBackOffDuringOutage(t *testing.T) {
	var calls atomic.Int64
	var unavailable atomic.Bool
	unavailable.Store(true)
	store := kvstore.New(1000, 1000)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if unavailable.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})
	c := kv.New(startServer(t, h), "box", 1000, 1000, metrics.NewRegistry())
	for range 1000 {
		_, err := c.Get(t.Context(), "k")
		require.ErrorIs(t, err, kv.ErrUnavailable)
	}
	require.Less(t, calls.Load(), int64(50))
	unavailable.Store(false)
	require.Eventually(t, func() bool {
		_, err := c.Get(t.Context(), "k")
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

// The client limits its calls to its budget, however often it is used.
func TestCallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		c := kv.New("127.0.0.1:1", "box", 5, 5, metrics.NewRegistry())
		kv.SetTransport(c, roundTripFunc(func(*http.Request) (*http.Response, error) {
			calls.Add(1)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
		}))
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			_, err := c.Get(t.Context(), "k")
			require.NoError(t, err)
		}
		require.LessOrEqual(t, calls.Load(), int64(5*10+11))
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A swap succeeds at the current revision and fails with the current entry at an older one. If the
// response is lost, the outcome is unknown, although the swap took effect.
func TestSwap(t *testing.T) {
	s := kvstore.New(1000, 1000)
	c := kv.New(startServer(t, s), "box", 1000, 1000, metrics.NewRegistry())
	first, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("1")})
	require.NoError(t, err)
	current, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("2")})
	require.ErrorIs(t, err, kv.ErrConflict)
	require.Equal(t, "1", string(current.Value))
	require.Equal(t, first.Rev, current.Rev)
	s.Faults.Set(faults.Fault{Name: "lost_answer", Remaining: 1})
	_, err = c.Swap(t.Context(), kv.Entry{Key: "k", Rev: current.Rev, Value: []byte("3")})
	require.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	require.Eventually(t, func() bool {
		e, err := c.Get(t.Context(), "k")
		return err == nil && string(e.Value) == "3"
	}, time.Minute, 10*time.Millisecond)
	_, err = c.Swap(t.Context(), kv.Entry{Key: "k", Value: make([]byte, kv.MaxValue+1)})
	require.ErrorContains(t, err, "over")
}
