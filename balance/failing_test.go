package balance_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
)

// failureScenario is a line of the data file: so many of the endpoints fail a part of their calls after a
// time.
type failureScenario struct {
	boxes, endpoints, failing, failPercent int
	failAfter                              time.Duration
	minServed                              int
}

// inFlight is an attempt under way.
type inFlight struct {
	end      time.Time
	attempt  *balance.Attempt
	failed   bool
	tried    map[string]bool   // the endpoints of its request
	balancer *balance.Balancer // of the box that has it
	counted  bool              // its request came once failures could be known
}

// simulation is one play of a line.
type simulation struct {
	failureScenario
	rng        *rand.Rand
	balancers  []*balance.Balancer
	candidates []endpoint.Endpoint
	attempts   []inFlight
	arrived    int // requests that came
	counted    int // those that count
	served     int
}

// The times of a course.
const (
	simStep        = time.Millisecond
	arrivalSteps   = 5   // steps from one request to the next
	exchangeSteps  = 500 // steps from one exchange between the boxes to the next
	simDuration    = 5 * time.Second
	healthyLatency = 20 * time.Millisecond
	maxAttempts    = 2

	// learningTime is the time in which failures are seen and told: two rounds between boxes.
	learningTime = time.Second
)

// send makes an attempt of a request.
func (c *simulation) send(b *balance.Balancer, tried map[string]bool, counts bool, now time.Time) {
	ch, ok := b.Choose(c.candidates, balance.Query{DataCentre: "dc0", Skip: tried, EndpointLost: len(tried) > 0 && c.failAfter > healthyLatency}, now)
	if !ok {
		return
	}
	tried[ch.Endpoint.Incarnation()] = true
	x := inFlight{end: now.Add(healthyLatency), attempt: b.Begin(ch.Endpoint, ch, now), tried: tried, balancer: b, counted: counts}
	if indexOf(c.candidates, ch.Endpoint.ID) < c.failing && c.rng.IntN(100) < c.failPercent {
		x.failed, x.end = true, now.Add(c.failAfter)
	}
	c.attempts = append(c.attempts, x)
}

// finish ends an attempt; what failed goes on elsewhere if it may.
func (c *simulation) finish(x inFlight, now time.Time) {
	if !x.failed {
		x.attempt.Progress(now)
		x.attempt.Answered()
		x.attempt.End(false, now)
		if x.counted {
			c.served++
		}
		return
	}
	x.attempt.Refused(now)
	x.attempt.End(true, now)
	if len(x.tried) < maxAttempts {
		c.send(x.balancer, x.tried, x.counted, now)
	}
}

// exchange lets all boxes, of one data centre, tell each other.
func (c *simulation) exchange(now time.Time) {
	told := make([]map[string]balance.CallCounts, len(c.balancers))
	for i, b := range c.balancers {
		told[i] = b.FailureReport(now)
	}
	for i, b := range c.balancers {
		others := map[string]balance.CallCounts{}
		for j, of := range told {
			for id, x := range of {
				if j != i {
					others[id] = balance.CallCounts{Total: others[id].Total + x.Total, Failed: others[id].Failed + x.Failed}
				}
			}
		}
		b.SetRemoteLoad(nil, len(c.balancers)-1, now)
		b.SetPeers(len(c.balancers)-1, 0)
		b.SetRemoteFailures(others, now)
	}
}

// run returns how many of 1,000 requests were answered.
func (c *simulation) run() int {
	for n := 0; n < int(simDuration/simStep); n++ {
		now := epoch.Add(time.Duration(n) * simStep)
		if n%exchangeSteps == 0 {
			c.exchange(now)
		}
		ended := c.attempts
		c.attempts = nil
		for _, x := range ended {
			if now.Before(x.end) {
				c.attempts = append(c.attempts, x)
				continue
			}
			c.finish(x, now)
		}
		if n%arrivalSteps != 0 {
			continue
		}
		counts := now.Sub(epoch) >= learningTime
		if counts {
			c.counted++
		}
		c.arrived++
		c.send(c.balancers[c.arrived%len(c.balancers)], map[string]bool{}, counts, now)
	}
	return c.served * 1000 / (c.counted - len(c.attempts))
}

// Where a part of the endpoints fails a part of its calls, sooner than they answer or later,
// requests are answered as the sound endpoints can.
func TestFailingEndpoints(t *testing.T) {
	file, err := os.Open("testdata/failing.txt")
	require.NoError(t, err)
	defer file.Close()
	for r := bufio.NewScanner(file); r.Scan(); {
		if strings.HasPrefix(r.Text(), "#") {
			continue
		}
		var f failureScenario
		var after string
		_, err := fmt.Sscan(r.Text(), &f.boxes, &f.endpoints, &f.failing, &f.failPercent, &after, &f.minServed)
		require.NoError(t, err, r.Text())
		f.failAfter, err = time.ParseDuration(after)
		require.NoError(t, err, r.Text())
		for seed := range uint64(2) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			c := &simulation{failureScenario: f, rng: rnd, candidates: endpoints(f.endpoints)}
			for range f.boxes {
				c.balancers = append(c.balancers, &balance.Balancer{Rand: rnd.Float64})
			}
			n := c.run()
			require.GreaterOrEqual(t, n, f.minServed, "%s, seed %d", r.Text(), seed)
		}
	}
}
