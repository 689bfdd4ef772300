package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/requesthash"
)

const (
	// maxBoxHeap is the size to which the heap of a box with 284 MB may grow, two thirds of it. It is twice what may be in
	// use: 64 MB that answers hold and 32 MB for control.
	maxBoxHeap = 2 * (64 + 32) << 20

	// endlessCalls is the number of calls at once. At 4 requests a second a box has as many after 25 s in which
	// nothing is answered.
	endlessCalls = 100

	// maxEndless is the number of bytes after which an endless endpoint closes a connection, so that a failing test
	// leaves memory to others.
	maxEndless = 24 << 20
)

// endlessEndpoint is an endpoint that sends prefix to each request and then repeats unit without end.
type endlessEndpoint struct {
	listener net.Listener
	prefix   string
	units    []byte // the unit many times
	wait     int    // requests that must have arrived before the first is answered
	arrived  atomic.Int64
	ready    chan struct{}
	peak     atomic.Uint64 // of the heap, in bytes
}

func newEndlessEndpoint(t *testing.T, prefix, unit string, wait int) *endlessEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &endlessEndpoint{listener: l, prefix: prefix, units: bytes.Repeat([]byte(unit), 64<<10/len(unit)), wait: wait, ready: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *endlessEndpoint) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if e.arrived.Add(1) == int64(e.wait) {
		close(e.ready)
	}
	<-e.ready
	if _, err := io.WriteString(c, strings.ReplaceAll(e.prefix, "%s", q.Header.Get("Id"))); err != nil {
		return
	}
	for sent := 0; sent < maxEndless; sent += len(e.units) {
		if _, err := c.Write(e.units); err != nil {
			break
		}
		e.measure()
	}
}

// measure records the size of the heap if it is the largest so far.
func (e *endlessEndpoint) measure() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	for {
		p := e.peak.Load()
		if m.HeapAlloc <= p || e.peak.CompareAndSwap(p, m.HeapAlloc) {
			return
		}
	}
}

// Tests that a box keeps its memory and serves its callers elsewhere while one of six endpoints sends bytes without end.
func TestBytesWithoutEnd(t *testing.T) {
	eachForm(t, func(t *testing.T, kind, prefix, unit string) {
		s := newEndlessScript(t, kind)
		sound := map[string]string{"idempotent": "ok", "stream": "stream:3"}[kind]
		bad := newEndlessEndpoint(t, prefix, unit, 1)
		for i := range 5 {
			s.step([]string{"endpoint", strconv.Itoa(i), sound}, "")
			s.step([]string{"remote", strconv.Itoa(i)}, "") // so that calls go to the bad endpoint first
		}
		s.addEndless(bad)
		bad.callAtOnce(func(i int) {
			sink, err := forwardOnce(s, strconv.Itoa(i))
			assert.NoError(t, err)
			if kind == "stream" {
				assert.True(t, strings.HasSuffix(sink.body.String(), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
			} else {
				assert.Regexp(t, "^from [0-4]$", sink.body.String())
			}
		})
		require.NotZero(t, bad.arrived.Load())
		t.Logf("%d of %d calls reached the endpoint, the heap had %d MB at most", bad.arrived.Load(), endlessCalls, bad.peak.Load()>>20)
		require.Less(t, bad.peak.Load(), uint64(maxBoxHeap))
	})
}

// Tests that a box keeps its memory while the only endpoint sends bytes without end to all its calls at once.
func TestBytesWithoutEndToAllCalls(t *testing.T) {
	eachForm(t, func(t *testing.T, kind, prefix, unit string) {
		s := newEndlessScript(t, kind)
		bad := newEndlessEndpoint(t, prefix, unit, endlessCalls)
		s.addEndless(bad)
		bad.callAtOnce(func(i int) {
			_, err := forwardOnce(s, strconv.Itoa(i))
			assert.Less(t, len(fmt.Sprint(err)), 1<<10) // it goes to the caller and into the log
		})
		t.Logf("the heap had %d MB at most", bad.peak.Load()>>20)
		require.EqualValues(t, endlessCalls, bad.arrived.Load())
		require.Less(t, bad.peak.Load(), uint64(maxBoxHeap))
	})
}

// Tests that a head or a late answer that has begun and does not end is given up before the deadline of the request.
func TestAnswersThatDoNotEnd(t *testing.T) {
	for _, b := range []string{"head_unfinished", "late_unfinished"} {
		t.Run(b, func(t *testing.T) {
			t.Parallel()
			s := newEndlessScript(t, "idempotent")
			s.step([]string{"endpoint", "a", b}, "")
			s.step([]string{"endpoint", "b", "informational"}, "")
			s.step([]string{"remote", "b"}, "")
			s.call("", "body", nil)
			s.step([]string{"expect", "asked", "a", "1"}, "")
			s.step([]string{"expect", "body", "from", "b"}, "")
		})
	}
}

// eachForm runs a test for each form in the data file.
func eachForm(t *testing.T, play func(t *testing.T, kind, prefix, unit string)) {
	f, err := os.Open("testdata/endless/forms.txt")
	require.NoError(t, err)
	defer f.Close()
	r := bufio.NewScanner(f)
	for r.Scan() {
		if l := r.Text(); l != "" && l[0] != '#' {
			var name, kind, prefix, unit string
			_, err := fmt.Sscanf(l, "%s %s %q %q", &name, &kind, &prefix, &unit)
			require.NoError(t, err, l)
			t.Run(name, func(t *testing.T) { play(t, kind, prefix, unit) })
		}
	}
	require.NoError(t, r.Err())
}

func newEndlessScript(t *testing.T, kind string) *script {
	t.Helper()
	s := newScript(t)
	s.setRoute([]string{kind, "resumable", "2"})
	s.route.LatencyObjective = 0 // no attempt is given up before it has failed
	s.f.OnStart = func(string, time.Time) {}
	return s
}

func (s *script) addEndless(e *endlessEndpoint) {
	s.f.Roster.Put(endpoint.Endpoint{ID: "endless", Service: "s", Slots: 2 * endlessCalls, Version: "v1", Address: e.listener.Addr().String()})
}

// callAtOnce makes all calls at once and waits for their ends.
func (e *endlessEndpoint) callAtOnce(do func(i int)) {
	runtime.GC()
	var calls sync.WaitGroup
	for i := range endlessCalls {
		calls.Go(func() { do(i) })
	}
	calls.Wait()
	e.measure()
}

// builder is a sink that keeps the body.
type builder struct{ body strings.Builder }

func (b *builder) Head(int, http.Header) error { return nil }

func (b *builder) Event(raw []byte) error {
	b.body.Write(raw)
	return nil
}

func (b *builder) Response(_ int, _ http.Header, body []byte) error {
	b.body.Write(body)
	return nil
}

// forwardOnce forwards a request and returns what its caller got.
func forwardOnce(s *script, id string) (*builder, error) {
	sink := &builder{}
	c := &call.Call{ID: id, Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body" + id), Arrived: boottime.Now()}
	_, err := s.f.Do(context.Background(), forward.Request{
		Call: c, Route: &s.route, Service: &catalog.Service{Name: "s"}, Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(time.Minute),
		Content: requesthash.HashOf("a", c),
	}, sink)
	return sink, err
}
