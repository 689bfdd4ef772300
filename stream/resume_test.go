package stream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/peer"
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

// Guards against attempts that run at two endpoints: one whose box answers no further calls runs there all the same.
func TestRefusedResumeOfPeer(t *testing.T) {
	n := peer.NewNode("127.0.0.1:0", "", "secret", metrics.NewRegistry())
	require.NoError(t, n.Start(t.Context(), nil))
	defer func() { require.NoError(t, n.Stop(context.Background())) }()
	refusal := errkind.BoxFull
	n.Server.Handle("stream.relay", func(context.Context, []byte, func(any) error) (any, error) {
		return nil, errkind.New(refusal, "refused")
	})
	e := peerExecutor{client: n.Client, address: n.Server.Address(), stream: newStream(Request{ID: "s"})}
	_, err := e.Resume(t.Context(), engine.Attempt{})
	require.Equal(t, recovery.Disconnected, classifyOpenError(err, true))
	_, err = e.Generate(t.Context(), engine.Request{})
	require.Equal(t, recovery.Refused, classifyOpenError(err, false))
	refusal = errkind.NoEndpoint
	_, err = e.Resume(t.Context(), engine.Attempt{})
	require.Equal(t, recovery.NeverSeen, classifyOpenError(err, true))
}
