package stream

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/recovery"
)

// Guards against attempts that run at two engines: one that is read on by an engine which refuses to answer may run all the same. Only 404
// states that the engine never received it.
func TestRefusedResumeOfEngine(t *testing.T) {
	want := map[int]recovery.Interruption{
		http.StatusNotFound: recovery.NeverSeen, http.StatusPreconditionFailed: recovery.Restarted,
	}
	for status := http.StatusMultipleChoices; status <= 599; status++ {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(status)
		}))
		c := engine.NewClient("box")
		e := engineExecutor{client: c, address: strings.TrimPrefix(h.URL, "http://")}
		_, err := e.Resume(t.Context(), engine.Attempt{})
		require.Error(t, err)
		i, ok := want[status]
		if !ok {
			i = recovery.Disconnected
		}
		require.Equal(t, i, classifyOpenError(err, true), strconv.Itoa(status))
		c.Close()
		h.Close()
	}
}
