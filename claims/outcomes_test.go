package claims

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/stand/kvstore"
)

// Guards against claims that are refused although they are committed, since the answer to the swap is an error of the service or of
// what is in front of it.
func TestClaimCommittedDespiteError(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			s := kvstore.New(1000, 1000)
			var swaps atomic.Int64
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut && swaps.Add(1) == 1 {
					s.ServeHTTP(httptest.NewRecorder(), r)
					w.WriteHeader(status)
					return
				}
				s.ServeHTTP(w, r)
			}))
			defer h.Close()
			c := kv.New(strings.TrimPrefix(h.URL, "http://"), "box", 1000, 1000, metrics.NewRegistry())
			m := &committer{store: c, key: "p", ttl: time.Hour, interval: commitInterval}
			var g sync.WaitGroup
			want := newClaim("k", "a", 1)
			got, err := m.submit(t.Context(), want, func(f func()) { g.Go(f) })
			require.NoError(t, err)
			require.Equal(t, want, got)
			g.Wait()
			require.EqualValues(t, 1, swaps.Load())
		})
	}
}
