package ingress

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/stand/script"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/termination"
	"birchlink.dev/birchlink/throttle"
	"birchlink.dev/birchlink/tunnel"
)

// A box that is stopped ends after stopLimit, and accepts requests for stopDelay.
const (
	stopDelay = 2500 * time.Millisecond
	stopLimit = 8 * time.Second
)

// bodyInterval is the time between two parts of a body.
const bodyInterval = 100 * time.Millisecond

// stoppingCodec is the codec of callers and of endpoints. The header Deadline has the time that a caller waits, and Answer the time
// that an endpoint takes to answer with Status. The first answer ends after the time Breaks, if that is given.
type stoppingCodec struct{ plainCodec }

func (stoppingCodec) Decode(r *http.Request, arrived time.Time) (*call.Call, error) {
	timeout, _ := time.ParseDuration(r.Header.Get("Deadline"))
	return &call.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.Path, Key: r.Header.Get("Key"),
		Resumes: r.Header.Get("Resumes"), Arrived: arrived, Timeout: timeout,
		Header: http.Header{"Id": r.Header["Id"], "Answer": r.Header["Answer"], "Status": r.Header["Status"], "Breaks": r.Header["Breaks"]},
	}, nil
}

func (stoppingCodec) Head(c *call.Call, _ call.Attempt) http.Header { return c.Header }

func (stoppingCodec) Outcome(_ int, h http.Header) call.Outcome {
	return call.Outcome{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// holds are the times until which something is waited for, by its name.
type holds struct {
	began time.Time
	until map[string]time.Duration
}

// left returns the time until a hold ends.
func (h *holds) left(what string) time.Duration { return h.until[what] - time.Since(h.began) }

// wait waits until a hold ends or the context does.
func (h *holds) wait(c context.Context, what string) {
	select {
	case <-c.Done():
	case <-time.After(h.left(what)):
	}
}

// Take is a rate limiter that answers after the hold "quota".
func (h *holds) Take(c context.Context, _ quota.Question) (quota.Answer, quota.Arbiter) {
	h.wait(c, "quota")
	return quota.Answer{OK: c.Err() == nil}, quota.Arbiter{Box: "other"}
}

// Find finds the origin of each stream after the hold "origin".
func (h *holds) Find(c context.Context, _, _, service, _ string) origin.Finding {
	h.wait(c, "origin")
	return origin.Finding{Origin: origin.Origin{Service: service, Version: "v1"}, Known: c.Err() == nil}
}

// pipeConnector connects to endpoints after the hold "dial". All endpoints answer alike.
type pipeConnector struct {
	*holds
	refusesAfter time.Duration // zero: the endpoints run what they get
	leave        func(name string)
	left         sync.Once // the first endpoint that refuses leaves

	serving sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
	sent    map[string][]time.Duration // when each request arrived, by its ID
}

func (p *pipeConnector) Connect(c context.Context, id, _ string) (net.Conn, error) {
	p.wait(c, "dial")
	if err := c.Err(); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	p.add(far)
	p.serving.Go(func() { p.serve(far, id) })
	return near, nil
}

func (p *pipeConnector) Refuses(context.Context, string, string, time.Duration) (net.Conn, bool) {
	return nil, false
}

func (p *pipeConnector) Check(string, string, time.Time) {}

func (p *pipeConnector) RecordTraffic(string) {}

func (p *pipeConnector) ReusableSince(string) time.Time { return time.Time{} }

func (p *pipeConnector) IsLost(string) bool { return false }

// serve serves one request. Streams have an event at the beginning and another at the end.
func (p *pipeConnector) serve(c net.Conn, name string) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := q.Header.Get("Id")
	sends := p.record(id)
	_, _ = io.Copy(io.Discard, q.Body)
	took, _ := time.ParseDuration(q.Header.Get("Answer"))
	breaks, _ := time.ParseDuration(q.Header.Get("Breaks"))
	switch {
	case breaks > 0 && sends == 1:
		time.Sleep(breaks)
	case p.refusesAfter > 0:
		time.Sleep(p.refusesAfter)
		p.left.Do(func() { p.leave(name) })
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
	case strings.HasPrefix(q.URL.Path, "/stream"):
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for n, after := range []time.Duration{took / 2, took / 2} {
			time.Sleep(after)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	default:
		time.Sleep(took)
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", cmp.Or(q.Header.Get("Status"), "200"), id)
	}
}

func (p *pipeConnector) add(far net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, far)
}

// close ends the endpoints.
func (p *pipeConnector) close() {
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.serving.Wait()
}

// record records a request and returns how often it came.
func (p *pipeConnector) record(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[id] = append(p.sent[id], time.Since(p.began))
	return len(p.sent[id])
}

// times returns when a request was sent.
func (p *pipeConnector) times(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.sent[id]))
	for _, d := range p.sent[id] {
		out = append(out, d.String())
	}
	return strings.Join(out, " ")
}

// stoppingRoutes are the routes of the tests. Their names are the beginnings of their paths.
func stoppingRoutes() []catalog.Route {
	shares := []catalog.Share{{Service: "s", Weight: 1}}
	rs := []catalog.Route{
		{Name: "plain", Kind: catalog.Idempotent, MaxAttempts: 2},
		{Name: "single", Kind: catalog.Idempotent, MaxAttempts: 1},
		{Name: "once", Kind: catalog.Mutating, MaxAttempts: 1},
		{Name: "stream", Kind: catalog.Stream, Resumable: true, MaxAttempts: 2},
		{Name: "stream-once", Kind: catalog.Stream, MaxAttempts: 1},
		{Name: "limited", Kind: catalog.Idempotent, MaxAttempts: 1},
	}
	for i := range rs {
		r := &rs[i]
		r.Host, r.Prefix, r.Public, r.Shares, r.Timeout = "h", "/"+r.Name+"/", r.Name != "limited", shares, 30*time.Second
	}
	return rs
}

// pipeListener accepts pipes until it is closed.
type pipeListener struct {
	oneConn
	closed context.Context
	end    context.CancelFunc
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	l.end()
	return nil
}

// answer is what a caller got.
type answer struct {
	outcome string // served, refused or cut
	at      time.Duration
	err     openai.Error // of a refusal
	close   bool         // the connection is closed

	bodyAsked bool // the box asked for the body of a request that waits for that
}

// stopping plays a script against a box that is stopped.
type stopping struct {
	holds
	t         *testing.T
	box       *Ingress
	listener  pipeListener
	endpoints *pipeConnector
	logs      *lockedBuffer

	wg      sync.WaitGroup
	mu      sync.Mutex
	answers map[string]answer
}

// lockedBuffer keeps log entries.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newStopping returns a box with two endpoints.
func newStopping(t *testing.T) *stopping {
	t.Helper()
	s := &stopping{t: t, answers: map[string]answer{}, logs: &lockedBuffer{}}
	s.holds = holds{began: time.Now(), until: map[string]time.Duration{}}
	s.endpoints = &pipeConnector{holds: &s.holds, leave: func(string) {}, sent: map[string][]time.Duration{}}
	state := fleetstate.New(fleetstate.Source{DecodeConfig: func([]byte) (*catalog.Document, error) {
		accounts := []catalog.Account{{Name: "acc", Keys: []string{"k"}, Rate: 1000, Burst: 1000}}
		return &catalog.Document{Version: 1, Routes: stoppingRoutes(), Services: []catalog.Service{{Name: "s"}}, Accounts: accounts}, nil
	}}, &memstore.Store{}, zerolog.Nop())
	require.NoError(t, state.Install(nil, "test"))
	state.Merge(fleetstate.Records{Whole: true, To: 1})
	f := &forward.Forwarder{
		Roster: &state.Roster, Rollouts: &rollout.Gate{}, Balancer: &balance.Balancer{}, Pool: &httpconn.Pool{Connector: s.endpoints},
		Budget: budget.New(budget.Limits{Ratio: 1, Slack: 1000, Window: time.Minute}), Meter: &demand.Meter{}, Quarantine: &quarantine.Quarantine{},
		Codec: stoppingCodec{}, OnStart: func(string, time.Time) {}, OnSend: func(endpoint.Endpoint, int) {}, OnCrash: func(endpoint.Endpoint) {},
		OnDraining: func(endpoint.Endpoint) {}, OnLimitChange: func(endpointlimit.Statement) {}, Shutdown: &shutdown.Window{},
		Metrics: metrics.NewRegistry(), Log: zerolog.Nop(),
	}
	f.Budget.Started = boottime.Now().Add(-time.Hour)
	f.Unsettled = func(string) []string {
		if s.left("version") > 0 {
			return []string{"v1"}
		}
		return nil
	}
	f.RequestPlace = func(context.Context, occupancy.Question) (occupancy.Answer, func(bool)) {
		left := s.left("place")
		return occupancy.Answer{OK: left <= 0, After: left}, func(bool) {}
	}
	f.SpendCredit = func(c context.Context, _ string) (string, bool) {
		s.wait(c, "credit")
		return "", c.Err() == nil
	}
	f.RequestPermit = func(c context.Context, _ throttle.Question) throttle.Answer {
		s.wait(c, "permit")
		return throttle.Answer{OK: c.Err() == nil, After: time.Second}
	}
	o := Options{ShutdownDelay: stopDelay, ShutdownTimeout: stopLimit}
	s.box = New(o, stoppingCodec{}, f, &s.holds, &s.holds, metrics.NewRegistry(), zerolog.New(s.logs))
	s.box.state, s.box.session = state, storesession.New(&memstore.Store{}, zerolog.Nop())
	s.box.setServers()
	s.addEndpoints()
	s.listener.conns = make(chan net.Conn)
	s.listener.closed, s.listener.end = context.WithCancel(t.Context())
	go func() { _ = s.box.server.Serve(s.listener) }()
	return s
}

func (s *stopping) addEndpoints() {
	for _, id := range []string{"a", "b"} {
		s.box.state.Roster.Put(endpoint.Endpoint{ID: id, Service: "s", Slots: 64, Version: "v1", Address: id})
	}
}

// sleepUntil lets the clock pass to a time of the script.
func (s *stopping) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(s.began)) }

// request sends a request: NAME key=value... The route is plain by default. The connection is accepted at the beginning of the script, and
// the body comes in parts from the time "at" on, for the time "body".
func (s *stopping) request(name string, o map[string]string) {
	near, far := net.Pipe()
	s.listener.conns <- far
	at, body := duration(s.t, o["at"]), duration(s.t, o["body"])
	route := o["route"]
	if route == "" {
		route = "plain"
	}
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nAnswer: %s\r\nDeadline: %s\r\n", route, name, o["answer"], o["deadline"])
	for _, h := range []string{"resumes", "key", "status", "breaks", "expect"} {
		if v := o[h]; v != "" {
			head += strings.ToUpper(h[:1]) + h[1:] + ": " + v + "\r\n"
		}
	}
	parts := int(body / bodyInterval)
	isChunked := o["framing"] != "length" && parts > 0
	if isChunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", parts)
	}
	s.sleepUntil(at)
	s.wg.Go(func() {
		_, err := io.WriteString(near, head)
		for range parts {
			if err != nil {
				return
			}
			time.Sleep(bodyInterval)
			if isChunked {
				_, err = io.WriteString(near, "1\r\nx\r\n")
			} else {
				_, err = io.WriteString(near, "x")
			}
		}
		if isChunked {
			_, _ = io.WriteString(near, "0\r\n\r\n")
		}
	})
	if v := o["leaves"]; v != "" {
		time.AfterFunc(duration(s.t, v), func() { _ = near.Close() })
	}
	s.wg.Go(func() {
		a := s.readAnswer(near)
		a.at = time.Since(s.began)
		_ = near.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers[name] = a
	})
}

// readAnswer reads the answer to a request.
func (s *stopping) readAnswer(n net.Conn) answer {
	rd := bufio.NewReader(n)
	resp, err := http.ReadResponse(rd, nil)
	a := answer{outcome: "cut"}
	if err == nil && resp.StatusCode == http.StatusContinue {
		a.bodyAsked = true
		resp, err = http.ReadResponse(rd, nil)
	}
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.close = resp.Close
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK:
		a.outcome = "served"
	default:
		a.outcome = "refused"
		if json.Unmarshal(b, &a.err) != nil || resp.Header.Get("Retry-After") == "" && a.err.Error.Run == "not_run" {
			a.outcome = "malformed"
		}
		if a.err.Error.Run != "not_run" {
			a.outcome = "lost"
		}
	}
	return a
}

// options parses words of the form key=value.
func options(words []string) map[string]string {
	o := map[string]string{"at": "0s", "body": "0s", "answer": "0s"}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	return o
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	require.NoError(t, err)
	return d
}

// do carries out a command:
//
//	measured COUNT key=value...   the box has served that many requests before the script
//	hold WHAT TIME                what requests wait for until a time: a place, permit, quota, origin, version, credit, dial or endpoint
//	refuse TIME                   endpoints don't run what they get, and say so after a time
//	unclear                       the first endpoint that does so leaves, and it is not clear whether its process has ended
//	request NAME key=value...     sends a request; see stopping.request
//	stop TIME [END]               stops the box, which ends its requests at END if that is given
//	expect NAME OUTCOME TIME [SENT...]
//	expect NAME refused TIME KIND [SENT...]
//	asked NAME yes|no             whether the caller was asked for the body
//	logged NAME TEXT              part of the log entry on the answer to a request
//	long ROUTE TIME SAMPLES       the time of long answers
func (s *stopping) do(f []string) {
	t := s.t
	switch f[0] {
	case "measured":
		s.measure(f[1], options(f[2:]))
	case "hold":
		s.hold(f[1], duration(t, f[2]))
	case "refuse":
		s.endpoints.refusesAfter = duration(t, f[1])
	case "unclear":
		s.endpoints.leave = s.box.state.Roster.Remove
		s.box.forwarder.Terminations = &termination.Detector{
			Roster: &s.box.state.Roster, Probe: func(context.Context, endpoint.Endpoint) tunnel.Outcome { return tunnel.Failed },
		}
	case "request":
		s.wg.Go(func() { s.request(f[1], options(f[2:])) })
		synctest.Wait()
	case "stop":
		at := duration(t, f[1])
		c, cancel := context.WithCancel(context.Background())
		if len(f) > 2 {
			time.AfterFunc(duration(t, f[2]), cancel)
		}
		s.wg.Go(func() {
			defer cancel()
			s.sleepUntil(at)
			_ = s.box.Stop(c)
		})
	case "expect":
		s.wg.Wait()
		s.expect(f[1], f[2], duration(t, f[3]), f[4:])
	case "asked":
		require.Equal(t, f[2], map[bool]string{true: "yes", false: "no"}[s.answers[f[1]].bodyAsked], f)
	case "logged":
		require.Contains(t, s.logged(f[1]), strings.Join(f[2:], " "))
	case "long":
		s.wg.Wait()
		e := s.box.forwarder.AnswerTimes.Long(accuracy.Key{Service: "s", Route: f[1]}, 1, boottime.Now())
		require.Equal(t, f[2:], []string{e.Long.String(), strconv.Itoa(e.Samples)}, f)
	default:
		t.Fatalf("unknown command %q", f)
	}
}

// measure plays requests before the script begins.
func (s *stopping) measure(count string, o map[string]string) {
	n, err := strconv.Atoi(count)
	require.NoError(s.t, err)
	for i := range n {
		name := "before" + strconv.Itoa(i)
		s.wg.Go(func() { s.request(name, o) })
		synctest.Wait()
	}
	s.wg.Wait()
	s.endpoints.serving.Wait()
	for i := range n {
		require.Equal(s.t, "served", s.answers["before"+strconv.Itoa(i)].outcome)
	}
	s.began = time.Now()
}

func (s *stopping) hold(what string, until time.Duration) {
	s.until[what] = until
	r, a := &s.box.state.Roster, &s.box.forwarder.Balancer.Availability
	switch what {
	case "place":
		a.Refusals.Observe("s", endpoint.Limit{Limited: true, PerSecond: 1}, boottime.Now())
	case "permit":
		for _, e := range r.All() {
			a.Rates.Observe(e.Incarnation(), endpoint.Limit{Limited: true, PerSecond: 1000}, boottime.Now())
		}
	case "endpoint":
		r.Remove("a")
		r.Remove("b")
		s.wg.Go(func() {
			s.sleepUntil(until)
			s.addEndpoints()
		})
	}
}

func (s *stopping) expect(name, outcome string, at time.Duration, rest []string) {
	a := s.answers[name]
	require.Equal(s.t, outcome, a.outcome, "%s at %v: %+v", name, a.at, a.err)
	require.Equal(s.t, at, a.at, "%s: %+v", name, a.err)
	if outcome == "refused" {
		require.Equal(s.t, rest[0], a.err.Error.Code, "%s: %+v", name, a.err)
		require.True(s.t, a.close, name)
		rest = rest[1:]
	}
	require.Equal(s.t, strings.Join(rest, " "), s.endpoints.times(name), name)
}

// logged returns the log entry on the answer to a request.
func (s *stopping) logged(name string) string {
	for l := range strings.Lines(s.logs.String()) {
		if strings.Contains(l, `"event":"answer","request":"`+name+`"`) {
			return l
		}
	}
	return ""
}

func (s *stopping) close() {
	s.wg.Wait()
	require.NoError(s.t, s.box.server.Close())
	s.endpoints.close()
}

// Guards against requests that a stopping box passes on too late to finish, whatever they waited for, and whose answers it cuts.
func TestStoppingBoxPassesOnLateRequests(t *testing.T) {
	playStopping(t, "testdata/stopping.txt")
}

// Guards against times of answers that leave out the slowest ones, or count what is not an answer.
func TestAnswersAreMeasured(t *testing.T) { playStopping(t, "testdata/measured.txt") }

// playStopping plays the scripts in a file.
func playStopping(t *testing.T, path string) {
	t.Helper()
	metrics.NewMeter().Stop() // starts the goroutine of all meters, which must not be part of a bubble
	for _, x := range script.Read(t, path) {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopping(t)
				defer s.close()
				for _, l := range x.Lines {
					s.do(strings.Fields(l))
				}
			})
		})
	}
}
