package daemon_test

import (
	"context"
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
	"birchlink.dev/birchlink/soak"
	"birchlink.dev/birchlink/wait"
)

const (
	// callInterval is the time between callers, and maxCallers bounds those that are there at the same time.
	callInterval = 5 * time.Millisecond
	maxCallers   = 64

	// callAfterCut is how long callers go on when the boxes are no longer cut off.
	callAfterCut = 1500 * time.Millisecond

	// callRound is the number of callers of a round in which no version appears.
	callRound = 60

	// maxFleets bounds the fleets that serve at the same time.
	maxFleets = 2
)

// appearsTest is a fleet of six boxes before servers of one version. The boxes can be cut off from each other, and every
// second one from the store.
type appearsTest struct {
	*platform
	named   bool // callers name the stream that they take up
	boxes   []*entryBox
	proxies []*soak.Proxy

	mu     sync.Mutex
	serial int
	wrong  []string // IDs of the attempts that brought events of another version
}

// appearsCount is what callers saw of their streams.
type appearsCount struct {
	begun    map[string]int // by version
	notBegun map[int]int    // by status
	taken    int            // streams that callers took up
	whole    int            // of these, streams that went on to their end
	mixed    int            // streams with events of two versions
	refused  map[int]int    // by status
}

func newAppearsTest(t testing.TB, named bool) *appearsTest {
	v := &appearsTest{platform: newPlatform(t, 4), named: named}
	v.log = &boxLog{}
	dcs := []string{"north", "south", "west"}
	store := v.storeAddress
	for i, n := range []string{"a", "b", "c", "d", "e", "f"} {
		v.peers, v.storeAddress = freePeerAddress(t), store
		more := "[box]\nfirst_start = yes\n[peers]\nadvertise = " + v.newProxy(v.peers)
		if i%2 == 1 {
			v.storeAddress = v.newProxy(store)
		}
		v.boxes = append(v.boxes, v.startBox(n, dcs[i%len(dcs)], more))
	}
	for _, b := range v.boxes {
		require.Eventually(t, func() bool { return b.isReady(t) && b.hasMetric(t, "boxes.known", len(v.boxes)) }, 20*time.Second, 5*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		c := v.call(t.Context(), 2*len(v.boxes))
		return c.whole == 2*len(v.boxes)
	}, 20*time.Second, 5*time.Millisecond)
	return v
}

// newProxy returns the address of a proxy to another address.
func (v *appearsTest) newProxy(to string) string {
	v.t.Helper()
	p, err := soak.NewProxy(to)
	require.NoError(v.t, err)
	v.t.Cleanup(p.Close)
	v.proxies = append(v.proxies, p)
	return p.Address()
}

func (v *appearsTest) setLinks(m soak.Mode) {
	for _, p := range v.proxies {
		p.Set(m)
	}
}

// attempt sends the next attempt of a stream to a box and reads up to most events. The status is zero if there was no answer.
func (v *appearsTest) attempt(s *standin.Stream, box, most int) (id string, status int, err error) {
	v.mu.Lock()
	v.serial++
	id = fmt.Sprint("stream", v.serial)
	v.mu.Unlock()
	c, cancel := context.WithCancel(v.t.Context())
	defer cancel()
	q, err := s.NewRequest(v.boxes[box].callersAddress, streamPath, id, 10*time.Second)
	if err != nil {
		return id, 0, err
	}
	if !v.named {
		q.Header.Del("Resumes")
	}
	q.GetBody = nil
	a, err := http.DefaultClient.Do(q.WithContext(c))
	if err != nil {
		return id, 0, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return id, a.StatusCode, nil
	}
	return id, a.StatusCode, s.Read(id, a.Body, most)
}

// leaveAndReturn begins a stream at a box, leaves it after the first event and takes it up at the next box.
func (v *appearsTest) leaveAndReturn(c *appearsCount, box int) {
	s := &standin.Stream{}
	_, status, err := v.attempt(s, box, 1)
	if err != nil || s.Events == 0 {
		v.mu.Lock()
		defer v.mu.Unlock()
		c.notBegun[status]++
		return
	}
	version := s.Versions[0]
	id, status, err := v.attempt(s, (box+1)%len(v.boxes), 100)
	v.mu.Lock()
	defer v.mu.Unlock()
	c.begun[version]++
	c.taken++
	switch {
	case status != http.StatusOK:
		c.refused[status]++
	case err == nil && s.Events == 3:
		c.whole++
	}
	if len(s.Versions) > 1 {
		c.mixed++
		v.wrong = append(v.wrong, id)
	}
}

// call lets up to n callers come, each to the box after that of the one before, until a context ends.
func (v *appearsTest) call(c context.Context, n int) appearsCount {
	a := appearsCount{begun: map[string]int{}, notBegun: map[int]int{}, refused: map[int]int{}}
	var g errgroup.Group
	g.SetLimit(maxCallers)
	for i := 0; i < n && c.Err() == nil; i++ {
		g.Go(func() error {
			v.leaveAndReturn(&a, i%len(v.boxes))
			return nil
		})
		wait.For(c, callInterval)
	}
	_ = g.Wait() // never fails
	return a
}

// requireUnmixed requires that no stream had events of two versions so far.
func (v *appearsTest) requireUnmixed() {
	v.t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := len(v.wrong); n > 0 {
		require.Failf(v.t, "mixed versions", "%d streams, such as\n%s", n, v.log.requests(v.wrong[:min(n, 3)]...))
	}
}

// Streams must not go on at another version at boxes that have not heard of the version at which they began: while it
// appears, the boxes get nothing from each other, and every second one nothing from the store.
func TestCutBoxesMixVersions(t *testing.T) {
	b, err := os.ReadFile("testdata/appears.txt")
	require.NoError(t, err)
	var stops sync.WaitGroup // of fleets, which take some seconds each
	t.Cleanup(stops.Wait)
	slots := make(chan struct{}, maxFleets)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			age, err := time.ParseDuration(f[2])
			require.NoError(t, err)
			cut, err := time.ParseDuration(f[3])
			require.NoError(t, err)
			v := newAppearsTest(t, f[0] == "named")
			defer func() {
				for _, b := range v.boxes {
					stops.Go(func() { _ = b.App.Stop(context.Background()) }) // the store and the servers are gone by now
				}
			}()
			v.run(f[1], age, cut)
		})
	}
}

// run lets a version appear when the fleet has served for some time, and cuts it for some time. A version "-" does not appear.
func (v *appearsTest) run(version string, age, cut time.Duration) {
	t := v.t
	t.Helper()
	if version == "-" {
		c := v.call(t.Context(), 4*callRound)
		t.Logf("%+v", c)
		require.Equal(t, 4*callRound, c.whole)
		return
	}
	wait.For(t.Context(), age)
	if cut > 0 {
		v.setLinks(soak.Silence)
		time.AfterFunc(cut, func() { v.setLinks(soak.Pass) })
	}
	v.version = version
	v.startServer()
	v.startServer()
	x, cancel := context.WithTimeout(t.Context(), cut+callAfterCut)
	defer cancel()
	c := v.call(x, int((cut+callAfterCut)/callInterval))
	t.Logf("%+v", c)
	if cut == 0 {
		require.Empty(t, c.notBegun, "streams begin at the version that was there before")
	}
	require.Eventually(t, func() bool {
		c = v.call(t.Context(), callRound)
		return len(c.begun) == 2 && (!v.named || c.whole > c.taken/2)
	}, 20*time.Second, time.Millisecond)
	t.Logf("joined: %+v", c)
	v.requireUnmixed()
}
