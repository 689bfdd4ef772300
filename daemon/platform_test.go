package daemon_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/daemon"
	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/stand/memstore"
)

// crashBody is the body of the requests that crash every server that runs them.
const crashBody = "the body that ends servers"

// platform is a stand-in for the users' platform: its store, and servers. A server that crashes is
// replaced by a new one.
type platform struct {
	t            testing.TB
	store        *memstore.Store
	storeAddress string

	version    string // of the servers that start from now on
	peers      string // address on which the next box listens for others; empty for a free one
	breakAfter int    // events after which their streams break off; zero for never
	slack      int    // of the retries of the boxes that start from now on; zero for 100

	// The slots of the servers, zero for 64, the number of events of their streams, zero for three, and the time before each
	// event.
	slots  int
	events int
	work   time.Duration
	audit  *standin.Audit
	log    *boxLog // of the boxes; nil if it is not kept

	mu      sync.Mutex
	lastID  int
	crashed int
	servers []*standin.Server

	addresses map[string]string // of the servers, by ID

	// crashParts are the parts of prompts that crash each server which begins to answer a request with them, and the
	// version of the servers that crash; empty for all versions.
	crashParts map[string]string
	crashWork  time.Duration // time until a server begins to answer such a request
	bootTime   time.Duration // time until a crashed server is replaced
	arrivals   []time.Time   // of requests with crashParts at servers
	crashTimes []time.Time
}

func newPlatform(t testing.TB, servers int) *platform {
	p := &platform{t: t, store: &memstore.Store{}, version: "v1", audit: &standin.Audit{}, addresses: map[string]string{}}
	p.storeAddress = serve(t, standin.StoreHandler(p.store))
	p.store.Set(standin.ConfigKey, standin.Config(1, "api"))
	for range servers {
		p.startServer()
	}
	return p
}

// startServer starts a server with a new ID, which crashes when it receives crashBody.
func (p *platform) startServer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	s := &standin.Server{
		ID: fmt.Sprintf("i-%d", p.lastID), Service: "api", Version: p.version, Slots: cmp.Or(p.slots, 64), Events: cmp.Or(p.events, 3), Work: p.work,
		BreakAfter: p.breakAfter, Audit: p.audit,
	}
	p.servers = append(p.servers, s)
	var h *httptest.Server
	h = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != crashBody && !p.hasCrashPart(s.Version, r.Header.Get(standin.PartsHeader)) {
			s.ServeHTTP(w, r)
			return
		}
		if p.crashWork > 0 {
			<-time.After(p.crashWork)
		}
		p.crash(h.Config)
		if p.bootTime == 0 {
			p.startServer()
			return
		}
		time.AfterFunc(p.bootTime, func() {
			p.store.Delete("servers/" + s.ID)
			p.startServer()
		})
	}))
	_ = h.Listener.Close()
	h.Listener = listenAlone(p.t)
	h.Start()
	p.t.Cleanup(h.Close)
	p.addresses[s.ID] = h.Listener.Addr().String()
	p.store.Set(s.Record(h.Listener.Addr().String(), "north", "ready"))
}

// serverIPs counts the IP addresses of listenAlone.
var serverIPs atomic.Uint32

// listenAlone listens on an IP address of its own. No other server gets the address after the listener is closed, so that
// connections are refused as those of a process that has ended.
func listenAlone(t testing.TB) net.Listener {
	t.Helper()
	n := serverIPs.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.4.%d.%d:0", n/250%250, 1+n%250))
	require.NoError(t, err)
	return l
}

// hasCrashPart reports whether a server of a version crashes under a prompt with these parts.
func (p *platform) hasCrashPart(version, parts string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		id, _, _ := strings.Cut(part, ":")
		if v, ok := p.crashParts[id]; ok && (v == "" || v == version) {
			p.arrivals = append(p.arrivals, time.Now())
			return true
		}
	}
	return false
}

func (p *platform) crash(h *http.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.Close() == nil {
		p.crashed++
		p.crashTimes = append(p.crashTimes, time.Now())
	}
}

func (p *platform) setCrashParts(parts map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashParts = parts
}

// lateCrashes returns the number of requests with crashing parts that arrived at servers later than a time after the
// crash with the given number.
func (p *platform) lateCrashes(number int, after time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.arrivals {
		if len(p.crashTimes) >= number && at.Sub(p.crashTimes[number-1]) > after {
			n++
		}
	}
	return n
}

func (p *platform) crashedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// entryBox is a daemon with its listen addresses.
type entryBox struct {
	*daemon.PlatformDaemon
	name string

	callersAddress, metricsAddress, readyAddress, peersAddress string
}

// freeAddresses are the addresses returned by freeAddressAt. A port that is found free may be found again before a box
// listens on it.
var freeAddresses sync.Map

// freeAddress returns an unused address. Its IP address differs from the source addresses of outgoing
// connections, and from those of other test processes, which might otherwise take the port before the box listens on it.
func freeAddress(t testing.TB) string {
	n := os.Getpid()
	return freeAddressAt(t, fmt.Sprintf("127.2.%d.%d", n/250%250, 1+n%250))
}

func freeAddressAt(t testing.TB, ip string) string {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		a := l.Addr().String()
		require.NoError(t, l.Close())
		if _, isUsed := freeAddresses.LoadOrStore(a, true); !isUsed {
			return a
		}
	}
}

// maxPeerIPs is the number of boxes for which a test process has addresses of its own.
const maxPeerIPs = 1000

// peerIPs counts the boxes started.
var peerIPs atomic.Uint32

// freePeerAddress returns an unused address on an IP address of its own: a box connects to others from
// the IP address on which it listens for them.
func freePeerAddress(t testing.TB) string {
	n := int(peerIPs.Add(1)) + os.Getpid()*maxPeerIPs
	return freeAddressAt(t, fmt.Sprintf("127.%d.%d.%d", 3+n/62500%250, n/250%250, 1+n%250))
}

// startBox starts a box. The sections in more are appended to its settings.
func (p *platform) startBox(name, dc string, more ...string) *entryBox {
	p.t.Helper()
	return p.startBoxWith(name, dc, nil, more...)
}

// startBoxWith starts a box with options of its daemon.
func (p *platform) startBoxWith(name, dc string, options []fx.Option, more ...string) *entryBox {
	p.t.Helper()
	b := &entryBox{
		name: name, callersAddress: freeAddress(p.t), metricsAddress: freeAddress(p.t), readyAddress: freeAddress(p.t),
		peersAddress: cmp.Or(p.peers, freePeerAddress(p.t)),
	}
	p.startProcess(b, dc, options, more...)
	return b
}

// startProcess starts a process of a box, at the addresses of the one before it.
func (p *platform) startProcess(b *entryBox, dc string, options []fx.Option, more ...string) {
	p.t.Helper()
	log, level := io.Discard, "error"
	if p.log != nil {
		log, level = p.log, "info"
	}
	s, err := settings.ParsePlatform(fmt.Appendf(nil, `[box]
name = %s
data_centre = %s
[listen]
callers = %s
ready = %s
peers = %s
metrics = %s
[store]
address = %s
[retries]
slack = %d
[log]
level = %s
%s`, b.name, dc, b.callersAddress, b.readyAddress, b.peersAddress, b.metricsAddress, p.storeAddress, cmp.Or(p.slack, 100), level, strings.Join(more, "\n")))
	require.NoError(p.t, err)
	b.PlatformDaemon, err = daemon.NewPlatformDaemon(s, log, options...)
	require.NoError(p.t, err)
	require.NoError(p.t, b.App.Start(p.t.Context()))
}

// stopAll stops all boxes at the same time.
func stopAll(t testing.TB, bs []*entryBox) {
	var g errgroup.Group
	for _, b := range bs {
		g.Go(func() error { return b.App.Stop(context.Background()) })
	}
	require.NoError(t, g.Wait())
}

// newBodyRequest returns a request that the HTTP client does not repeat by itself.
func newBodyRequest(address, path, id string, deadline time.Duration) (*http.Request, error) {
	q, err := standin.NewRequest(address, path, id, deadline)
	if err == nil {
		q.GetBody = nil
	}
	return q, err
}

// call sends a request to a box and returns the status and the body of the answer.
func (e *entryBox) call(t testing.TB, id, body string) (int, string) {
	t.Helper()
	return e.callWithParts(t, id, body, "")
}

// callWithParts is call for a prompt with the given parts.
func (e *entryBox) callWithParts(t testing.TB, id, body, parts string) (int, string) {
	t.Helper()
	q, err := newBodyRequest(e.callersAddress, "/again/x", id, 10*time.Second)
	require.NoError(t, err)
	if parts != "" {
		q.Header.Set(standin.PartsHeader, parts)
	}
	q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return a.StatusCode, string(text)
}

// hasMetric reports whether a metric of the box has the given value.
func (e *entryBox) hasMetric(t testing.TB, name string, value int) bool {
	t.Helper()
	v, ok := e.metric(t, name)
	return ok && v == fmt.Sprint(value)
}

// hasAnyMetric reports whether the box has a metric of this name.
func (e *entryBox) hasAnyMetric(t testing.TB, name string) bool {
	t.Helper()
	_, ok := e.metric(t, name)
	return ok
}

// metric returns the value of a metric of the box.
func (e *entryBox) metric(t testing.TB, name string) (string, bool) {
	t.Helper()
	a, err := http.Get("http://" + e.metricsAddress + "/metrics")
	require.NoError(t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	f := strings.Fields(string(text))
	for i := range f {
		if f[i] == name && i+2 < len(f) {
			return f[i+2], true
		}
	}
	return "", false
}

// All boxes refuse a request after three servers have crashed under it, also after a restart of all
// boxes, and serve all other requests. If each box judged by its own attempts alone, every box would
// send the request on and crash more servers.
func TestAllBoxesRefuseRequestThatCrashesServers(t *testing.T) {
	p := newPlatform(t, 12)
	names := []string{"a", "b", "c", "d", "e", "f"}
	requireRefused := func(bs []*entryBox, round string) {
		for i, b := range bs {
			require.Eventually(t, func() bool { return b.hasMetric(t, "contents.refused", 1) }, 20*time.Second, 5*time.Millisecond)
			status, text := b.call(t, round+names[i], crashBody)
			require.Equal(t, http.StatusServiceUnavailable, status, text)
			require.Contains(t, text, "not_run")
			status, text = b.call(t, "other"+round+names[i], "another body")
			require.Equal(t, http.StatusOK, status, text)
		}
	}
	bs := p.startFleet(names...)
	for i := 0; p.crashedServers() < 3; i++ {
		bs[i].call(t, fmt.Sprint("r", i), crashBody)
	}
	requireRefused(bs, "first")
	require.LessOrEqual(t, p.crashedServers(), 4)
	crashed := p.crashedServers()

	require.Eventually(t, func() bool { return snapshotHasContent(p.store) }, 20*time.Second, 5*time.Millisecond)
	stopAll(t, bs)
	bs = p.startFleet(names...)
	requireRefused(bs, "second")
	require.Equal(t, crashed, p.crashedServers())
	stopAll(t, bs)
}

// isReady reports whether the readiness check of the box succeeds.
func (e *entryBox) isReady(t testing.TB) bool {
	t.Helper()
	a, err := http.Get("http://" + e.readyAddress + standin.ReadyPath)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return a.StatusCode == http.StatusOK
}

// startFleet starts a box for each name, spread over three data centres, and waits until all are
// ready and know each other. The number of known boxes is not enough for a fleet of one box, which
// counts itself before it has read the configuration.
func (p *platform) startFleet(names ...string) []*entryBox {
	dcs := []string{"north", "south", "west"}
	bs := make([]*entryBox, len(names))
	for i, n := range names {
		bs[i] = p.startBox(n, dcs[i%len(dcs)])
	}
	for _, b := range bs {
		require.Eventually(p.t, func() bool { return b.isReady(p.t) && b.hasMetric(p.t, "boxes.known", len(names)) }, 20*time.Second, 5*time.Millisecond)
	}
	return bs
}

// No box sends requests to a server that is draining, as soon as one box has learned that from an
// answer of the server, even while the store is unavailable. If boxes learned it from the server's
// record alone, they would use the server until the store returns; they must stop within 2 s.
func TestAllBoxesAvoidDrainingServer(t *testing.T) {
	p := newPlatform(t, 4)
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	defer stopAll(t, bs)
	p.store.SetDown(true)
	s := p.servers[0]
	s.ReportDraining()
	for i := 0; s.RequestCount() == 0; i++ {
		status, text := bs[0].call(t, fmt.Sprint("first", i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
	for _, b := range bs {
		require.Eventually(t, func() bool { return b.hasMetric(t, "endpoints.leaving", 1) }, 20*time.Second, 5*time.Millisecond)
	}
	requests := s.RequestCount()
	for i, b := range bs {
		for j := range 12 {
			status, text := b.call(t, fmt.Sprint("then", i, "-", j), "body")
			require.Equal(t, http.StatusOK, status, text)
		}
	}
	require.Equal(t, requests, s.RequestCount())
}

// A box sends nothing more to a server that refused a request and asked for a pause, which a server
// does to each box separately. Callers get answers from the other servers. While all servers back
// off, calls are refused without being run. A box that ignored the pause would send 8 requests in
// 4 s where 2 are allowed, and tell its callers to retry after 50 ms.
func TestServersBackOff(t *testing.T) {
	p := newPlatform(t, 2)
	bs := p.startFleet("a")
	defer stopAll(t, bs)
	p.servers[0].RefuseRequests(time.Hour)
	for i := range 30 {
		status, text := bs[0].call(t, fmt.Sprint("one", i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
	require.LessOrEqual(t, p.servers[0].RequestCount(), 1)
	p.servers[1].RefuseRequests(2 * time.Hour)
	for i := range 30 {
		status, text := bs[0].call(t, fmt.Sprint("both", i), "body")
		require.Equal(t, http.StatusServiceUnavailable, status, text)
		require.Contains(t, text, "not_run")
	}
	require.Equal(t, 1, p.servers[0].RequestCount())
	require.Equal(t, 31, p.servers[1].RequestCount())
}

// All boxes together keep within the request rate that a server states in its answers, and callers
// get answers while other servers have capacity. If each box ignored the rate, or applied it
// separately, the boxes together would exceed it.
func TestAllBoxesShareServerLimit(t *testing.T) {
	const perSecond, window = 0.5, 4.0
	p := newPlatform(t, 3)
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	defer stopAll(t, bs)
	s := p.servers[0]
	s.ReportLimit(fmt.Sprint(perSecond))
	startTime := time.Now()
	for i := range 200 {
		status, text := bs[i%len(bs)].call(t, fmt.Sprint("call", i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
	windows := math.Ceil(time.Since(startTime).Seconds() / window)
	require.LessOrEqual(t, float64(s.RequestCount()), float64(len(bs))+windows*(1.5*window*perSecond+5))
}

// snapshotHasContent reports whether the snapshot for restarting boxes contains a content that
// crashes servers.
func snapshotHasContent(m *memstore.Store) bool {
	i, err := m.Get(context.Background(), "birchlink/before")
	return err == nil && strings.Contains(string(i.Value), `"Contents":[{`)
}
