package daemon_test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/platform/standin"
)

// irregularStreams is the number of streams for each line of the script.
const irregularStreams = 40

// streamPath is the path of streams that may be resumed. The path takenUp stands for streams whose callers leave and take them
// up at another box.
const (
	streamPath = "/stream/x"
	takenUp    = "taken-up"
)

// orderTest is a fleet of four boxes before six servers whose streams have 20 events.
type orderTest struct {
	*platform
	boxes   []*entryBox
	streams int // for each line of the script
	atOnce  int // streams that are read at the same time
	step    int // between the IDs of events; zero for 1

	mu     sync.Mutex
	serial int
	failed []string // IDs of the attempts that brought no whole answer
}

// orderCount is what callers saw of their streams.
type orderCount struct {
	whole   int
	early   int // complete answers that lack events
	invalid int // answers with an event that does not follow
	broken  int // answers that broke off
	refused int
	example error // of an event that does not follow
}

// newOrderTest returns a test whose boxes have a slack of retries, zero for 100.
func newOrderTest(t testing.TB, slack int) *orderTest {
	v := &orderTest{platform: newPlatform(t, 0), streams: irregularStreams, atOnce: irregularStreams}
	v.events, v.work, v.log, v.slack = 20, 3*time.Millisecond, &boxLog{}, slack
	for range 6 {
		v.startServer()
	}
	v.boxes = v.startFleet("a", "b", "c", "d")
	return v
}

func (v *orderTest) nextID() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serial++
	return fmt.Sprint("stream", v.serial)
}

// logFailed logs what the boxes did with the attempts that failed if the test fails.
func (v *orderTest) logFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.t.Failed() {
		v.t.Logf("attempts that failed: %v\n%s", v.failed, v.log.requests(v.failed...))
	}
}

func (v *orderTest) recordFailed(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failed = append(v.failed, id)
}

// begin reads some events of a new stream from a box, whose caller leaves it then.
func (v *orderTest) begin(s *standin.Stream, box int) (err error) {
	id := v.nextID()
	defer func() {
		if err != nil {
			v.recordFailed(id)
		}
	}()
	q, err := s.NewRequest(v.boxes[box].callersAddress, streamPath, id, 10*time.Second)
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q.WithContext(v.t.Context()))
	if err != nil {
		return err
	}
	defer a.Body.Close()
	return s.Read(id, a.Body, v.events/2)
}

// read sends one attempt of a stream to a box and adds what came of it.
func (v *orderTest) read(c *orderCount, s *standin.Stream, id string, box int, path string) error {
	q, err := s.NewRequest(v.boxes[box].callersAddress, path, id, 10*time.Second)
	if err != nil {
		return err
	}
	q.GetBody = nil
	a, err := http.DefaultClient.Do(q.WithContext(v.t.Context()))
	status := 0
	if err == nil {
		defer a.Body.Close()
		status = a.StatusCode
	}
	if status == http.StatusOK {
		err = s.Read(id, a.Body, v.events+1)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, standin.ErrInvalidEvent):
		c.invalid++
		c.example = err
	case status != http.StatusOK:
		c.refused++
	case err != nil:
		c.broken++
	case s.Events < v.events:
		c.early++
	default:
		c.whole++
		return nil
	}
	v.failed = append(v.failed, id)
	return nil
}

// restart starts the first box again, and returns once it is ready and knows the others.
func (v *orderTest) restart() {
	stopAll(v.t, v.boxes[:1])
	v.boxes[0] = v.startBox(v.boxes[0].name, "north")
	require.Eventually(v.t, func() bool {
		return v.boxes[0].isReady(v.t) && v.boxes[0].hasMetric(v.t, "boxes.known", len(v.boxes))
	}, 20*time.Second, 5*time.Millisecond)
}

// count reads streams at all boxes, and counts those apart whose first runs depart.
func (v *orderTest) count(path string) (regular, departing orderCount) {
	var g errgroup.Group
	g.SetLimit(v.atOnce)
	for i := range v.streams {
		if path == takenUp {
			g.Go(func() error {
				s := &standin.Stream{Step: v.step}
				if err := v.begin(s, i%len(v.boxes)); err != nil {
					return err
				}
				return v.read(&departing, s, v.nextID(), (i+1)%len(v.boxes), streamPath)
			})
			continue
		}
		id, c := v.nextID(), &regular
		if standin.Departs(id) {
			c = &departing
		}
		g.Go(func() error { return v.read(c, &standin.Stream{Step: v.step}, id, i%len(v.boxes), path) })
	}
	require.NoError(v.t, g.Wait())
	return regular, departing
}

// requireDenied checks that each attempt that brought no whole answer was denied a credit for a repeat.
func (v *orderTest) requireDenied() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.failed {
		require.Contains(v.t, v.log.requests(id), `"payment":"denied"`)
	}
}

// amplePay is a slack of retries with which boxes that have just started have a credit for each repeat that a line of the script needs.
const amplePay = 4000

// Tests that callers get no event that repeats, goes back or follows a missing one, and no answer that ends early as a
// whole one, whatever the servers' streams do.
func TestStreamsRepeatEventsOrEndEarly(t *testing.T) {
	b, err := os.ReadFile("testdata/order.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		name := strings.Join(f[:4], " ")
		t.Run(name, func(t *testing.T) { testOrder(t, f, 0) })
		if f[4] == "paid" {
			t.Run(name+" with credits", func(t *testing.T) { testOrder(t, f, amplePay) })
		}
	}
}

// testOrder reads the streams of a line of the script at boxes with a slack of retries.
func testOrder(t *testing.T, f []string, slack int) {
	t.Parallel()
	v := newOrderTest(t, slack)
	defer func() { stopAll(t, v.boxes) }()
	defer v.logFailed()
	unframed := f[0] == "unframed"
	for _, s := range v.servers {
		s.SendIrregular(standin.Irregular{Unframed: unframed, First: standin.Departure(f[2]), Resumed: standin.Departure(f[3])})
	}
	regular, departing := v.count(f[1])
	t.Logf("regular %+v, departing %+v", regular, departing)
	require.NoError(t, errors.Join(regular.example, departing.example))
	require.Equal(t, orderCount{whole: regular.whole}, regular)
	if f[4] == "early" { // or from another server, if the health check of the first one is not answered
		require.Equal(t, orderCount{early: departing.early, whole: departing.whole}, departing)
		return
	}
	require.Zero(t, departing.early)
	switch {
	case f[4] == "all" || f[4] == "paid" && slack == amplePay:
		require.Equal(t, orderCount{whole: departing.whole}, departing)
	case f[4] == "paid":
		v.requireDenied()
	default:
		require.Zero(t, departing.whole)
	}
}
