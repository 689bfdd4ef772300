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

// failureScenario is a line of the data file: some of the endpoints fail a percentage of their
// calls after a delay.
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
	tried    map[string]bool   // endpoints that the request was sent to
	balancer *balance.Balancer // of the box that sent it
	counted  bool              // the request arrived after learningTime
}

// simulation is one run of a scenario.
type simulation struct {
	failureScenario
	rng        *rand.Rand
	balancers  []*balance.Balancer
	candidates []endpoint.Endpoint
	attempts   []inFlight
	arrived    int // requests
	counted    int // requests that arrived after learningTime
	served     int
}

// Times of a simulation.
const (
	simStep        = time.Millisecond
	arrivalSteps   = 5   // steps between requests
	exchangeSteps  = 500 // steps between exchanges among the boxes
	simDuration    = 5 * time.Second
	healthyLatency = 20 * time.Millisecond
	maxAttempts    = 2

	// learningTime is enough to observe failures and report them: two exchanges.
	learningTime = time.Second
)

// send sends an attempt of a request.
func (s *simulation) send(b *balance.Balancer, tried map[string]bool, counted bool, now time.Time) {
	ch, ok := b.Choose(s.candidates, balance.Query{DataCentre: "dc0", Skip: tried, EndpointLost: len(tried) > 0 && s.failAfter > healthyLatency}, now)
	if !ok {
		return
	}
	tried[ch.Endpoint.Incarnation()] = true
	x := inFlight{end: now.Add(healthyLatency), attempt: b.Begin(ch.Endpoint, ch, now), tried: tried, balancer: b, counted: counted}
	if indexOf(s.candidates, ch.Endpoint.ID) < s.failing && s.rng.IntN(100) < s.failPercent {
		x.failed, x.end = true, now.Add(s.failAfter)
	}
	s.attempts = append(s.attempts, x)
}

// finish ends an attempt. A failed one is retried at another endpoint if an attempt is left.
func (s *simulation) finish(x inFlight, now time.Time) {
	if !x.failed {
		x.attempt.RecordProgress(now)
		x.attempt.RecordAnswer()
		x.attempt.End(false, now)
		if x.counted {
			s.served++
		}
		return
	}
	x.attempt.RecordRefusal(now)
	x.attempt.End(true, now)
	if len(x.tried) < maxAttempts {
		s.send(x.balancer, x.tried, x.counted, now)
	}
}

// exchange makes all boxes, which are in one data centre, exchange their failure reports.
func (s *simulation) exchange(now time.Time) {
	reports := make([]map[string]balance.CallCounts, len(s.balancers))
	for i, b := range s.balancers {
		reports[i] = b.FailureReport(now)
	}
	for i, b := range s.balancers {
		others := map[string]balance.CallCounts{}
		for j, report := range reports {
			for id, x := range report {
				if j != i {
					others[id] = balance.CallCounts{Total: others[id].Total + x.Total, Failed: others[id].Failed + x.Failed}
				}
			}
		}
		b.SetRemoteLoad(nil, len(s.balancers)-1, now)
		b.SetPeers(len(s.balancers)-1, 0)
		b.SetRemoteFailures(others, now)
	}
}

// run returns how many of 1,000 requests were answered.
func (s *simulation) run() int {
	for n := 0; n < int(simDuration/simStep); n++ {
		now := epoch.Add(time.Duration(n) * simStep)
		if n%exchangeSteps == 0 {
			s.exchange(now)
		}
		pending := s.attempts
		s.attempts = nil
		for _, x := range pending {
			if now.Before(x.end) {
				s.attempts = append(s.attempts, x)
				continue
			}
			s.finish(x, now)
		}
		if n%arrivalSteps != 0 {
			continue
		}
		counted := now.Sub(epoch) >= learningTime
		if counted {
			s.counted++
		}
		s.arrived++
		s.send(s.balancers[s.arrived%len(s.balancers)], map[string]bool{}, counted, now)
	}
	return s.served * 1000 / (s.counted - len(s.attempts))
}

// Where some endpoints fail a part of their calls, faster or slower than they answer, the requests
// are served by the healthy endpoints.
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
			rng := rand.New(rand.NewPCG(seed, 3))
			c := &simulation{failureScenario: f, rng: rng, candidates: endpoints(f.endpoints)}
			for range f.boxes {
				c.balancers = append(c.balancers, &balance.Balancer{Rand: rng.Float64})
			}
			served := c.run()
			require.GreaterOrEqual(t, served, f.minServed, "%s, seed %d", r.Text(), seed)
		}
	}
}
