package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
)

// streamCount is what callers saw of their streams.
type streamCount struct {
	begun   int // new streams that began
	asked   int // streams whose callers took them up, or that broke off midway in an answer
	resumed int // of these, streams that went on
	mixed   int // streams with events of two versions
	status  map[int]int
}

// versionsTest is a fleet of six boxes before endpoints of two software versions, two of each.
type versionsTest struct {
	*platform
	boxes   []*entryBox
	streams []*standin.Stream
	origins []int // the boxes at which the streams began
	serial  int
}

func newVersionsTest(t testing.TB, breakAfter int) *versionsTest {
	v := &versionsTest{platform: newPlatform(t, 0)}
	v.breakAfter = breakAfter
	for _, version := range []string{"v1", "v2", "v1", "v2"} {
		v.version = version
		v.startServer()
	}
	v.start()
	for _, b := range v.boxes {
		require.Eventually(t, func() bool { return b.hasMetric(t, "versions.unsettled", 0) }, 20*time.Second, 5*time.Millisecond)
	}
	return v
}

func (v *versionsTest) start() { v.boxes = v.startFleet("a", "b", "c", "d", "e", "f") }

// restart stops all boxes at the same time and starts them again.
func (v *versionsTest) restart() {
	stopAll(v.t, v.boxes)
	v.start()
}

// attempt sends the next attempt of a stream to a box and reads up to most events.
func (v *versionsTest) attempt(s *standin.Stream, box, most int) (status int, err error) {
	v.t.Helper()
	v.serial++
	id := fmt.Sprint("stream", v.serial)
	c, cancel := context.WithCancel(v.t.Context())
	defer cancel()
	q, err := s.NewRequest(v.boxes[box].callersAddress, "/stream/x", id, 10*time.Second)
	require.NoError(v.t, err)
	q.GetBody = nil
	a, err := http.DefaultClient.Do(q.WithContext(c))
	require.NoError(v.t, err)
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return a.StatusCode, nil
	}
	return a.StatusCode, s.Read(id, a.Body, most)
}

// begin begins streams at all boxes in turn, whose callers leave after the first event.
func (v *versionsTest) begin(n int) {
	v.t.Helper()
	for i := range n {
		s := &standin.Stream{}
		status, err := v.attempt(s, i%len(v.boxes), 1)
		require.NoError(v.t, err)
		require.Equal(v.t, http.StatusOK, status)
		v.streams, v.origins = append(v.streams, s), append(v.origins, i%len(v.boxes))
	}
}

// takeUp takes each stream up at another box than the one where it began.
func (v *versionsTest) takeUp() streamCount {
	v.t.Helper()
	c := streamCount{begun: len(v.streams), status: map[int]int{}}
	for i, s := range v.streams {
		box := (v.origins[i] + 1 + i%(len(v.boxes)-1)) % len(v.boxes)
		status, err := v.attempt(s, box, s.Events+100)
		c.asked++
		c.status[status]++
		if status == http.StatusOK && err == nil && s.Events == 3 {
			c.resumed++
		}
		if len(s.Versions) > 1 {
			c.mixed++
		}
	}
	return c
}

// Streams that endpoints break off midway must go on in the same answer at the version that began them, and go on as
// long as another endpoint of it serves.
func TestBrokenStreamsStayAtTheirVersion(t *testing.T) {
	v := newVersionsTest(t, 1)
	defer func() { stopAll(t, v.boxes) }()
	c := streamCount{}
	for i := range 60 {
		s := &standin.Stream{}
		status, err := v.attempt(s, i%len(v.boxes), 100)
		require.Equal(t, http.StatusOK, status)
		c.asked++
		if err == nil && s.Events == 3 {
			c.resumed++
		}
		if len(s.Versions) > 1 {
			c.mixed++
		}
	}
	t.Logf("%+v", c)
	require.Zero(t, c.mixed)
	require.Positive(t, c.resumed, "the boxes' credits pay for some")
}

// Callers that take a stream up at another box must get events of the version that began it, and get them as often as
// those that begin one: also while the store is away, and after all boxes have restarted.
func TestStreamsTakenUpStayAtTheirVersion(t *testing.T) {
	for name, disturb := range map[string]func(*versionsTest){
		"all well": func(*versionsTest) {},
		"store away": func(v *versionsTest) {
			v.store.SetDown(true)
			v.begin(30) // these begin while the store is away
		},
		"all restarted": (*versionsTest).restart,
		"origin ended": func(v *versionsTest) {
			require.NoError(v.t, v.boxes[0].App.Stop(context.Background()))
			v.boxes = v.boxes[1:]
			for i := range v.origins {
				v.origins[i] = (v.origins[i] + len(v.boxes)) % len(v.boxes)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVersionsTest(t, 0)
			defer func() { stopAll(t, v.boxes) }()
			v.begin(60)
			disturb(v)
			c := v.takeUp()
			t.Logf("%+v", c)
			require.Zero(t, c.mixed)
			require.Greater(t, c.resumed, c.asked/2)
		})
	}
}
