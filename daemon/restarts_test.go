package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/wait"
)

// The load of a restartsTest.
const (
	restartedBoxes   = 2  // of stopsBoxes
	restartsCallers  = 24 // of each box that restarts
	restartsAnswers  = 3  // whole ones of each caller after the restart
	maxStartRefusals = 4  // of each caller, each after it was held for a while

	restartsTimeout = 30 * time.Second // of all answers
)

// restartsTest is a fleet of which some boxes start again while callers send one request after the other, over connections that they
// keep, and pay no attention to Retry-After.
type restartsTest struct {
	*stopsTest
	restarted time.Time

	mu       sync.Mutex
	refusals map[string]int // after the restart, by reason
	most     int            // of one caller
	errors   []string
}

// loop sends requests of one caller until enough have been answered after the restart.
func (r *restartsTest) loop(c context.Context, box int, path string) {
	var k *stopsCaller
	refusals := 0
	for whole := 0; whole < restartsAnswers && c.Err() == nil; {
		if k == nil {
			n, err := net.Dial("tcp", r.boxes[box].callersAddress)
			if err != nil { // between the processes
				wait.For(c, time.Millisecond)
				continue
			}
			k = newStopsCaller("", path+quickName, n)
		}
		k.id = r.nextID()
		a := r.send(k, false)
		r.mu.Lock()
		isRestarted := !r.restarted.IsZero()
		switch {
		case a.isWhole && isRestarted:
			whole++
		case a.isRefusal() && isRestarted:
			var e openai.Error
			_ = json.Unmarshal([]byte(a.text), &e)
			r.refusals[e.Error.Code+": "+e.Error.Message]++
			refusals++
			r.most = max(r.most, refusals)
		case a.err == nil && !a.isWhole && !a.isRefusal():
			r.errors = append(r.errors, a.text)
		}
		r.mu.Unlock()
		if a.err != nil || a.closes {
			_ = k.conn.Close()
			k = nil
		}
	}
	if k != nil {
		_ = k.conn.Close()
	}
}

// restart stops boxes and starts them again, knowing the others as seeds. The store may be away from then on.
func (r *restartsTest) restart(isStoreAway bool) {
	var g errgroup.Group
	for _, b := range r.boxes[:restartedBoxes] {
		g.Go(func() error { return ignoreTimeout(b.App.Stop(context.Background())) })
	}
	require.NoError(r.t, g.Wait())
	r.mu.Lock()
	r.restarted = time.Now()
	r.mu.Unlock()
	r.store.SetDown(isStoreAway)
	seeds := make([]string, 0, stopsBoxes-restartedBoxes)
	for _, b := range r.boxes[restartedBoxes:] {
		seeds = append(seeds, b.peersAddress)
	}
	for _, b := range r.boxes[:restartedBoxes] {
		r.startProcess(b, "north", nil, "[peers]", "seeds = "+strings.Join(seeds, ", "), "")
	}
}

// Boxes that start again beside others must hold the requests of callers that keep their connections in use until they know the
// configuration, which takes a moment. They refused each caller tens of times until then, and in an outage of the store all streams
// that may be resumed until its end.
func TestRestartedBoxRefusesRequests(t *testing.T) {
	for _, isStoreAway := range []bool{false, true} {
		t.Run(fmt.Sprint("store away ", isStoreAway), func(t *testing.T) {
			r := &restartsTest{stopsTest: newStopsTest(t, stopsCase{framing: "HTTP/1.1", limit: time.Second, beside: "-"}), refusals: map[string]int{}}
			c, cancel := context.WithTimeout(t.Context(), restartsTimeout)
			defer cancel()
			var g sync.WaitGroup
			for box := range restartedBoxes {
				for i := range restartsCallers {
					paths := stopsPaths["all"]
					g.Go(func() { r.loop(c, box, paths[i%len(paths)]) })
				}
			}
			r.restart(isStoreAway)
			g.Wait()
			r.store.SetDown(false)
			t.Logf("refusals after the restart: %v, %d of a caller at most", r.refusals, r.most)
			require.NoError(t, c.Err())
			require.Empty(t, r.errors)
			require.LessOrEqual(t, r.most, maxStartRefusals)
			stopAll(t, r.boxes)
		})
	}
}
