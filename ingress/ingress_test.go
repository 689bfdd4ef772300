package ingress_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/ingress"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
)

// soleBoxView is the view of a box that is the only one.
var soleBoxView = quota.View{Represented: 1, Boxes: map[string]int{"": 1}}

// localLimiter is the rate limiter of a box that is the only one.
type localLimiter struct{ *quota.Quota }

func (l localLimiter) Take(_ context.Context, x quota.Question) (quota.Answer, quota.Arbiter) {
	l.Update(soleBoxView, document.Accounts, time.Now())
	return l.Ask(x, time.Now()), l.Self
}

// newLimiter returns the rate limiter of a box that has run for a minute.
func newLimiter() localLimiter {
	q := &quota.Quota{Self: quota.Arbiter{Box: "x"}, Started: time.Now().Add(-time.Minute), Rand: rand.Float64}
	q.Restore(quota.Before{Division: quota.Division{Version: 1, Boxes: soleBoxView.Boxes}})
	b := localLimiter{q}
	b.Update(soleBoxView, document.Accounts, time.Now().Add(-time.Second))
	return b
}

// originsByID says that account acc began the stream v1 at version v1, another account the stream foreign, and that nothing is
// known of others. All services but the one of that name have several versions.
type originsByID struct{}

func (originsByID) Find(_ context.Context, _, stream, service, account string) origin.Finding {
	return origin.Finding{
		Origin: origin.Origin{Service: service, Version: stream}, Known: stream == "v1" && account == "acc", Foreign: stream == "foreign",
	}
}

// codec is a minimal codec for callers and endpoints.
type codec struct{}

func (codec) Decode(r *http.Request, arrived time.Time) (*call.Call, error) {
	c := &call.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.Path,
		Key: r.Header.Get("Key"), Resumes: r.Header.Get("Resumes"), LastEventID: r.Header.Get("Last"), Arrived: arrived, Header: http.Header{"Id": r.Header["Id"]},
	}
	if c.ID == "" {
		return c, fmt.Errorf("no id")
	}
	return c, nil
}

func (codec) ResponseHeader(h http.Header) http.Header { return h.Clone() }

func (codec) SetErrorHeader(http.Header, *call.Call) {}

func (codec) Head(c *call.Call, a call.Attempt) http.Header {
	return http.Header{"Id": {c.ID}, "Account": {a.Account}}
}

func (codec) Outcome(_ int, h http.Header) call.Outcome { return call.Outcome{ID: h.Get("Id")} }

// document is the configuration of the tests.
var document = catalog.Document{
	Version: 3,
	Routes: []catalog.Route{
		{Name: "r", Host: "h", Prefix: "/a/", Shares: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1},
		{Name: "open", Host: "h", Prefix: "/open/", Public: true, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1},
		{
			Name: "one", Host: "h", Prefix: "/one/", Kind: catalog.Stream, Resumable: true,
			Shares: []catalog.Share{{Service: "one", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1,
		},
		{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true,
			Shares: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1,
		},
		{
			Name: "fixed", Host: "h", Prefix: "/fixed/", Kind: catalog.Stream,
			Shares: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1,
		},
	},
	Services: []catalog.Service{{Name: "s"}, {Name: "one"}},
	Accounts: []catalog.Account{{Name: "acc", Keys: []string{"k"}}, {Name: "small", Keys: []string{"s"}, Rate: 1, Burst: 1}},
	Limits:   catalog.Limits{BodyBytes: 100},
}

// box is an ingress with the services that it needs and one endpoint.
type box struct {
	*ingress.Ingress
	t            *testing.T
	store        *memstore.Store
	stuckStore   // to store
	session      *storesession.Session
	state        *fleetstate.Service
	metrics      metrics.Registry
	address      string
	readyAddress string
	release      chan struct{} // when closed, the endpoint responds to /a/hold
	holding      chan struct{} // receives an item for each such request at the endpoint
}

// startBox starts a box. If configured is false, the store holds no configuration and no endpoint.
func startBox(t *testing.T, configured bool) *box {
	t.Helper()
	return startBoxWith(t, configured, func(*box) {})
}

// encode returns the configuration of the tests as another version.
func encode(t *testing.T, version uint64) []byte {
	t.Helper()
	d := document
	d.Version = version
	text, err := json.Marshal(d)
	require.NoError(t, err)
	return text
}

// startBoxWith starts a box after set has changed it.
func startBoxWith(t *testing.T, configured bool, set func(*box)) *box {
	t.Helper()
	b := &box{t: t, store: &memstore.Store{}, metrics: metrics.NewRegistry(), release: make(chan struct{}), holding: make(chan struct{}, 8)}
	e := httptest.NewServer(http.HandlerFunc(b.endpoint))
	t.Cleanup(e.Close)
	if configured {
		b.store.Set("config", string(encode(t, document.Version)))
		b.store.Set("e/one", strings.TrimPrefix(e.URL, "http://"))
	}
	b.Store = b.store
	set(b)
	b.session = storesession.New(b.store, zerolog.Nop())
	b.state = fleetstate.New(fleetstate.Source{
		ConfigKey: "config", EndpointsPrefix: "e/",
		DecodeConfig: func(v []byte) (*catalog.Document, error) {
			var d catalog.Document
			return &d, json.Unmarshal(v, &d)
		},
		DecodeEndpoint: func(k string, v []byte) (endpoint.Endpoint, error) {
			return endpoint.Endpoint{ID: k, Service: "s", Slots: 4, Version: "v1", Address: string(v)}, nil
		},
	}, &b.stuckStore, zerolog.Nop())
	f := &forward.Forwarder{
		Roster: &b.state.Roster, Balancer: &balance.Balancer{}, Pool: &httpconn.Pool{DialTimeout: time.Second},
		Meter: &demand.Meter{}, Quarantine: &quarantine.Quarantine{},
		Rollouts: &rollout.Gate{},
		Budget:   budget.New(budget.Limits{Window: time.Minute}), Codec: codec{}, OnStart: func(string, time.Time) {},
		OnSend: func(endpoint.Endpoint, int) {}, OnCrash: func(endpoint.Endpoint) {}, OnDraining: func(endpoint.Endpoint) {},
		Shutdown: &shutdown.Window{}, Metrics: metrics.NewRegistry(), Log: zerolog.Nop(),
	}
	o := ingress.Options{
		Address: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ReadyPath: "/ready",
		ShutdownDelay: time.Millisecond, ShutdownTimeout: 20 * time.Second,
	}
	b.Ingress = ingress.New(o, codec{}, f, newLimiter(), originsByID{}, b.metrics, zerolog.Nop())
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{b.session, b.state, b.Ingress} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
	}
	b.address, b.readyAddress = b.Addrs()
	t.Cleanup(b.close)
	return b
}

func (b *box) close() {
	select {
	case <-b.release:
	default:
		close(b.release)
	}
	_ = b.Stop(context.Background())
	_ = b.state.Stop(context.Background())
	_ = b.session.Stop(context.Background())
}

func (b *box) endpoint(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/a/hold" {
		b.holding <- struct{}{}
		<-b.release
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	if n, ok := strings.CutPrefix(r.URL.Path, "/stream/events/"); ok {
		b.sendEvents(w, n)
		return
	}
	fmt.Fprintf(w, "for %s", r.Header.Get("Account"))
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	text   string
}

// post sends a request and returns the response.
func (b *box) post(path, key, body string) response {
	b.t.Helper()
	return b.takeUp(path, key, body, "", "")
}

// takeUp sends a request that takes up a stream after an event, and returns the response.
func (b *box) takeUp(path, key, body, stream, last string) response {
	b.t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+b.address+path, strings.NewReader(body))
	require.NoError(b.t, err)
	q.Host = "h"
	q.Header.Set("Id", "1")
	q.Header.Set("Key", key)
	q.Header.Set("Resumes", stream)
	q.Header.Set("Last", last)
	resp, err := http.DefaultClient.Do(q)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return response{resp.StatusCode, resp.Header, string(text)}
}

func (b *box) isReady() bool {
	resp, err := http.Get("http://" + b.readyAddress + "/ready")
	require.NoError(b.t, err)
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *box) await(f func() bool) {
	b.t.Helper()
	require.Eventually(b.t, f, 20*time.Second, time.Millisecond)
}

func TestResponses(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, c := range []struct {
		path, key, body string
		status          int
		text            string
	}{
		{"/a/x", "k", "", 200, "for acc"},
		{"/open/x", "", "", 200, "for "},
		{"/a/x", "unknown", "", 401, "unknown_account"},
		{"/nowhere/x", "k", "", 404, "unknown_service"},
		{"/a/x", "k", strings.Repeat("x", 101), 413, "too_large"},
	} {
		resp := b.post(c.path, c.key, c.body)
		require.Equal(t, c.status, resp.status, resp.text)
		require.Contains(t, resp.text, c.text)
	}
}

// A stream may be taken up by the account that began it and at the version that did. All other requests for one must get an
// answer that says why, and a time to return if that may help.
func TestTakeUp(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, c := range []struct {
		path, key, stream, last string
		status                  int
		text                    string
	}{
		{"/stream/x", "k", "v1", "3", 200, "for acc"},
		{"/stream/x", "k", "v1", "", 200, "for acc"},
		{"/stream/x", "s", "v1", "3", 503, "version_unknown"},
		{"/stream/x", "k", "foreign", "3", 403, "forbidden"},
		{"/stream/x", "k", "v2", "3", 503, "version_unknown"},
		{"/one/x", "k", "", "3", 503, "version_unknown"},
		{"/stream/x", "k", "", "", 200, "for acc"},
		{"/a/x", "k", "v2", "3", 200, "for acc"}, // not a stream
	} {
		resp := b.takeUp(c.path, c.key, "", c.stream, c.last)
		require.Equal(t, c.status, resp.status, "%+v: %s", c, resp.text)
		require.Contains(t, resp.text, c.text)
		require.Equal(t, c.status == http.StatusServiceUnavailable, resp.header.Get("Retry-After") != "")
	}
}

// Guards against streams of two runs: what a caller has of a stream that may not be resumed can't be followed by another run. A
// request of such a caller is refused before it runs, and no retry helps.
func TestFixedStreamsJoinRuns(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, stream := range []string{"v1", ""} {
		resp := b.takeUp("/fixed/x", "k", "", stream, "3")
		require.Equal(t, http.StatusBadRequest, resp.status, resp.text)
		require.Contains(t, resp.text, "bad_request")
		require.Contains(t, resp.text, "not_run")
		require.Empty(t, resp.header.Get("Retry-After"))
	}
	require.Equal(t, http.StatusOK, b.takeUp("/fixed/x", "k", "", "", "").status)
	b.store.SetDown(true) // a newer configuration may allow it
	b.await(func() bool { return b.takeUp("/fixed/x", "k", "", "v1", "3").status == http.StatusServiceUnavailable })
}

// Guards against 4xx for a sound request: a caller that takes a stream up need not name the request that began it. If it does
// not, and the version is not known, the request has not run, and may be sent again.
func TestTakeUpByLastEventAlone(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	resp := b.takeUp("/stream/x", "k", "", "", "3")
	require.Equal(t, http.StatusServiceUnavailable, resp.status, resp.text)
	require.Contains(t, resp.text, "version_unknown")
	require.Contains(t, resp.text, "not_run")
	require.NotEmpty(t, resp.header.Get("Retry-After"))
}

// A box without a configuration responds that it is not ready, because it cannot know whether a key
// or a route exists.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	b := startBox(t, false)
	require.False(t, b.isReady())
	resp := b.post("/a/x", "unknown", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Contains(t, resp.text, "not_ready")
	require.NotEmpty(t, resp.header.Get("Retry-After"))
}

// A box that cannot reach the store does not report a key or a route as unknown, and still serves
// those that it knows.
func TestStoreUnreachable(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	b.store.SetDown(true)
	b.await(func() bool {
		return b.post("/a/x", "unknown", "").status == http.StatusServiceUnavailable
	})
	require.Equal(t, http.StatusServiceUnavailable, b.post("/nowhere/x", "k", "").status)
	require.Equal(t, http.StatusOK, b.post("/a/x", "k", "").status)
}

// A request over its account's rate is refused with a Retry-After header.
func TestRateLimited(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	b.await(func() bool {
		resp := b.post("/a/x", "s", "")
		if resp.status != http.StatusTooManyRequests {
			return false
		}
		s, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Positive(t, s)
		return true
	})
}

// recordingLimiter records the questions that it is asked, and refuses all requests.
type recordingLimiter struct{ questions chan quota.Question }

func (l recordingLimiter) Take(_ context.Context, x quota.Question) (quota.Answer, quota.Arbiter) {
	l.questions <- x
	return quota.Answer{After: 350 * time.Millisecond, Placed: true}, quota.Arbiter{Box: "x"}
}

// The limiter is told by what a request is recognised when it returns, and for how long its caller
// waits. Guards against return times that no caller can keep.
func TestQuestionOfRequest(t *testing.T) {
	b := startBox(t, true)
	l := recordingLimiter{make(chan quota.Question, 2)}
	b.Limiter = l
	b.await(b.isReady)
	resp := b.post("/a/x", "s", "one")
	require.Equal(t, "0.35", resp.header.Get("Retry-After"))
	b.post("/a/x", "s", "two")
	one, two := <-l.questions, <-l.questions
	require.Equal(t, "r", one.Route)
	require.NotEqual(t, one.Content, two.Content)
	require.LessOrEqual(t, one.Wait, 20*time.Second)
	require.Greater(t, one.Wait, 10*time.Second)
}

// Stop makes the box not ready and waits for the requests in progress.
func TestStopCompletesRequests(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	status := make(chan int, 1)
	go func() {
		status <- b.post("/a/hold", "k", "").status
	}()
	<-b.holding
	stopped := make(chan error, 1)
	go func() { stopped <- b.Stop(context.Background()) }()
	b.await(func() bool { return !b.isReady() })
	close(b.release)
	require.Equal(t, http.StatusOK, <-status)
	require.NoError(t, <-stopped)
}

// When the caller disconnects, the request is cancelled.
func TestCallerDisconnects(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	c, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+b.address+"/a/hold", http.NoBody)
	require.NoError(t, err)
	q.Host = "h"
	q.Header.Set("Id", "1")
	q.Header.Set("Key", "k")
	done := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(q)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	<-b.holding
	cancel()
	require.Error(t, <-done)
	b.await(func() bool { return b.InFlight() == 0 })
}

// Pipelined requests get their responses in order.
func TestPipelinedRequests(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	n, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer n.Close()
	for _, id := range []string{"1", "2"} {
		fmt.Fprintf(n, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: 0\r\n\r\n", id)
	}
	r := bufio.NewReader(n)
	for _, id := range []string{"1", "2"} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, id, resp.Header.Get("Id"))
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

// What is no request is answered by net/http. These answers are counted, and ordinary ones are not.
func TestMalformedRequestsAreCounted(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, c := range []struct {
		text   string
		status int
		count  int64
	}{
		{"POST /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", 200, 0},
		{"POST /a/x HTTP/1.1\r\nHost: h\r\nnot a header\r\n\r\n", 400, 1},
		{"POST /a/x HTTP/3.7\r\nHost: h\r\n\r\n", 505, 2},
	} {
		n, err := net.Dial("tcp", b.address)
		require.NoError(t, err)
		defer n.Close()
		_, err = io.WriteString(n, c.text+c.text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(n), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, c.status, resp.StatusCode)
		require.Equal(t, c.count, metrics.GetOrRegisterCounter("refused.malformed", b.metrics).Count())
	}
}
