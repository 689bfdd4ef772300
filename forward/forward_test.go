package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endmark"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/termination"
	"birchlink.dev/birchlink/throttle"
	"birchlink.dev/birchlink/tunnel"
)

// codec translates the headers of the fake endpoints.
type codec struct{}

func (codec) Head(c *call.Call, a call.Attempt) http.Header {
	h := http.Header{"Id": {c.ID}}
	if a.LastEventID != "" {
		h.Set("Last-Event", a.LastEventID)
	}
	return h
}

func (codec) Outcome(status int, h http.Header) call.Outcome {
	o := call.Outcome{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", WrongIncarnation: status == http.StatusMisdirectedRequest}
	if o.WrongIncarnation {
		return o
	}
	ms, _ := strconv.Atoi(h.Get("Rest"))
	if v := h.Get("Limit"); v != "" {
		f, err := strconv.ParseFloat(v, 64)
		o.Limit = endpoint.Limit{Limited: err == nil, PerSecond: f}
		if err != nil {
			o.InvalidLimit = v
		}
	}
	if f, err := strconv.ParseFloat(h.Get("Brittle"), 64); err == nil {
		o.Refusals = endpoint.Limit{Limited: true, PerSecond: f}
	}
	o.Draining, o.BackOff = h.Get("Leaving") != "", time.Duration(ms)*time.Millisecond
	return o
}

func (codec) Check(e endpoint.Endpoint, path string) httpconn.Request {
	return httpconn.Request{
		Endpoint: e.ID, Address: e.Address, Method: http.MethodGet, Target: path, Host: "h", Header: http.Header{"Id": {"check"}},
		Matches: func(h http.Header) bool { return h.Get("Id") == "check" },
	}
}

// soleLeases holds the leases of a single box, granted at the given time.
type soleLeases time.Time

func (s soleLeases) Accrued(_ string, now time.Time) (seconds, share float64) {
	return now.Sub(time.Time(s)).Seconds(), 1
}

// recorder is a sink that records the response.
type recorder struct {
	status int
	header http.Header // of a stream
	body   string
	heads  int // calls of Head and Response
}

func (r *recorder) Head(status int, h http.Header) error {
	r.status, r.header = status, h
	r.heads++
	return nil
}

func (r *recorder) Event(raw []byte) error {
	r.body += string(raw)
	return nil
}

func (r *recorder) Response(status int, _ http.Header, body []byte) error {
	r.status, r.body = status, string(body)
	r.heads++
	return nil
}

// events returns the IDs of the events received.
func (r *recorder) events() string {
	var out []string
	for l := range strings.SplitSeq(r.body, "\n") {
		if id, ok := strings.CutPrefix(l, "id: "); ok {
			out = append(out, id)
		}
	}
	return strings.Join(out, " ")
}

// script is the state of a test script: endpoints with their behaviours, calls, and the results
// expected.
type script struct {
	t               *testing.T
	f               *forward.Forwarder
	endpoints       map[string]*fakeEndpoint
	route           catalog.Route
	service         catalog.Service
	started         int       // requests that an endpoint began to run
	last            *recorder // response to the last call
	err             error     // error of the last call
	serial          int
	lastEventID     string // of the next call
	order           rollout.Order
	piped           bool   // endpoints listen on pipes, so that they run on a fake clock
	progressUpdates uint64 // progress updates so far
}

// stages maps the names in scripts to the stages of a roll-out.
var stages = map[string]rollout.Stage{
	"canary": rollout.Canary, "ramp": rollout.Ramp, "whole": rollout.Whole, "complete": rollout.Complete, "reverted": rollout.Reverted,
}

// TestScripts runs the scripts in testdata, and on a fake clock those in testdata/clock, in which the choice of the endpoint must not depend on
// how long answers take.
func TestScripts(t *testing.T) {
	for _, dir := range []string{"testdata", "testdata/clock"} {
		files, err := filepath.Glob(dir + "/*.txt")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, p := range files {
			t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) {
				if dir == "testdata" {
					runScript(t, newScript(t), p)
					return
				}
				synctest.Test(t, func(t *testing.T) { runScript(t, newPipedScript(t), p) })
			})
		}
	}
}

// settledBudget returns the budget of a box that has run for a window.
func settledBudget(l budget.Limits) *budget.Budget {
	b := budget.New(l)
	b.Started = boottime.Now().Add(-l.Window)
	return b
}

// probe connects to an endpoint, as a box without others does to find out whether its process has ended.
func probe(c context.Context, e endpoint.Endpoint) tunnel.Outcome {
	n, err := (&net.Dialer{Timeout: time.Second}).DialContext(c, "tcp", e.Address)
	if err == nil {
		_ = n.Close()
	}
	return tunnel.OutcomeOf(err)
}

// newScript returns a script whose forwarder has no endpoints.
func newScript(t *testing.T) *script {
	t.Helper()
	s := &script{t: t, endpoints: map[string]*fakeEndpoint{}, service: catalog.Service{Name: "s"}}
	s.f = &forward.Forwarder{
		Roster: &endpoint.Roster{}, Rollouts: &rollout.Gate{}, Balancer: &balance.Balancer{}, Pool: &httpconn.Pool{DialTimeout: time.Second},
		Budget: settledBudget(budget.Limits{Ratio: 1, Slack: 1000, Window: time.Minute}), Meter: &demand.Meter{}, Quarantine: &quarantine.Quarantine{},
		Codec: codec{}, Health: codec{}, OnStart: func(string, time.Time) { s.started++ }, OnSend: func(endpoint.Endpoint, int) {},
		OnCrash: func(endpoint.Endpoint) {}, OnDraining: func(endpoint.Endpoint) {},
		OnLimitChange: func(endpointlimit.Statement) {},
		Metrics:       metrics.NewRegistry(), Log: zerolog.Nop(),
	}
	s.f.Terminations = &termination.Detector{Roster: s.f.Roster, Holds: []termination.HoldsFunc{s.f.Pool.Holds}, Probe: probe}
	s.f.Roster.OnReplaced(s.f.CancelReplaced)
	th := &throttle.Throttle{Leases: soleLeases(boottime.Now())}
	places := &occupancy.Limiter{Leases: soleLeases(boottime.Now())}
	s.f.RequestPlace = func(_ context.Context, q occupancy.Question) (occupancy.Answer, func(bool)) {
		return places.Ask(q, boottime.Now()), func(refused bool) {
			places.Return(occupancy.Return{Endpoint: q.Endpoint, Holder: q.Holder, Refused: refused}, boottime.Now())
		}
	}
	s.f.RequestPermit = func(_ context.Context, q throttle.Question) throttle.Answer { return th.Ask(q, boottime.Now()) }
	return s
}

// TestInvalidStatuses runs the scripts in testdata/statuses, with each of some invalid statuses in place of STATUS. Guards against answers
// of endpoints in trouble that reach callers, that keep requests from going on elsewhere, or that show life.
func TestInvalidStatuses(t *testing.T) {
	files, err := filepath.Glob("testdata/statuses/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, p := range files {
		for _, status := range []string{"000", "099", "101", "600", "999"} {
			t.Run(strings.TrimSuffix(filepath.Base(p), ".txt")+"/"+status, func(t *testing.T) {
				t.Parallel()
				runScript(t, newScript(t), p, "STATUS", status)
			})
		}
	}
}

// newPipedScript returns a script whose endpoints listen on pipes.
func newPipedScript(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	links := listenerPipes{at: func(address string) net.Listener { return s.endpoints[address].listener }}
	s.piped, s.f.Pool.Connector, s.f.Terminations.Probe = true, links, links.probe
	return s
}

// newEndpoint returns a fake endpoint of the script.
func (s *script) newEndpoint(name string, sequence []string) *fakeEndpoint {
	s.t.Helper()
	if s.piped {
		f := newFakeEndpointAt(s.t, newPipeListener(name), name, sequence)
		s.t.Cleanup(f.crash) // ends its goroutines
		return f
	}
	return newFakeEndpoint(s.t, name, sequence)
}

// runScript runs a script in which some words are replaced, given as pairs.
func runScript(t *testing.T, s *script, path string, replaced ...string) {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	r, replacer := bufio.NewScanner(f), strings.NewReplacer(replaced...)
	for n := 1; r.Scan(); n++ {
		words := strings.Fields(replacer.Replace(r.Text()))
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		s.step(words, path+":"+strconv.Itoa(n))
	}
	require.NoError(t, r.Err())
}

func (s *script) step(words []string, at string) {
	switch words[0] {
	case "route":
		s.setRoute(words[1:])
	case "endpoint":
		s.endpoints[words[1]] = s.newEndpoint(words[1], words[2:])
		s.endpoints[words[1]].drain = func() { s.f.Roster.Put(endpoint.Endpoint{ID: words[1], Draining: true}) }
		s.endpoints[words[1]].lapse = func() { s.f.Roster.Remove(words[1]) }
		s.f.Roster.Put(endpoint.Endpoint{ID: words[1], Service: "s", Slots: 4, Version: "v1", Address: s.endpoints[words[1]].listener.Addr().String()})
		s.endpoints[words[1]].replace = func() {
			s.f.Roster.Put(endpoint.Endpoint{ID: words[1], StartMillis: 2, Service: "s", Slots: 4, Version: "v1", Address: s.endpoints["anew"].listener.Addr().String()})
		}
	case "health": // endpoints have a health check
		s.service.HealthPath = healthPath
	case "process": // a process that is not registered as an endpoint
		s.endpoints[words[1]] = s.newEndpoint(words[1], words[2:])
	case "version": // the software version of an endpoint
		e, _ := s.f.Roster.Get(words[1])
		e.Version = strings.Trim(words[2], "-") // "-" for unknown
		s.f.Roster.Put(e)
	case "unsettled": // the versions at which no streams may begin that can be taken up elsewhere
		s.f.Unsettled = func(string) []string { return words[1:] }
	case "remote": // put an endpoint into another data centre
		e, _ := s.f.Roster.Get(words[1])
		e.DataCentre = "remote"
		s.f.Roster.Put(e)
	case "order": // order the roll-out of a version
		s.order = rollout.Order{Service: "s", Version: words[1], Duration: time.Minute, Revision: s.order.Revision + 1}
		s.f.Rollouts.SetOrders(rollout.Orders{Revision: s.order.Revision, List: []rollout.Order{s.order}})
	case "stage": // the stage of the roll-out and the share of the requests that may go to the version
		share, err := strconv.ParseFloat(words[2], 64)
		require.NoError(s.t, err, at)
		s.progressUpdates++
		p := rollout.Progress{Order: s.order, Stage: stages[words[1]], Share: share, Count: s.progressUpdates}
		s.f.Rollouts.MergeReports(map[string]rollout.Progress{"s": p}, boottime.Now())
	case "budget":
		s.f.Budget = budget.New(budget.Limits{Window: time.Minute})
	case "call":
		s.call("", "body", nil)
	case "prompt": // a call whose content comes once and whose prompt has these shared parts
		parts := make([]requesthash.Hash, len(words)-1)
		for n, p := range words[1:] {
			parts[n] = requesthash.PartOf("s", p)
		}
		s.call("", "prompt "+strconv.Itoa(s.serial), parts)
	case "marked": // the streams of the service have ended with an event without an ID so far
		for i := range 16 {
			s.f.EndMarks.Record("s", strconv.Itoa(i%2), endmark.HashOf([]byte("data: no ID\n\n")))
		}
	case "rising": // most answers so far have left numbers out
		for i := range 64 {
			s.f.Numbering.Record("s", strconv.Itoa(i%2), false)
		}
	case "after": // the next call asks for the events after this one
		s.lastEventID = words[1]
	case "take_up": // a call that takes up a stream that began at a version
		s.call(words[1], "body", nil)
	case "skip": // advance the clock
		d, err := time.ParseDuration(words[1])
		require.NoError(s.t, err, at)
		boottime.SimulateSuspension(d)
	case "anew": // start another process under the ID of an endpoint
		s.endpoints[words[1]].replace()
	case "closed":
		<-s.endpoints[words[1]].closed
	case "expect":
		s.expect(words[1:], at)
	default:
		s.t.Fatalf("%s: no step %q", at, words[0])
	}
}

// setRoute parses the kind of the route, optionally "resumable", and the maximum of attempts.
func (s *script) setRoute(words []string) {
	kinds := map[string]catalog.Kind{"idempotent": catalog.Idempotent, "mutating": catalog.Mutating, "stream": catalog.Stream}
	n, err := strconv.Atoi(words[len(words)-1])
	require.NoError(s.t, err)
	s.route = catalog.Route{
		Kind: kinds[words[0]], Resumable: slices.Contains(words, "resumable"), MaxAttempts: n, LatencyObjective: 200 * time.Millisecond,
	}
}

func (s *script) call(version, body string, parts []requesthash.Hash) {
	s.serial++
	s.last = &recorder{}
	c := &call.Call{LastEventID: s.lastEventID, ID: strconv.Itoa(s.serial), Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte(body), Arrived: boottime.Now()}
	q := forward.Request{
		Call: c, Route: &s.route, Service: &s.service, Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(5 * time.Second),
		Content: requesthash.HashOf("a", c), Parts: parts, Version: version,
	}
	s.lastEventID = ""
	if s.err = s.f.Check(q); s.err == nil {
		_, s.err = s.f.Do(context.Background(), q, s.last)
	}
}

func (s *script) expect(words []string, at string) {
	switch words[0] {
	case "status":
		require.NoError(s.t, s.err, at)
		require.Equal(s.t, words[1], strconv.Itoa(s.last.status), at)
	case "body":
		require.Equal(s.t, strings.Join(words[1:], " "), s.last.body, at)
	case "text": // the body, with single spaces
		require.Equal(s.t, strings.Join(words[1:], " "), strings.Join(strings.Fields(s.last.body), " "), at)
	case "events":
		require.Equal(s.t, strings.Join(words[1:], " "), s.last.events(), at)
		require.Equal(s.t, 1, s.last.heads, at)
	case "from": // the endpoint whose head the stream has
		require.Equal(s.t, words[1], s.last.header.Get("From"), at)
	case "error":
		var e *errkind.Error
		require.True(s.t, errors.As(s.err, &e), "%s: %v", at, s.err)
		require.Equal(s.t, words[1], e.Kind.String(), at)
	case "runs":
		f := s.endpoints[words[1]]
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(s.t, words[2], strconv.Itoa(f.runs), at)
	case "checked": // the number of health checks
		f := s.endpoints[words[1]]
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(s.t, words[2], strconv.Itoa(f.checks), at)
	case "asked":
		f := s.endpoints[words[1]]
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(s.t, words[2], strconv.Itoa(f.requests), at)
	case "retry_after": // with up to a fifth added; less is left, since the script takes time
		var e *errkind.Error
		require.True(s.t, errors.As(s.err, &e), "%s: %v", at, s.err)
		d, err := time.ParseDuration(words[1])
		require.NoError(s.t, err, at)
		require.Greater(s.t, e.RetryAfter, d/2, at)
		require.LessOrEqual(s.t, e.RetryAfter, d*6/5, at)
	case "connections":
		f := s.endpoints[words[1]]
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(s.t, words[2], strconv.Itoa(f.conns), at)
	case "resumed":
		f := s.endpoints[words[1]]
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Contains(s.t, f.lastEvents, words[2], at)
	case "ended":
		n := 0
		for _, f := range s.endpoints {
			f.mu.Lock()
			if f.crashed {
				n++
			}
			f.mu.Unlock()
		}
		require.Equal(s.t, words[1], strconv.Itoa(n), at)
	case "began":
		require.Equal(s.t, words[1], strconv.Itoa(s.started), at)
	case "heads": // the number of heads that the caller got
		require.Equal(s.t, words[1], strconv.Itoa(s.last.heads), at)
	case "counted": // a metric
		require.Equal(s.t, words[2], strconv.FormatInt(metrics.GetOrRegisterCounter(words[1], s.f.Metrics).Count(), 10), at)
	default:
		s.t.Fatalf("%s: nothing to expect is called %q", at, words[0])
	}
}

// Tests that logs and metrics distinguish an endpoint that answered with an error from one that did
// not answer.
func TestInterruptionNames(t *testing.T) {
	for behaviour, want := range map[string]string{"error:500": "failed", "reset": "gone"} {
		var out bytes.Buffer
		s := newScript(t)
		s.f.Log = zerolog.New(&out)
		s.step([]string{"route", "idempotent", "1"}, "")
		s.step([]string{"endpoint", "a", behaviour}, "")
		s.call("", "body", nil)
		require.Contains(t, out.String(), `"break":"`+want+`"`)
		require.EqualValues(t, 1, metrics.GetOrRegisterCounter("attempts.broke."+want, s.f.Metrics).Count())
	}
}

// Tests that the log says how many attempts count against the limit of a request.
func TestCountedAttemptsAreLogged(t *testing.T) {
	var out bytes.Buffer
	s := newScript(t)
	s.f.Log = zerolog.New(&out)
	s.step([]string{"route", "idempotent", "2"}, "")
	s.step([]string{"endpoint", "a", "error:500"}, "")
	s.step([]string{"endpoint", "b", "error:500"}, "")
	s.call("", "body", nil)
	require.Contains(t, out.String(), `"attempt":1,"counted":1,"max_attempts":2,`)
	require.Contains(t, out.String(), `"attempt":2,"counted":2,"max_attempts":2,`)
	require.NotContains(t, out.String(), "not_counted")
}

// Tests that the log says which attempts don't count because their processes have ended, and what a request found whose attempts
// were used up.
func TestEndedAttemptsAreLogged(t *testing.T) {
	for last, want := range map[string]string{
		"crash": `"process":"running","seen":"serves"`, "leave_reset": `"process":"running","seen":"connected"`, "leave_crash": `"process":"ended","seen":"refused"`,
	} {
		t.Run(last, func(t *testing.T) {
			var out bytes.Buffer
			s := newScript(t)
			s.f.Log = zerolog.New(&out)
			s.step([]string{"route", "idempotent", "1"}, "")
			s.step([]string{"endpoint", "a", last}, "")
			s.step([]string{"endpoint", "b", "ok"}, "")
			s.call("", "body", nil)
			require.Contains(t, out.String(), `"event":"attempts used","request":"1","endpoint":"a",`+want)
			require.Equal(t, last == "leave_crash", strings.Contains(out.String(), `"counted":0,"max_attempts":1,"not_counted":["a ended"]`))
			require.Equal(t, last == "leave_crash", s.err == nil)
		})
	}
}

// Tests that an endpoint that sends each event twice makes one line in the log, which has the beginnings of IDs.
func TestRepeatedEventsAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	s := newScript(t)
	s.f.Log = zerolog.New(&out)
	long := strings.Repeat("9", 1000)
	s.step([]string{"rising"}, "")
	s.step([]string{"route", "stream", "1"}, "")
	s.step([]string{"endpoint", "a", "events:1,1,2,2,3,3,4,4," + long + ",end"}, "")
	s.call("", "body", nil)
	require.NoError(t, s.err)
	require.Equal(t, 1, strings.Count(out.String(), `"verdict":"repeated"`))
	require.EqualValues(t, 4, metrics.GetOrRegisterCounter("streams.event.repeated", s.f.Metrics).Count())
	s.step([]string{"after", long}, "")
	s.call("", "body", nil)
	require.Contains(t, out.String(), `"after":"`+long[:50])
	require.NotContains(t, out.String(), long[:100])
}

// Tests that the log and the metrics tell a repeat for which the budget has no room from a request whose attempts
// are used up, and say what each repeat was for.
func TestRepeatsAreRecorded(t *testing.T) {
	for name, v := range map[string]struct {
		limits     budget.Limits
		attempts   string
		wantMetric string
		wantReason string
	}{
		"paid":          {budget.Limits{Slack: 1000, Window: time.Minute}, "2", "repeats.s.paid.failed", "the request's attempts are used up"},
		"denied":        {budget.Limits{Window: time.Minute}, "2", "repeats.s.denied.failed", "the service's retries are used up"},
		"attempts used": {budget.Limits{Slack: 1000, Window: time.Minute}, "1", "", "the request's attempts are used up"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			s := newScript(t)
			s.f.Log, s.f.Budget = zerolog.New(&out), settledBudget(v.limits)
			s.step([]string{"route", "idempotent", v.attempts}, "")
			s.step([]string{"endpoint", "a", "error:500"}, "")
			s.step([]string{"endpoint", "b", "error:500"}, "")
			s.call("", "body", nil)
			require.Contains(t, out.String(), `"reason":"`+v.wantReason+`"`)
			if v.wantMetric == "" {
				require.NotContains(t, out.String(), `"event":"repeat"`)
				return
			}
			require.Contains(t, out.String(), `"event":"repeat","request":"1","service":"s"`)
			require.EqualValues(t, 1, metrics.GetOrRegisterCounter(v.wantMetric, s.f.Metrics).Count())
		})
	}
}
