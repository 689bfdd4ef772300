package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/platform/standin"
)

// The load of a leavingTest.
const (
	leavingBoxes    = 4
	leavingServers  = 8   // that serve at any time
	leavingRequests = 200 // in all, unless the environment variable LEAVING_REQUESTS has another number
	leavingEvents   = 24  // of a stream
	leavingSteps    = 6   // of a plain call, each of which takes as long as an event
	leavingWork     = 100 * time.Millisecond

	// leavingAttempts is the number of servers to which a request may be sent.
	leavingAttempts = 2

	// maxLeavingTests bounds the tests that run at the same time.
	maxLeavingTests = 3
)

// leavingServer is a server that leaves while requests run at it.
type leavingServer struct {
	*standin.Server
	test     *leavingTest
	listener *httptest.Server

	// Guarded by the test's lock.
	ended bool
	deaf  bool                     // it accepts no connection, and ends with its last run
	runs  map[string]chan struct{} // by request, closed to break the run off

	vanished chan struct{} // closed when the server's machine vanishes: it closes no connection
}

// leavingTest is a fleet of boxes whose servers leave one after the other, each after as many events of all requests.
type leavingTest struct {
	*platform
	how      string // in which they leave
	requests int    // in all, half of them at the same time
	every    int64  // the events of all requests after which another server leaves
	second   int64  // the events of all requests in a second
	boxes    []*entryBox

	events atomic.Int64

	mu      sync.Mutex
	serving []*leavingServer
	ending  map[int64]*leavingServer    // by the number of events at which they end
	reached map[string][]*leavingServer // by request, the servers that ran it
	excess  map[string][]*leavingServer // of requests that ran at more live servers than allowed
}

// newLeavingTest starts the boxes and the first servers, of which one leaves each interval. If cut is not empty, the first box's links
// to the servers are cut in this way, so that it reaches them through other boxes.
func newLeavingTest(t testing.TB, how, cut string, interval time.Duration) *leavingTest {
	requests := leavingRequests
	if v, err := strconv.Atoi(os.Getenv("LEAVING_REQUESTS")); err == nil {
		requests = v
	}
	second := int64(requests) / 2 * int64(time.Second/leavingWork)
	s := &leavingTest{
		platform: newPlatform(t, 0), how: how, requests: requests, every: second * int64(interval) / int64(time.Second), second: second,
		ending: map[int64]*leavingServer{}, reached: map[string][]*leavingServer{}, excess: map[string][]*leavingServer{},
	}
	s.store.Set(standin.ConfigKey, strings.NewReplacer(
		`"timeout_ms":4000`, `"timeout_ms":60000`, `"max_attempts":3`, fmt.Sprintf(`"max_attempts":%d`, leavingAttempts),
		`"max_conns":500`, `"engine":{"slots":1000,"moves":true,"handle_s":5,"stride":4}`,
	).Replace(standin.Config(1, "api")))
	for range leavingServers {
		s.start()
	}
	first := &links{}
	for i := range leavingBoxes { // with credits for all repeats
		l := &links{}
		if i == 0 {
			l = first
		}
		o := []fx.Option{fx.Replace(httpconn.DialFunc(l.dial))}
		s.boxes = append(s.boxes, s.startBoxWith(fmt.Sprint("box-", i), "north", o, "[reclaim]", "move_requests = yes", "[retries]", "ratio = 10", ""))
	}
	for _, b := range s.boxes {
		require.Eventually(t, func() bool {
			return b.isReady(t) && b.hasMetric(t, "boxes.known", leavingBoxes) && b.hasMetric(t, "endpoints.known", leavingServers)
		}, 20*time.Second, 5*time.Millisecond)
	}
	first.set(cut)
	return s
}

// start starts a server.
func (s *leavingTest) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	v := &leavingServer{
		Server: &standin.Server{ID: fmt.Sprintf("i-%d", s.lastID), Service: "api", Version: "v1", Slots: 1000}, test: s, runs: map[string]chan struct{}{},
		vanished: make(chan struct{}),
	}
	v.listener = httptest.NewServer(v)
	s.t.Cleanup(func() {
		v.listener.CloseClientConnections()
		v.listener.Close()
	})
	s.serving = append(s.serving, v)
	v.record("ready", "")
}

// record writes the server's record, with more fields.
func (v *leavingServer) record(state, more string) {
	k, r := v.Record(v.listener.Listener.Addr().String(), "north", state)
	v.test.store.Set(k, strings.Replace(r, "{", `{`+more, 1))
}

// ServeHTTP runs a request, and moves none. Other calls get the answer of an instance that isn't the one expected.
func (v *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/birchlink/"):
		w.WriteHeader(http.StatusNotFound)
	case r.Header.Get("X-Expect-Instance") != v.ID:
		v.Server.ServeHTTP(w, r)
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		v.run(w, r)
	}
}

// run runs a request until it ends, its caller leaves or it is broken off.
func (v *leavingServer) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	broken := v.begin(id)
	defer v.end(id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	isStream := strings.HasPrefix(r.URL.Path, "/stream/")
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := leavingSteps
	if isStream {
		last = leavingEvents
	}
	for i := from + 1; i <= last; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-v.vanished:
			<-r.Context().Done()
			return
		case <-time.After(leavingWork):
		}
		if isStream {
			fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, id, v.Version)
			_ = http.NewResponseController(w).Flush()
		}
		v.test.countEvent()
	}
	if !isStream {
		fmt.Fprint(w, standin.ExpectedBody(id))
	}
}

// begin records that the server runs a request. It returns a channel that is closed when the run is to break off.
func (v *leavingServer) begin(id string) <-chan struct{} {
	s := v.test
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := make(chan struct{})
	v.runs[id] = broken
	live := map[*leavingServer]bool{v: true}
	for _, o := range s.reached[id] {
		if !o.ended {
			live[o] = true
		}
	}
	s.reached[id] = append(s.reached[id], v)
	if len(live) > leavingAttempts {
		s.excess[id] = s.reached[id]
	}
	return broken
}

// end records that a run has ended.
func (v *leavingServer) end(id string) {
	v.test.mu.Lock()
	defer v.test.mu.Unlock()
	delete(v.runs, id)
	v.ended = v.ended || v.deaf && len(v.runs) == 0
}

// stopListening makes the server accept no more connections. It ends with its last run.
func (v *leavingServer) stopListening() {
	v.test.mu.Lock()
	defer v.test.mu.Unlock()
	_ = v.listener.Listener.Close()
	v.deaf, v.ended = true, len(v.runs) == 0
}

// breakRuns breaks off each run, or each other one.
func (v *leavingServer) breakRuns(step int) {
	v.test.mu.Lock()
	defer v.test.mu.Unlock()
	n := 0
	for _, broken := range v.runs {
		if n++; n%step == 0 {
			close(broken)
		}
	}
}

// countEvent counts an event, and lets the servers leave and end that are due.
func (s *leavingTest) countEvent() {
	n := s.events.Add(1)
	s.mu.Lock()
	due := s.ending[n]
	delete(s.ending, n)
	s.mu.Unlock()
	if due != nil {
		go due.exit()
	}
	if n%s.every == 0 {
		go s.leave(n)
	}
}

// exit ends the server's process.
func (v *leavingServer) exit() {
	v.test.mu.Lock()
	v.ended = true
	v.test.mu.Unlock()
	_ = v.listener.Listener.Close()
	if v.test.how == "vanishes" {
		close(v.vanished)
		return
	}
	v.listener.CloseClientConnections()
}

// leave lets the server leave that has served for the longest time, after n events, once another has started.
func (s *leavingTest) leave(n int64) {
	s.start()
	s.mu.Lock()
	v := s.serving[0]
	s.serving = s.serving[1:]
	s.mu.Unlock()
	switch s.how {
	case "stays": // says that it leaves and stays for as long as its requests run
		v.record("draining", `"leaves_ms":700,`)
	case "ends", "vanishes": // a second after it has said so
		s.mu.Lock()
		s.ending[n+s.second] = v
		s.mu.Unlock()
		v.record("draining", `"leaves_ms":700,`)
	case "breaks": // its runs break off before it says so
		v.breakRuns(1)
		v.record("draining", `"leaves_ms":700,`)
	case "lapses": // its record goes, it accepts no connection, half of its runs break off, and it goes on with the others
		s.store.Delete("servers/" + v.ID)
		v.breakRuns(2)
		v.stopListening()
	case "restarts": // its record shows another start
		v.record("ready", fmt.Sprintf(`"born":%d,`, n))
		s.mu.Lock()
		s.serving = append(s.serving, v)
		s.mu.Unlock()
	default:
		s.t.Errorf("no server leaves as %q", s.how)
	}
}

// play sends the requests, and returns how many were answered completely. Those of the kind "taken-up" are streams that their
// callers take up again at the next box, up to maxTaken times.
func (s *leavingTest) play(kind string) int {
	const maxTaken = 20
	var whole atomic.Int64
	var g errgroup.Group
	g.SetLimit(s.requests / 2)
	for i := range s.requests {
		g.Go(func() error {
			v, tries := &standin.Stream{}, 1
			if kind == "taken-up" {
				tries += maxTaken
			}
			for k := range tries {
				id := fmt.Sprintf("request%d-%d", i, k)
				err := s.try(s.boxes[(i+k)%len(s.boxes)], v, kind, id)
				if err == nil {
					whole.Add(1)
					break
				}
				s.t.Log(id, err)
			}
			return nil
		})
	}
	require.NoError(s.t, g.Wait())
	return int(whole.Load())
}

// try sends a request, and returns an error unless it was answered completely.
func (s *leavingTest) try(b *entryBox, v *standin.Stream, kind, id string) error {
	path := "/stream/x"
	if kind == "call" {
		path = "/again/x"
	}
	q, err := v.NewRequest(b.callersAddress, path, id, time.Minute)
	if err != nil {
		return err
	}
	q.GetBody = nil
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if kind == "call" || a.StatusCode != http.StatusOK {
		body, err := io.ReadAll(a.Body)
		if err != nil || a.StatusCode != http.StatusOK || string(body) != standin.ExpectedBody(id) {
			return fmt.Errorf("status %d, %q: %w", a.StatusCode, body, err)
		}
		return nil
	}
	if err := v.Read(id, a.Body, leavingEvents); err != nil {
		return err
	}
	if v.Events != leavingEvents {
		return fmt.Errorf("%d events", v.Events)
	}
	return nil
}

// Requests must run at no more servers that live on than their routes allow, however servers leave, and each end that is
// announced must be survived: boxes did not count servers that had announced their end, or seemed to have ended.
func TestLeavingServersKeepAttempts(t *testing.T) {
	f, err := os.Open("testdata/leaving.txt")
	require.NoError(t, err)
	defer f.Close()
	places := make(chan struct{}, maxLeavingTests)
	for r := bufio.NewScanner(f); r.Scan(); {
		line := r.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			w := strings.Fields(line)
			interval, err := time.ParseDuration(w[2])
			require.NoError(t, err)
			s := newLeavingTest(t, w[0], strings.Join(w[4:], ""), interval)
			defer func() { stopAll(t, s.boxes) }()
			whole := s.play(w[1])
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("%d of %d requests were whole, %d ran at more servers that live than allowed", whole, s.requests, len(s.excess))
			require.Empty(t, s.excess)
			if w[3] == "all" {
				require.Equal(t, s.requests, whole)
			}
		})
	}
}
