package daemon_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/daemon"
	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/stand/memstore"
)

// crashing is the body of the request that ends every server which begins to run it.
const crashing = "the body that ends servers"

// platform is what entry boxes stand between: the platform's store, and servers of which
// a new one takes the place of each that ends.
type platform struct {
	t     *testing.T
	store *memstore.Store
	text  string // the store's address

	mu      sync.Mutex
	serial  int
	ended   int
	servers []*standin.Server
}

func newPlatform(t *testing.T, servers int) *platform {
	p := &platform{t: t, store: &memstore.Store{}}
	p.text = serve(t, standin.StoreHandler(p.store))
	p.store.Set(standin.ConfigKey, standin.Config(1, "api"))
	for range servers {
		p.startServer()
	}
	return p
}

// startServer begins a server under an ID of its own, which ends when it gets the body
// that ends servers.
func (p *platform) startServer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	s := &standin.Server{ID: fmt.Sprintf("i-%d", p.serial), Service: "api", Slots: 64, Events: 3, Audit: &standin.Audit{}}
	p.servers = append(p.servers, s)
	var h *httptest.Server
	h = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != crashing {
			s.ServeHTTP(w, r)
			return
		}
		p.end(h.Config)
		p.startServer()
	}))
	p.t.Cleanup(h.Close)
	p.store.Set(s.Record(h.Listener.Addr().String(), "north", "ready"))
}

func (p *platform) end(h *http.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.Close() == nil {
		p.ended++
	}
}

func (p *platform) endedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// entryBox is one daemon, and where callers reach it and its metrics.
type entryBox struct {
	*daemon.Entry
	callers, metrics, ready string
}

// freeAddress returns an address that nobody listens on. Its IP number is none from which
// connections are made, which might take the port before it is listened on.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (p *platform) startBox(name, dc string) *entryBox {
	p.t.Helper()
	b := &entryBox{callers: freeAddress(p.t), metrics: freeAddress(p.t), ready: freeAddress(p.t)}
	s, err := settings.ParseEntry(fmt.Appendf(nil, `[box]
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
slack = 100
[log]
level = error
`, name, dc, b.callers, b.ready, freeAddress(p.t), b.metrics, p.text))
	require.NoError(p.t, err)
	b.Entry, err = daemon.NewEntry(s, io.Discard)
	require.NoError(p.t, err)
	require.NoError(p.t, b.App.Start(p.t.Context()))
	return b
}

// stopAll stops boxes as the platform does when it stops all at once.
func stopAll(t *testing.T, bs []*entryBox) {
	var g errgroup.Group
	for _, b := range bs {
		g.Go(func() error { return b.App.Stop(context.Background()) })
	}
	require.NoError(t, g.Wait())
}

// call makes a request to a box and returns the status and the text of its answer.
func (b *entryBox) call(t *testing.T, id, body string) (int, string) {
	t.Helper()
	q, err := standin.NewRequest(b.callers, "/again/x", id, 10*time.Second)
	require.NoError(t, err)
	q.Body, q.ContentLength, q.GetBody = io.NopCloser(strings.NewReader(body)), int64(len(body)), nil
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return a.StatusCode, string(text)
}

// metric reports whether the box's metrics have a figure.
func (b *entryBox) metric(t *testing.T, name string, value int) bool {
	t.Helper()
	a, err := http.Get("http://" + b.metrics + "/metrics")
	require.NoError(t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	f := strings.Fields(string(text))
	for i := range f {
		if f[i] == name && i+2 < len(f) && f[i+2] == fmt.Sprint(value) {
			return true
		}
	}
	return false
}

// A request had ended three servers, and boxes that had not seen that sent it on: each box
// judged by its own attempts alone, and told nobody. Two boxes wrote, each twice and within
// 0.2 ms of the other,
//
//	"event":"attempt broke","endpoint":"i-970da63aca","break":"gone","reason":"another endpoint goes on"
//	"event":"attempt broke","endpoint":"i-033250d373","break":"gone","reason":"retries are used up"
//
// of two requests that asked for the same, and 15 later requests for it, at all eight boxes,
// ended 16 servers more in ten seconds.
// All boxes refuse it once three servers have ended under it, also after all of them have
// ended and begun anew, and go on serving everything else.
func TestAllBoxesRefuseWhatEndsServers(t *testing.T) {
	p := newPlatform(t, 12)
	names := []string{"a", "b", "c", "d", "e", "f"}
	refused := func(bs []*entryBox, round string) {
		for i, b := range bs {
			require.Eventually(t, func() bool { return b.metric(t, "contents.refused", 1) }, 20*time.Second, 5*time.Millisecond)
			status, text := b.call(t, round+names[i], crashing)
			require.Equal(t, http.StatusServiceUnavailable, status, text)
			require.Contains(t, text, "not_run")
			status, text = b.call(t, "other"+round+names[i], "another body")
			require.Equal(t, http.StatusOK, status, text)
		}
	}
	bs := p.startFleet(names...)
	for i := 0; p.endedServers() < 3; i++ {
		bs[i].call(t, fmt.Sprint("r", i), crashing)
	}
	refused(bs, "first")
	require.LessOrEqual(t, p.endedServers(), 4)
	ended := p.endedServers()

	require.Eventually(t, func() bool { return written(p.store) }, 20*time.Second, 5*time.Millisecond)
	stopAll(t, bs)
	bs = p.startFleet(names...)
	refused(bs, "second")
	require.Equal(t, ended, p.endedServers())
	stopAll(t, bs)
}

// isReady reports whether the box says that it takes requests.
func (b *entryBox) isReady(t *testing.T) bool {
	t.Helper()
	a, err := http.Get("http://" + b.ready + standin.ReadyPath)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return a.StatusCode == http.StatusOK
}

// startFleet starts a box for each name, over three data centres, and waits until all are ready
// and know each other. One that is alone counts itself before it has read a configuration.
func (p *platform) startFleet(names ...string) []*entryBox {
	dcs := []string{"north", "south", "west"}
	bs := make([]*entryBox, len(names))
	for i, n := range names {
		bs[i] = p.startBox(n, dcs[i%len(dcs)])
	}
	for _, b := range bs {
		require.Eventually(p.t, func() bool { return b.isReady(p.t) && b.metric(p.t, "boxes.known", len(names)) }, 20*time.Second, 5*time.Millisecond)
	}
	return bs
}

// A server said in its answers that it leaves while the store was away, and all boxes sent to it
// until the store was back and its record came, 13 s later: each knew of leaving from records
// alone. Two boxes passed on such answers, and sent it work 3.2 s and 3.0 s later, where 2 s are
// allowed; all six sent it 18 of the 155 requests that came more than two seconds after its word.
// What one box is told in an answer, all know, and none sends the server anything more.
func TestAllBoxesLeaveWhatSaysItLeaves(t *testing.T) {
	p := newPlatform(t, 4)
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	defer stopAll(t, bs)
	p.store.SetDown(true)
	s := p.servers[0]
	s.ReportLeaving()
	for i := 0; s.RequestCount() == 0; i++ {
		status, text := bs[0].call(t, fmt.Sprint("first", i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
	for _, b := range bs {
		require.Eventually(t, func() bool { return b.metric(t, "endpoints.leaving", 1) }, 20*time.Second, 5*time.Millisecond)
	}
	asked := s.RequestCount()
	for i, b := range bs {
		for j := range 12 {
			status, text := b.call(t, fmt.Sprint("then", i, "-", j), "body")
			require.Equal(t, http.StatusOK, status, text)
		}
	}
	require.Equal(t, asked, s.RequestCount())
}

// A server that turns requests away asks each box for rest by itself. One box sent it 8 requests in
// 4 s for the 2 that may come, as it read no such word, and told its callers to come back in 50 ms.
// The box leaves it alone, its callers do not notice, and where all servers rest they are told how
// long.
func TestServersRest(t *testing.T) {
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

// Two servers said in their answers that they take 1 and 1.2 requests a second from all boxes
// together, and got 20 and 14 in four seconds from boxes that they had told, where 11 and 12 are
// allowed. Nothing read what they said, and nothing divided it: in 3.3 s all eight boxes answered
// 17 requests each from the two, 1 to 5 a box, all as in
//
//	"event":"answer","endpoint":"i-2eb5b6c211","attempts":1
//
// and the two got 4.5 and 3.0 a second after they had spoken, 3.1 and 3.3 before.
// All boxes together keep to what a server says it takes, and callers do not notice while others
// have room.
func TestAllBoxesKeepToWhatAServerTakes(t *testing.T) {
	const perSecond, window = 0.5, 4.0
	p := newPlatform(t, 3)
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	defer stopAll(t, bs)
	s := p.servers[0]
	s.ReportLimit(fmt.Sprint(perSecond))
	began := time.Now()
	for i := range 200 {
		status, text := bs[i%len(bs)].call(t, fmt.Sprint("call", i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
	windows := math.Ceil(time.Since(began).Seconds() / window)
	require.LessOrEqual(t, float64(s.RequestCount()), float64(len(bs))+windows*(1.5*window*perSecond+5))
}

// written reports whether what processes that start anew have to know names a content.
func written(m *memstore.Store) bool {
	i, err := m.Get(context.Background(), "birchlink/before")
	return err == nil && strings.Contains(string(i.Value), `"Contents":[{`)
}
