package kv_test

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/kv"
)

// Guards against errors of the service that are taken for the statement that a swap was not done.
func TestOutcomes(t *testing.T) {
	const body = `{"key":"k","rev":1}`
	var status atomic.Int64
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write([]byte(body))
	}))
	wrongSwaps, wrongReads := map[int]error{}, map[int]error{}
	for n := http.StatusMultipleChoices; n <= 599; n++ {
		status.Store(int64(n))
		want := kv.ErrOutcomeUnknown
		switch n {
		case http.StatusConflict:
			want = kv.ErrConflict
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			want = kv.ErrUnavailable
		}
		if _, err := kv.New(address, "box", 100, 100, metrics.NewRegistry()).Swap(t.Context(), kv.Entry{Key: "k"}); !isOnly(err, want) {
			wrongSwaps[n] = err
		}
		if _, err := kv.New(address, "box", 100, 100, metrics.NewRegistry()).Get(t.Context(), "k"); !isOnly(err, kv.ErrUnavailable) {
			wrongReads[n] = err
		}
	}
	require.Empty(t, wrongSwaps)
	require.Empty(t, wrongReads)
}

// isOnly reports whether err is want, and none of the client's other errors.
func isOnly(err, want error) bool {
	for _, e := range []error{kv.ErrConflict, kv.ErrOutcomeUnknown, kv.ErrUnavailable} {
		if errors.Is(err, e) != errors.Is(e, want) {
			return false
		}
	}
	return true
}
