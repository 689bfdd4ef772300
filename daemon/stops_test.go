package daemon_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/wait"
)

// The fleet and the load of a stopsTest.
const (
	stopsBoxes   = 4
	stopsServers = 6
	stopsEvents  = 20 // of a stream
	stopsPieces  = 9  // in which a body is sent
	stopsCallers = 24 // of each box that stops, half of which begin before it does

	// The others begin in an eighth of the stop limit. A box that stops accepts requests for a third of it, 2.5 s at most, so that
	// it reads those that come within two ninths.
	lateShare              = 8
	readLimit, readLimitOf = 2, 9

	// stopsPatience is how long a caller waits for an answer, and stopsTries how often one asks that was refused.
	stopsPatience = 30 * time.Second
	stopsTries    = 4

	// maxScriptedLimit is the longest stop limit of the lines that are played without the environment variable STOPS=all.
	maxScriptedLimit = 3 * time.Second

	// maxStopsTests bounds the fleets that serve at the same time.
	maxStopsTests = 3

	// slowName ends the paths of the requests of a line, and quickName those of others, which servers answer at once.
	slowName, quickName = "slow", "quick"
)

// stopsPaths are the paths whose routes a line plays in turn, by its first word.
var stopsPaths = map[string][]string{
	"stream": {"/stream/"}, "fixed": {"/stream-fixed/"}, "again": {"/again/"}, "once": {"/once/"},
	"all": {"/stream/", "/stream-fixed/", "/again/", "/once/"},
}

// stopsCase is a line of the script.
type stopsCase struct {
	paths   []string
	request string        // how the body is framed: by its length or in chunks; old: a request of HTTP/1.0 with a length
	body    time.Duration // in which it is sent
	bytes   int           // its length; zero for a short one
	answer  time.Duration
	framing string // of the answers
	boxes   int    // that stop
	limit   time.Duration
	isKnown bool   // the boxes know how long the answers take
	beside  string // what happens beside the stop
	whole   string
}

func parseStopsCase(t testing.TB, f []string) stopsCase {
	c := stopsCase{paths: stopsPaths[f[0]], framing: f[3], whole: f[7]}
	require.NotEmpty(t, c.paths)
	c.beside, c.isKnown = strings.CutPrefix(f[6], "known,")
	duration := func(s string) time.Duration {
		d, err := time.ParseDuration(s)
		require.NoError(t, err)
		return d
	}
	b := strings.Split(f[1], ",")
	require.Contains(t, []string{"chunks", "length", "old"}, b[0])
	c.request, c.body, c.answer, c.limit = b[0], duration(b[1]), duration(f[2]), duration(f[5])
	var err error
	if len(b) > 2 {
		c.bytes, err = strconv.Atoi(b[2])
		require.NoError(t, err)
	}
	c.boxes, err = strconv.Atoi(f[4])
	require.NoError(t, err)
	return c
}

// stopsCount is what became of the requests.
type stopsCount struct {
	Whole   int // answered completely by a server
	Refused int // answered that they did not run, with a time to return

	Lost    int // passed on, and the connection ended without a complete answer
	Failed  int // passed on, and answered with a failure
	Dropped int // not passed on, and not answered completely
	Unsure  int // not passed on, and answered without the promise that they did not run
	Wrong   int // answers that look complete and are not, or have events that may not follow
	Ran     int // refused and run all the same
	Twice   int // run more than once, and must not
	Open    int // refused, on a connection that stays
	Crossed int // sent to a box that stopped, which may have closed the idle connection before it read them

	Elsewhere  int // refused, and served by a box that does not stop
	NotServed  int // refused, and not served by such a box
	LateWhole  int // of the whole ones, those whose bodies ended after the stop had begun
	LateBroken int // of those lost or failed
	Excused    int // of those lost or failed, those cut in the last sixth of the limit that were sent within three eighths of it
	Reset      int // of patient callers, whose connections ended before they had sent their requests
}

// requireKept requires what must hold of every request, of which so many may be lost or failed.
func (c *stopsCount) requireKept(t testing.TB, broken int) {
	t.Helper()
	kept := *c
	kept.Dropped, kept.Unsure, kept.Wrong, kept.Ran, kept.Twice, kept.Open = 0, 0, 0, 0, 0, 0
	require.Equal(t, kept, *c)
	require.LessOrEqual(t, c.Lost+c.Failed, broken)
}

// stopsTest is a fleet of four boxes before six servers, of which some boxes are stopped while callers send requests.
type stopsTest struct {
	*platform
	stopsCase
	engines *standin.Engines
	boxes   []*entryBox
	links   []*links
	service string
	targets []int // boxes that callers ask
	serving []*runsServer

	mu        sync.Mutex
	serial    int
	ended     int // requests that have ended
	count     stopsCount
	stoppedAt time.Time // zero before it
	refused   []string
	failed    []string
	outcomes  map[string]int // of requests without a whole answer
}

func newStopsTest(t testing.TB, c stopsCase) *stopsTest {
	v := &stopsTest{platform: newPlatform(t, 0), stopsCase: c, engines: &standin.Engines{HandleTTL: 5 * time.Second}, outcomes: map[string]int{}}
	v.log, v.service = &boxLog{}, "api"
	v.setConfig(1)
	v.slots = 64
	if c.beside == "places" {
		v.slots = 1
	}
	for range stopsServers {
		v.start()
	}
	more := []string{"[stop]", "limit = " + c.limit.String(), "[retries]", "ratio = 10", ""}
	if v.isMoving() {
		more = append(more, "[reclaim]", "move_requests = yes", "")
	}
	for i := range stopsBoxes {
		l := &links{}
		v.links = append(v.links, l)
		v.boxes = append(v.boxes, v.startBoxWith(fmt.Sprint("box-", i), "north", []fx.Option{fx.Replace(httpconn.DialFunc(l.dial))}, more...))
	}
	for _, b := range v.boxes {
		require.Eventually(t, func() bool {
			return b.isReady(t) && b.hasMetric(t, "boxes.known", stopsBoxes) && b.hasMetric(t, "endpoints.known", stopsServers)
		}, 20*time.Second, 5*time.Millisecond)
	}
	for i := range max(c.boxes, 1) {
		v.targets = append(v.targets, i)
	}
	return v
}

// setConfig sets a version of the configuration in which no route has a short timeout. If there are too few places, the objective
// lets requests wait for one.
func (v *stopsTest) setConfig(version int) {
	var e *standin.EngineConfig
	if v.isMoving() {
		e = &standin.EngineConfig{Slots: 64, Moves: true, HandleS: 5, Stride: 4}
	}
	c := strings.ReplaceAll(standin.LargeConfig(version, v.service, 0, e), `"timeout_ms":4000`, `"timeout_ms":60000`)
	if v.beside == "places" {
		c = strings.ReplaceAll(c, `"slo_ms":500`, `"slo_ms":20000`)
	}
	v.store.Set(standin.ConfigKey, c)
}

// start starts a server. Requests whose paths end with quickName it answers at once.
func (v *stopsTest) start() {
	v.lastID++
	n := fmt.Sprintf("i-%d", v.lastID)
	s := &runsServer{Server: &standin.Server{
		ID: n, Service: v.service, Version: v.version, Slots: v.slots, Events: stopsEvents, Work: v.answer / stopsEvents, PlainWork: v.answer, Audit: v.audit, MarkRuns: true,
	}}
	if v.beside == "breaks" && v.lastID%2 == 0 {
		s.BreakAfter = stopsEvents / 4
	}
	quick := &standin.Server{ID: n, Service: v.service, Version: v.version, Slots: 64, Events: stopsEvents, Audit: v.audit, MarkRuns: true}
	slow := http.Handler(s)
	if v.framing != "framed" {
		slow = standin.Unframed(s, v.framing)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/"+quickName):
			quick.ServeHTTP(w, r)
			return
		case r.URL.Path == standin.HealthPath && v.beside == "busy": // it waits for a slot, as a request does
			wait.For(r.Context(), v.answer)
		}
		slow.ServeHTTP(w, r)
	})
	h := httptest.NewUnstartedServer(handler)
	s.listener = &openListener{Listener: h.Listener, closed: make(chan struct{})}
	h.Listener = s.listener
	h.Start()
	v.t.Cleanup(func() {
		_ = s.listener.Close()
		h.Close()
	})
	s.address = s.listener.Addr().String()
	v.engines.Add(s.Server, s.address)
	v.serving = append(v.serving, s)
	v.store.Set(s.Record(s.address, "north", "ready"))
}

// prepare does what comes before the callers.
func (v *stopsTest) prepare() {
	how, isCut := strings.CutPrefix(v.beside, "cut-")
	first, isFirst := strings.CutPrefix(how, "first-")
	other, isOther := strings.CutPrefix(how, "other-")
	switch {
	case isFirst: // one of those that stop
		v.targets = v.targets[:1]
		v.cut(first)
	case isOther: // one that goes on
		v.targets = []int{stopsBoxes - 1}
		v.cut(other)
	case isCut:
		v.cut(how)
	case v.beside == "elsewhere": // callers ask boxes that go on
		v.targets = []int{stopsBoxes - 2, stopsBoxes - 1}
	case v.beside == "places":
		for _, s := range v.serving {
			s.ReportBrittle("5")
		}
	case v.beside == "permits":
		for _, s := range v.serving {
			s.ReportLimit("2")
		}
	case v.beside == "refusals":
		for _, s := range v.serving[:stopsServers/2] {
			s.RefuseRequests(50 * time.Millisecond)
		}
	}
}

// replaceVersion lets servers of another version take the place of all, and returns while no streams may begin at it.
func (v *stopsTest) replaceVersion() {
	old := slices.Clone(v.serving)
	v.version = "v2"
	for _, s := range old {
		v.start()
		v.store.Set(s.Record(s.address, "north", "draining"))
	}
	for _, b := range v.boxes {
		require.Eventually(v.t, func() bool { return b.hasMetric(v.t, "endpoints.leaving", len(old)) }, 20*time.Second, time.Millisecond)
	}
}

// learn lets all boxes have answers of servers. Those to requests with quickName don't say what the servers bear.
func (v *stopsTest) learn() {
	var g sync.WaitGroup
	for _, b := range v.boxes {
		for range stopsServers {
			g.Go(func() { _ = b.try(v.t, "/once/"+slowName, v.nextID(), time.Minute) })
		}
	}
	g.Wait()
}

// measure lets the boxes that callers ask measure how long answers take.
func (v *stopsTest) measure() {
	const each = 24
	var g sync.WaitGroup
	for _, i := range v.targets {
		for j := range each * len(v.paths) {
			g.Go(func() {
				if n, err := net.Dial("tcp", v.boxes[i].callersAddress); err == nil {
					_ = v.send(newStopsCaller(v.nextID(), v.paths[j%len(v.paths)]+slowName, n), false)
					_ = n.Close()
				}
			})
		}
	}
	g.Wait()
}

// cut cuts the links of the boxes that callers ask, and waits until these serve.
func (v *stopsTest) cut(how string) {
	for _, i := range v.targets {
		v.links[i].set(how)
	}
	for _, i := range v.targets {
		require.Eventually(v.t, func() bool {
			return v.boxes[i].try(v.t, "/again/"+quickName, v.nextID(), 2*time.Second) == http.StatusOK
		}, 20*time.Second, time.Millisecond)
	}
}

// disturb does what happens beside the stop.
func (v *stopsTest) disturb() {
	switch v.beside {
	case "stands-still":
		v.standStill()
		time.AfterFunc(v.limit/3, v.standStill)
	case "leaves", "moves":
		v.leave()
	case "leaves-late", "moves-late":
		time.AfterFunc(v.limit/2, v.leave)
	case "configuration":
		v.setConfig(2)
	case "service": // another one takes the place of the first
		v.service = "other"
		for range stopsServers {
			v.start()
		}
		v.setConfig(2)
	case "reload":
		for _, i := range v.targets {
			v.boxes[i].Reload(v.settingsFile())
		}
	}
}

// leave lets two servers leave, whose runs move if they can.
func (v *stopsTest) leave() {
	for _, s := range slices.Clone(v.serving[:2]) {
		v.start()
		s.ReportDraining()
		time.AfterFunc(v.limit/4, s.listener.refuse)
		if v.isMoving() {
			v.store.Set(s.LeavingRecord(s.address, "north", drainTime))
		} else {
			v.store.Set(s.Record(s.address, "north", "draining"))
		}
	}
}

// isMoving reports whether runs of servers that leave can move.
func (v *stopsTest) isMoving() bool { return strings.HasPrefix(v.beside, "moves") }

// standStill lets the servers send nothing for some time.
func (v *stopsTest) standStill() {
	for _, s := range v.serving {
		s.SetSilent(true)
		time.AfterFunc(900*time.Millisecond, func() { s.SetSilent(false) })
	}
}

// settingsFile returns the path of a file with valid settings.
func (v *stopsTest) settingsFile() string {
	f := filepath.Join(v.t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[box]\nname = x\ndata_centre = north\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\n[store]\naddress = %s\n", v.storeAddress)
	require.NoError(v.t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

func (v *stopsTest) nextID() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serial++
	return fmt.Sprint("stops", v.serial)
}

// call sends a caller's request, counts what became of it, and takes it to another box if it was refused.
func (v *stopsTest) call(k *stopsCaller) {
	began := time.Now()
	a := v.send(k, true)
	_ = k.conn.Close()
	runs := v.audit.Runs(k.id)
	v.mu.Lock()
	isBodyLate := !v.stoppedAt.IsZero() && a.sentWhole.After(v.stoppedAt)
	isStopping := !v.stoppedAt.IsZero() && v.boxesStop()
	v.ended++
	c := &v.count
	broken := c.Lost + c.Failed
	switch {
	case a.isWhole:
		c.Whole++
		if isBodyLate {
			c.LateWhole++
		}
	case a.isRefusal():
		c.Refused++
		v.refused = append(v.refused, k.id)
		// A request that was sent before may have been refused before the box knew that it stops, unless the answer says so.
		if isStopping && !a.closes && (k.isLate || strings.Contains(a.text, "this box stops")) {
			c.Open++
		}
	case a.isWrong():
		c.Wrong++
	case runs > 0 && a.err != nil:
		c.Lost++
	case runs > 0:
		c.Failed++
	case isClosed(a.err) && a.status == 0 && k.isLate && began.Sub(v.stoppedAt) > v.limit*readLimit/readLimitOf:
		c.Crossed++
	case a.err != nil:
		c.Dropped++
	default:
		c.Unsure++
	}
	if isBodyLate && c.Lost+c.Failed > broken {
		c.LateBroken++
	}
	if isStopping && c.Lost+c.Failed > broken && a.sentWhole.Sub(v.stoppedAt) <= v.limit*3/8 && time.Since(v.stoppedAt) >= v.limit*5/6 {
		c.Excused++
	}
	if runs > 1 && (strings.HasPrefix(k.path, "/once/") || strings.HasPrefix(k.path, "/stream-fixed/")) {
		c.Twice++
	}
	if k.isPatient && a.sentWhole.IsZero() {
		c.Reset++
	}
	isRefused := a.isRefusal()
	if !a.isWhole {
		v.failed = append(v.failed, k.id)
		kind := fmt.Sprintf("%s status %d, runs %d, error %v", k.path, a.status, runs, cmp.Or(errors.Unwrap(a.err), a.err))
		if v.outcomes[kind]++; v.outcomes[kind] == 1 {
			v.t.Logf("%s, such as %s: patient %t, late %t, %s", kind, k.id, k.isPatient, k.isLate, a.text)
		}
	}
	v.mu.Unlock()
	if isRefused {
		v.retry(k.path)
	}
}

// boxesStop reports whether the boxes that callers ask are those that stop.
func (v *stopsTest) boxesStop() bool { return v.targets[0] < v.stopsCase.boxes }

// retry sends a refused request to a box that does not stop, a few times if that refuses it as well.
func (v *stopsTest) retry(path string) {
	isServed := v.ask(strings.TrimSuffix(path, slowName) + quickName)
	v.mu.Lock()
	defer v.mu.Unlock()
	if isServed {
		v.count.Elsewhere++
		return
	}
	v.count.NotServed++
}

// ask sends a request to a box that does not stop, and reports whether it is served within stopsTries.
func (v *stopsTest) ask(path string) bool {
	for range stopsTries {
		n, err := net.Dial("tcp", v.boxes[stopsBoxes-1].callersAddress)
		if err != nil {
			return false
		}
		a := v.send(newStopsCaller(v.nextID(), path, n), false)
		_ = n.Close()
		if a.isWhole || !a.isRefusal() {
			return a.isWhole
		}
		s, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		wait.For(v.t.Context(), time.Duration(s*float64(time.Second)))
	}
	return false
}

// dialAll returns half of the callers of a line.
func (v *stopsTest) dialAll(isLate bool) []*stopsCaller {
	ks := make([]*stopsCaller, 0, len(v.targets)*stopsCallers/2)
	for _, box := range v.targets {
		for i := range stopsCallers / 2 {
			k, err := v.dial(box, v.paths[i%len(v.paths)]+slowName)
			require.NoError(v.t, err)
			k.isPatient, k.isLate = i/len(v.paths)%2 == 1, isLate
			ks = append(ks, k)
		}
	}
	return ks
}

// awaitBegun waits until the boxes have the requests of callers, and servers those that come at once and wait for nothing.
func (v *stopsTest) awaitBegun(ks []*stopsCaller) {
	require.Eventually(v.t, func() bool { return v.begun() >= len(ks) }, 20*time.Second, time.Millisecond)
	if v.body > 0 || slices.Contains([]string{"places", "permits", "settles", "refusals"}, v.beside) {
		return
	}
	for _, k := range ks {
		require.Eventually(v.t, func() bool { return v.audit.Runs(k.id) > 0 }, 20*time.Second, time.Millisecond)
	}
}

// begun returns the number of requests that the boxes have, or that have ended.
func (v *stopsTest) begun() int {
	v.mu.Lock()
	n := v.ended
	v.mu.Unlock()
	for _, i := range v.targets {
		s, _ := v.boxes[i].metric(v.t, "requests.live")
		live, _ := strconv.Atoi(s) // none before the first one
		n += live
	}
	return n
}

// play sends the requests and stops boxes.
func (v *stopsTest) play() {
	before, later := v.dialAll(false), v.dialAll(true)
	switch v.beside {
	case "settles":
		v.replaceVersion()
	case "places", "permits":
		v.learn()
	}
	if v.isKnown {
		v.measure()
	}
	var g errgroup.Group
	begin := func(k *stopsCaller) {
		g.Go(func() error {
			v.call(k)
			return nil
		})
	}
	for _, k := range before {
		begin(k)
	}
	v.awaitBegun(before)
	v.mu.Lock()
	v.stoppedAt = time.Now()
	v.mu.Unlock()
	for _, b := range v.boxes[:v.stopsCase.boxes] {
		g.Go(func() error { return ignoreTimeout(b.App.Stop(context.Background())) })
	}
	for _, b := range v.boxes[:v.stopsCase.boxes] {
		require.Eventually(v.t, func() bool { return !b.isReady(v.t) }, 20*time.Second, time.Millisecond)
	}
	v.disturb()
	for i, k := range later {
		if i%len(v.targets) == 0 {
			wait.For(v.t.Context(), v.limit/lateShare/(stopsCallers/2))
		}
		begin(k)
	}
	require.NoError(v.t, g.Wait())
	v.stopRest()
	v.countRefusedRuns()
}

// ignoreTimeout returns nil for the error of a stop that cancelled requests.
func ignoreTimeout(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// stopRest stops the other boxes.
func (v *stopsTest) stopRest() {
	for _, l := range v.links {
		l.set("")
	}
	var g errgroup.Group
	for _, b := range v.boxes[v.stopsCase.boxes:] {
		g.Go(func() error { return ignoreTimeout(b.App.Stop(context.Background())) })
	}
	require.NoError(v.t, g.Wait())
}

// countRefusedRuns counts the refused requests that ran, once no box can send them any more.
func (v *stopsTest) countRefusedRuns() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.refused {
		if v.audit.Runs(id) > 0 {
			v.count.Ran++
		}
	}
}

// require requires what the line says.
func (v *stopsTest) require() {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.t
	defer func() {
		if t.Failed() {
			t.Log(v.log.requests(v.failed[:min(len(v.failed), 3)]...))
		}
	}()
	t.Logf("%d requests: %+v", len(v.targets)*stopsCallers, v.count)
	for _, k := range slices.Sorted(maps.Keys(v.outcomes)) {
		t.Logf("%d: %s", v.outcomes[k], k)
	}
	broken := map[string]int{"excused": v.count.Excused, "unproven": v.count.Lost + v.count.Failed}
	v.count.requireKept(t, broken[v.whole])
	require.Empty(t, v.engines.Overlaps())
	switch v.whole {
	case "all":
		require.Equal(t, len(v.targets)*stopsCallers, v.count.Whole)
	case "served", "excused", "unproven":
		require.Zero(t, v.count.NotServed)
	default:
		require.Equal(t, "kept", v.whole)
	}
}

// runStops plays the lines of the script with some kinds of framing.
func runStops(t *testing.T, framings ...string) {
	b, err := os.ReadFile("testdata/stops.txt")
	require.NoError(t, err)
	slots := make(chan struct{}, maxStopsTests)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		require.Len(t, f, 8, line)
		c := parseStopsCase(t, f)
		if !slices.Contains(framings, c.framing) || c.limit > maxScriptedLimit && os.Getenv("STOPS") != "all" {
			continue
		}
		t.Run(strings.ReplaceAll(strings.Join(f, "_"), "/", "-"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			v := newStopsTest(t, c)
			v.prepare()
			v.play()
			v.require()
		})
	}
}

// A box that stops must pass on no request that it can't finish, and answer the others: bodies that end late, and waits for
// endpoints, passed requests on shortly before the box cancelled them.
func TestStoppingBoxPassesOnLateRequests(t *testing.T) { runStops(t, "framed") }

// Answers that have neither a length nor chunks and end with their connections must be whole to callers, beside a stop and
// without one: boxes took none of them for whole.
func TestSoundAnswersThatEndWithTheirConnections(t *testing.T) { runStops(t, "HTTP/1.1", "HTTP/1.0") }
