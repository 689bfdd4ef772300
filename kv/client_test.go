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

// A thousand calls in an outage ask the service a handful of times, and the
// first call after the pause finds it again.
func TestBackOffDuringOutage(t *testing.T) {
	var asked atomic.Int64
	var away atomic.Bool
	away.Store(true)
	store := kvstore.New(1000, 1000)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if away.Load() {
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
	require.Less(t, asked.Load(), int64(50))
	away.Store(false)
	require.Eventually(t, func() bool {
		_, err := c.Get(t.Context(), "k")
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

// The box's own budget bounds its calls, whatever asks.
func TestCallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		c := kv.New("127.0.0.1:1", "box", 5, 5, metrics.NewRegistry())
		kv.SetTransport(c, roundTripFunc(func(*http.Request) (*http.Response, error) {
			asked.Add(1)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
		}))
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			_, err := c.Get(t.Context(), "k")
			require.NoError(t, err)
		}
		require.LessOrEqual(t, asked.Load(), int64(5*10+11))
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A swap against the present revision wins, one against an older is told what
// is in force, and one whose answer is lost is not known to have failed.
func TestSwap(t *testing.T) {
	s := kvstore.New(1000, 1000)
	c := kv.New(startServer(t, s), "box", 1000, 1000, metrics.NewRegistry())
	first, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("1")})
	require.NoError(t, err)
	now, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("2")})
	require.ErrorIs(t, err, kv.ErrConflict)
	require.Equal(t, "1", string(now.Value))
	require.Equal(t, first.Rev, now.Rev)
	s.Faults.Set(faults.Mode{Name: "lost_answer", Left: 1})
	_, err = c.Swap(t.Context(), kv.Entry{Key: "k", Rev: now.Rev, Value: []byte("3")})
	require.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	require.Eventually(t, func() bool {
		e, err := c.Get(t.Context(), "k")
		return err == nil && string(e.Value) == "3"
	}, time.Minute, 10*time.Millisecond)
	_, err = c.Swap(t.Context(), kv.Entry{Key: "k", Value: make([]byte, kv.MaxValue+1)})
	require.ErrorContains(t, err, "over")
}
