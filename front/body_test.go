package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against callers that announce large bodies and send nothing, for which all others were refused.
func TestAnnouncedBodiesTakeNoRoom(t *testing.T) {
	const size, callers = 1 << 20, 2 * maxHeldBytes / (1 << 20)
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{MaxBody: size, MaxRequests: callers}, metrics.NewRegistry(), zerolog.Nop())
		read := func(r io.Reader, n int64) error {
			q := httptest.NewRequest(http.MethodPost, "/", r)
			q.ContentLength = n
			_, release, err := f.readBody(t.Context(), &session{w: httptest.NewRecorder(), r: q})
			if err == nil {
				release()
			}
			return err
		}
		var g sync.WaitGroup
		for range callers {
			r, w := io.Pipe()
			g.Go(func() { _ = read(r, size) })
			defer func() { _ = w.Close() }()
		}
		synctest.Wait()
		require.NoError(t, read(strings.NewReader("ordinary"), 8))
	})
}
