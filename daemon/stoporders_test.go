package daemon_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/wait"
)

// The fleet and the load of a stopOrdersTest.
const (
	stopOrdersBoxes   = 4
	stopOrdersServers = 12                     // that serve at any time; each of the first ones leaves
	stopOrdersStreams = 200                    // at once
	stopOrdersEvents  = 20                     // of a stream
	stopOrdersMinWork = 60 * time.Millisecond  // between events
	stopOrdersMaxWork = 120 * time.Millisecond // between events

	// stopOrdersFaulty is the number of servers of which one doesn't stop runs soundly.
	stopOrdersFaulty = 3

	// maxStopOrdersTests bounds the fleets that serve at the same time.
	maxStopOrdersTests = 4
)

// stopOrdersCase is a line of the script.
type stopOrdersCase struct {
	framing, path, first, later, copies, whole string
}

// stopOrdersCount is what callers got.
type stopOrdersCount struct {
	Whole   int
	Broken  int // broken off
	Refused int
	Early   int // complete, and without some of the last events
	Invalid int // with an event that does not follow the one before
	Unended int // of the broken ones, those that have all events

	Moved     int
	NoRun     int // orders that were answered so
	TwoPlaces int // runs that went on at one server after they were continued at another
	Twice     int // requests that ran more than once, and must not
}

// stopOrdersTest is a fleet of four boxes before twelve servers, which leave in turn.
type stopOrdersTest struct {
	*platform
	stopOrdersCase
	engines *standin.Engines
	client  *http.Client
	boxes   []*entryBox
	full    chan struct{} // closed when half of the streams have begun

	mu      sync.Mutex
	serving []*stopOrdersServer // in the order in which they leave
	begun   int
	over    chan struct{} // closed when all streams have ended
	count   stopOrdersCount
	example string // of a stream that is not whole
	failed  []string
}

// stopOrdersServer counts its runs.
type stopOrdersServer struct {
	*standin.Server
	test    *stopOrdersTest
	address string
	runs    int
	idle    chan struct{} // closed when the last run has ended; nil until the server leaves
}

func newStopOrdersTest(t testing.TB, c stopOrdersCase) *stopOrdersTest {
	v := &stopOrdersTest{
		platform: newPlatform(t, 0), stopOrdersCase: c, engines: &standin.Engines{HandleTTL: 5 * time.Second},
		full: make(chan struct{}), over: make(chan struct{}), client: &http.Client{Transport: &http.Transport{}},
	}
	t.Cleanup(v.client.CloseIdleConnections)
	v.log, v.slack = &boxLog{}, amplePay
	e := &standin.EngineConfig{Slots: 1000, Moves: true, HandleS: 5, Stride: 4}
	// Streams that are not moved are resumed.
	more := strings.NewReplacer(`"timeout_ms":4000`, `"timeout_ms":60000`, `"slo_ms":500`, `"slo_ms":20000`, `"max_attempts":3`, `"max_attempts":20`)
	v.store.Set(standin.ConfigKey, more.Replace(standin.LargeConfig(1, "api", 0, e)))
	for range stopOrdersServers {
		v.start()
	}
	for i := range stopOrdersBoxes { // with credits for all repeats
		v.boxes = append(v.boxes, v.startBox(fmt.Sprint("box-", i), "north", "[reclaim]", "move_requests = yes", "[retries]", "ratio = 10", ""))
	}
	for _, b := range v.boxes {
		require.Eventually(t, func() bool {
			return b.isReady(t) && b.hasMetric(t, "boxes.known", stopOrdersBoxes) && b.hasMetric(t, "endpoints.known", stopOrdersServers)
		}, 20*time.Second, 5*time.Millisecond)
	}
	return v
}

// start starts a server.
func (v *stopOrdersTest) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastID++
	s := &stopOrdersServer{test: v, Server: &standin.Server{
		ID: fmt.Sprintf("i-%d", v.lastID), Service: "api", Version: "v1", Slots: 1000, Events: stopOrdersEvents, Work: stopOrdersMinWork, StreamWork: stopOrdersMaxWork,
		Audit: v.audit, MarkRuns: true,
	}}
	s.BreakMoves(v.faults()...)
	if v.framing == "none" || v.framing == "HTTP/1.0" {
		s.SendIrregular(standin.Irregular{Unframed: true, HTTP10: v.framing == "HTTP/1.0", First: standin.Regular, Resumed: standin.Regular})
	}
	h := httptest.NewServer(s)
	v.t.Cleanup(func() { _ = h.Config.Close() }) // h.Close would close idle connections of other tests
	s.address = h.Listener.Addr().String()
	v.engines.Add(s.Server, s.address)
	v.serving = append(v.serving, s)
	v.store.Set(s.Record(s.address, "north", "ready"))
}

// faults returns what goes wrong with moves from or to the last server.
func (v *stopOrdersTest) faults() []standin.MoveFault {
	var f []standin.MoveFault
	if v.framing == "last-chunk" {
		f = append(f, standin.WholeAfterStop)
	}
	if v.copies == "refused" {
		f = append(f, standin.ContinuationRefused)
	}
	if v.lastID%stopOrdersFaulty != 0 || v.first == "-" {
		return f
	}
	if v.later == "lost" {
		f = append(f, standin.MuteAfterForget)
	}
	if v.first == "ends" {
		return append(f, standin.EndsBeforeStop)
	}
	return append(f, standin.MoveFault("forget-"+v.first))
}

// ServeHTTP counts the runs of streams.
func (s *stopOrdersServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stream") {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed after it
		s.test.begin(s)
		defer s.test.end(s)
	}
	s.Server.ServeHTTP(w, r)
}

// begin notes that a server begins a run, or refuses it.
func (v *stopOrdersTest) begin(s *stopOrdersServer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.runs++
	if v.begun++; v.begun == stopOrdersStreams/2 {
		close(v.full)
	}
}

func (v *stopOrdersTest) end(s *stopOrdersServer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.runs--; s.runs == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// leaveInTurn lets each of the first servers leave once another one serves, and the next one when no run is left at it.
func (v *stopOrdersTest) leaveInTurn() {
	select {
	case <-v.full:
	case <-v.over:
	}
	for i := range stopOrdersServers {
		v.start()
		v.mu.Lock()
		s, idle := v.serving[i], make(chan struct{})
		if s.runs > 0 {
			s.idle = idle
		} else {
			close(idle)
		}
		v.mu.Unlock()
		v.store.Set(s.LeavingRecord(s.address, "north", drainTime))
		select {
		case <-idle:
		case <-v.over:
		}
	}
}

// stream reads a stream and counts it.
func (v *stopOrdersTest) stream(i int) {
	id := fmt.Sprint("stream", i)
	s, status, err := &standin.Stream{Fixed: v.path == fixedPath}, 0, error(nil)
	q, err := s.NewRequest(v.boxes[i%len(v.boxes)].callersAddress, v.path, id, time.Minute)
	require.NoError(v.t, err)
	q.GetBody = nil
	a, err := v.client.Do(q.WithContext(v.t.Context()))
	if err == nil {
		defer a.Body.Close()
		if status = a.StatusCode; status == http.StatusOK {
			err = s.Read(id, a.Body, stopOrdersEvents+1)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c := &v.count
	if len(v.audit.Moved(id)) > 0 {
		c.Moved++
	}
	if v.audit.Runs(id) > 1 && s.Fixed {
		c.Twice++
	}
	switch {
	case errors.Is(err, standin.ErrInvalidEvent) || errors.Is(err, standin.ErrJoined):
		c.Invalid++
	case status != http.StatusOK:
		c.Refused++
	case err != nil:
		c.Broken++
		if s.Events == stopOrdersEvents {
			c.Unended++
		}
	case s.Events < stopOrdersEvents:
		c.Early++
	default:
		c.Whole++
		return
	}
	v.failed, v.example = append(v.failed, id), fmt.Sprintf("%s: %d events, status %d, error %v", id, s.Events, status, err)
}

// play sends the streams while the servers leave.
func (v *stopOrdersTest) play() {
	var g, leaving errgroup.Group
	leaving.Go(func() error {
		v.leaveInTurn()
		return nil
	})
	for i := range stopOrdersStreams {
		g.Go(func() error {
			v.stream(i)
			return nil
		})
	}
	require.NoError(v.t, g.Wait())
	close(v.over)
	require.NoError(v.t, leaving.Wait())
}

// require requires what the line says.
func (v *stopOrdersTest) require() {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, c := v.t, v.count
	for _, b := range v.boxes {
		if n, ok := b.metric(t, "moves.orders.no_run"); ok {
			i, err := strconv.Atoi(n)
			require.NoError(t, err)
			c.NoRun += i
		}
	}
	c.TwoPlaces = len(v.engines.Overlaps())
	t.Logf("%+v, %s", c, v.engines.Counts())
	if n := len(v.failed); n > 0 {
		t.Logf("%s\n%s", v.example, v.log.requests(v.failed[n-1]))
	}
	require.Zero(t, c.Early)
	require.Zero(t, c.Invalid)
	require.Zero(t, c.Twice)
	require.Empty(t, v.engines.Overlaps())
	require.Positive(t, c.Moved)
	least := stopOrdersStreams
	if v.whole != "all" {
		var err error
		least, err = strconv.Atoi(v.whole)
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, c.Whole, least)
}

// Guards against parts of streams that end as complete after their runs were told to stop, when the answers to the orders are lost, late
// or of no use and later ones say that nothing runs.
func TestStopOrdersWithoutHandles(t *testing.T) {
	b, err := os.ReadFile("testdata/stoporders.txt")
	require.NoError(t, err)
	slots := make(chan struct{}, maxStopOrdersTests)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" || f[0] == "hand" && os.Getenv("STOP_ORDERS") != "all" {
			continue
		}
		require.Len(t, f, 7, line)
		name := strings.ReplaceAll(strings.Join(f[1:], "_"), "/", "-")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			v := newStopOrdersTest(t, stopOrdersCase{f[1], map[string]string{"resumable": streamPath, "fixed": fixedPath}[f[2]], f[3], f[4], f[5], f[6]})
			defer func() { stopAll(t, v.boxes) }()
			v.play()
			v.require()
		})
	}
}

// Guards against runs that are lost although a copy is left: its destination begins to leave before the source answers that nothing runs.
func TestOnlyCopyIsAtLeavingServer(t *testing.T) {
	p := newPlatform(t, 0)
	p.log = &boxLog{}
	p.store.Set(standin.ConfigKey, standin.LargeConfig(1, "api", 0, &standin.EngineConfig{Slots: 4, Moves: true, HandleS: 5, Stride: 4}))
	source, target := &movingEngine{Server: &standin.Server{ID: "i-1", Service: "api", Version: "v1", Slots: 4}, last: 2, stop: make(chan struct{})}, newMovingEngine(t, "i-2", 4)
	b := p.startBox("a", "north", "[reclaim]", "move_requests = yes", "")
	defer stopAll(t, []*entryBox{b})
	source.address = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Body = io.NopCloser(bytes.NewReader(body)); !strings.Contains(string(body), `"last":true`) {
			source.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		select {
		case <-source.stop:
			return
		default:
		}
		p.store.Set(target.LeavingRecord(target.address, "north", time.Second))
		for !b.hasMetric(t, "endpoints.leaving", 2) {
			wait.For(r.Context(), time.Millisecond)
		}
		close(source.stop)
	}))
	source.drain = func() {
		p.store.Set(target.Record(target.address, "north", "ready"))
		require.Eventually(t, func() bool { return b.hasMetric(t, "endpoints.known", 2) }, 20*time.Second, 5*time.Millisecond)
		p.store.Set(source.LeavingRecord(source.address, "north", time.Second))
	}
	p.store.Set(source.Record(source.address, "north", "ready"))
	require.Eventually(t, func() bool { return b.isReady(t) && b.hasMetric(t, "endpoints.known", 1) }, 20*time.Second, 5*time.Millisecond)

	q, err := standin.NewRequest(b.callersAddress, fixedPath, "r1", 10*time.Second)
	require.NoError(t, err)
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	t.Log(p.log.requests("r1"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n", string(body))
}
