package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
)

// movingEngine sends events of a stream after Last-Event-Id up to last. Then it ends the stream or, if
// stop is set, calls drain and closes the stream without its end when stop is closed.
type movingEngine struct {
	*standin.Server
	address string
	last    int
	drain   func()
	stop    chan struct{}

	mu    sync.Mutex
	heads []http.Header // of the requests
	moves []string      // bodies of the calls that copy the memory
}

func (e *movingEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.URL.Path == "/birchlink/kv-move" {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.moves = append(e.moves, string(body)); strings.Contains(string(body), `"last":true`) {
			close(e.stop)
		}
		fmt.Fprintf(w, `{"handle":"h%d","created":%d}`, len(e.moves), e.last)
		return
	}
	e.mu.Lock()
	e.heads = append(e.heads, q.Header)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", e.ID)
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
	for i := from + 1; i <= e.last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	if e.stop == nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
	e.drain()
	select {
	case <-e.stop:
	case <-q.Context().Done(): // the box gave the stream up
	}
	panic(http.ErrAbortHandler)
}

func newMovingEngine(t testing.TB, id string, last int) *movingEngine {
	e := &movingEngine{Server: &standin.Server{ID: id, Service: "api", Version: "v1", Slots: 4}, last: last}
	e.address = serve(t, e)
	return e
}

// A stream moves when the record of its server says that it drains, if the settings switch that on and
// the configuration says that the engines can move runs. Otherwise the parts work, but no box uses them.
func TestStreamMovesFromDrainingServer(t *testing.T) {
	p := newPlatform(t, 0)
	p.store.Set(standin.ConfigKey, strings.Replace(standin.Config(1, "api"), `"max_conns":500`, `"engine":{"slots":4,"moves":true,"handle_s":5,"stride":4}`, 1))
	source, target := newMovingEngine(t, "i-1", 2), newMovingEngine(t, "i-2", 4)
	source.stop = make(chan struct{})
	b := p.startBox("a", "north", "[reclaim]", "move_requests = yes", "")
	defer stopAll(t, []*entryBox{b})
	// The server is silent after its notice. With more time left, the stream would stay for now, and the
	// watchdog would resume it after 1.2 s.
	source.drain = func() {
		p.store.Set(target.Record(target.address, "north", "ready"))
		require.Eventually(t, func() bool { return b.hasMetric(t, "endpoints.known", 2) }, 20*time.Second, 5*time.Millisecond)
		k, v := source.Record(source.address, "north", "draining")
		p.store.Set(k, strings.Replace(v, "{", `{"leaves_ms":600,`, 1))
	}
	p.store.Set(source.Record(source.address, "north", "ready"))
	require.Eventually(t, func() bool { return b.isReady(t) && b.hasMetric(t, "endpoints.known", 1) }, 20*time.Second, 5*time.Millisecond)

	q, err := standin.NewRequest(b.callersAddress, "/stream/x", "r1", 10*time.Second)
	require.NoError(t, err)
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n", string(body))
	require.Equal(t, "i-1", a.Header.Get("X-Response-Stamp"))
	require.Len(t, target.heads, 1)
	require.Equal(t, []string{source.address + "/h2", "2"}, []string{target.heads[0].Get("Kv-From"), target.heads[0].Get("Last-Event-Id")})
	require.Len(t, source.moves, 2)
	require.JSONEq(t, `{"id":"r1","target_version":"`+target.address+`","last":false}`, source.moves[0])
	require.True(t, b.hasMetric(t, "moves.moved", 1))
}
