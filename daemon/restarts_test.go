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
	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/wait"
)

// The load of a restartsTest.
const (
	restartedBoxes   = 2  // of stopsBoxes
	restartsCallers  = 24 // of each box that restarts
	restartsAnswers  = 3  // whole ones of each caller after the restart
	maxStartRefusals = 4  // of each caller, each after it was held for a while

	restartsTimeout = 30 * time.Second // of all answers

	// accountRate is the rate of the callers' account if it has one.
	accountRate = `"rate_per_s":1e5,"burst":1e5,`
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
		case a.err == nil && !a.isWhole && isRestarted && !strings.Contains(a.text, "is over its rate"):
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

// limitAccount gives the callers' account a rate.
func (r *restartsTest) limitAccount() {
	name := fmt.Sprintf(`"name":%q`, standin.Tenant)
	config := strings.Replace(standin.LargeConfig(2, r.service, 0, nil), name, accountRate+name, 1)
	r.store.Set(standin.ConfigKey, config)
	for _, b := range r.boxes {
		require.Eventually(r.t, func() bool { return b.hasMetric(r.t, "configuration.version", 2) }, 20*time.Second, 5*time.Millisecond)
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
// configuration, which takes a moment. They refused each caller tens of times until then, in an outage of the store all streams that
// may be resumed until its end, and what they had held if its account has a rate.
func TestRestartedBoxRefusesRequests(t *testing.T) {
	for _, c := range []struct {
		name                   string
		isStoreAway, isLimited bool
	}{
		{"store answers", false, false},
		{"store is away", true, false},
		{"account has a rate", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &restartsTest{stopsTest: newStopsTest(t, stopsCase{framing: "HTTP/1.1", limit: time.Second, beside: "-"}), refusals: map[string]int{}}
			if c.isLimited {
				r.limitAccount()
			}
			x, cancel := context.WithTimeout(t.Context(), restartsTimeout)
			defer cancel()
			var g sync.WaitGroup
			for box := range restartedBoxes {
				for i := range restartsCallers {
					paths := stopsPaths["all"]
					g.Go(func() { r.loop(x, box, paths[i%len(paths)]) })
				}
			}
			r.restart(c.isStoreAway)
			g.Wait()
			r.store.SetDown(false)
			t.Logf("refusals after the restart: %v, %d of a caller at most", r.refusals, r.most)
			require.NoError(t, x.Err())
			require.Empty(t, r.errors)
			require.LessOrEqual(t, r.most, maxStartRefusals)
			stopAll(t, r.boxes)
		})
	}
}
