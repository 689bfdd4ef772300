package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/requesthash"
)

// pipeScript is a set of endpoints, each a function that answers a request, on a fake clock.
type pipeScript struct {
	*script

	began time.Time
	mu    sync.Mutex
	serve map[string]func(w io.Writer, q *http.Request, gone <-chan struct{})
	runs  map[string]int
	left  map[string]time.Duration // when the box closed the last connection
}

func newPipeScript(t *testing.T, route ...string) *pipeScript {
	s := &pipeScript{
		script: newScript(t), began: time.Now(), serve: map[string]func(io.Writer, *http.Request, <-chan struct{}){},
		runs: map[string]int{}, left: map[string]time.Duration{},
	}
	s.f.Pool.Connector = scriptPipes{s: s}
	s.setRoute(route)
	return s
}

func (s *pipeScript) add(n string, f func(w io.Writer, q *http.Request, gone <-chan struct{})) {
	s.mu.Lock()
	s.serve[n] = f
	s.mu.Unlock()
	s.f.Roster.Put(endpoint.Endpoint{ID: n, Service: "s", Slots: 4, Version: "v1", Address: n})
}

type scriptPipes struct {
	pipes
	s *pipeScript
}

func (p scriptPipes) Connect(_ context.Context, id, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r := bufio.NewReader(far)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		p.s.mu.Lock()
		if q.URL.Path == "/x" {
			p.s.runs[id]++
		}
		serve := p.s.serve[id]
		p.s.mu.Unlock()
		gone := make(chan struct{})
		go func() {
			_, _ = r.ReadByte()
			p.s.mu.Lock()
			p.s.left[id] = time.Since(p.s.began)
			p.s.mu.Unlock()
			close(gone)
		}()
		serve(far, q, gone)
	}()
	return near, nil
}

func writeHead(w io.Writer, q *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
}

func writeEvent(w io.Writer, i int, name string) {
	e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, name)
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
}

func writeEnd(w io.Writer) { fmt.Fprint(w, "0\r\n\r\n") }

func writeAnswer(w io.Writer, q *http.Request, status int, head, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", status, q.Header.Get("Id"), head, len(body), body)
}

// streamEvents sends the events after Last-Event up to total: the first after first, the others after gap.
func streamEvents(name string, first, gap time.Duration, total int) func(io.Writer, *http.Request, <-chan struct{}) {
	return func(w io.Writer, q *http.Request, gone <-chan struct{}) {
		last := 0
		_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
		wait := first
		for i := last + 1; i <= total; i++ {
			select {
			case <-time.After(wait):
			case <-gone:
				return
			}
			if i == last+1 {
				writeHead(w, q)
			}
			writeEvent(w, i, name)
			wait = gap
		}
		writeEnd(w)
	}
}

func (s *pipeScript) do(id string, sink forward.Sink, e *catalog.Engine) error {
	c := &call.Call{ID: id, Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body"), Arrived: boottime.Now()}
	q := forward.Request{
		Call: c, Route: &s.route, Service: &catalog.Service{Name: "s", HealthPath: s.service.HealthPath, Engine: e},
		Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(20 * time.Second),
		Content: requesthash.HashOf("a", c),
	}
	_, err := s.f.Do(s.t.Context(), q, sink)
	return err
}

func kindOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	return fmt.Sprint(err)
}

func eventSources(r *recorder) string {
	var from []string
	for l := range strings.SplitSeq(r.body, "\n") {
		if n, ok := strings.CutPrefix(l, "data: "); ok {
			from = append(from, n)
		}
	}
	return strings.Join(from, " ")
}

// Guards against successors of one attempt that don't count those before them, so that a request runs on more endpoints than allowed.
func TestSuccessorsCountForMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "2")
		s.add("a", streamEvents("a", 10*time.Millisecond, 1500*time.Millisecond, 6))
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for _, n := range []string{"b", "c", "d"} {
				s.add(n, streamEvents(n, 300*time.Millisecond, 10*time.Millisecond, 6))
			}
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		t.Log("runs", s.runs, "events", r.events(), "from", eventSources(r))
		require.Equal(t, "1 2 3 4 5 6", r.events())
		require.LessOrEqual(t, s.runs["b"]+s.runs["c"]+s.runs["d"], 1, "max_attempts is 2: a and one more; runs %v", s.runs)
	})
}

// Guards against one successor after the other that fails, beyond the attempts of the request.
func TestFailedSuccessorsCountForMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			select {
			case <-time.After(5 * time.Second):
				writeAnswer(w, q, 200, "", "a")
			case <-gone:
			}
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 500, "", "b") })
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "a", r.body)
		require.Equal(t, 1, s.runs["b"], "max_attempts is 2: a and one run at b")
	})
}

// Guards against a cancelled successor that does not count once the attempt breaks.
func TestCancelledSuccessorCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			writeHead(w, q)
			writeEvent(w, 1, "a")
			time.Sleep(1600 * time.Millisecond)
			writeEvent(w, 2, "a")
			time.Sleep(50 * time.Millisecond) // and the connection breaks
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for _, n := range []string{"b", "c"} {
				s.add(n, streamEvents(n, 300*time.Millisecond, 10*time.Millisecond, 6))
			}
		}()
		err := s.do("1", r, nil)
		synctest.Wait()
		t.Log("runs", s.runs, "events", r.events(), "from", eventSources(r), "err", err)
		require.LessOrEqual(t, s.runs["a"]+s.runs["b"]+s.runs["c"], 2, "max_attempts is 2; runs %v", s.runs)
	})
}

// Guards against a request that is counted twice for its account, at an error of its successor and at the answer.
func TestUsageOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			select {
			case <-time.After(500 * time.Millisecond):
				writeAnswer(w, q, 200, "", "a")
			case <-gone:
			}
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 500, "", "b") })
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "a", r.body)
		require.Equal(t, 1, s.started, "OnStart once a request")
	})
}

// The same if the attempt fails first and the successor answers.
func TestUsageOnceIfSuccessorAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			time.Sleep(250 * time.Millisecond)
			writeAnswer(w, q, 500, "", "a")
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) {
				time.Sleep(200 * time.Millisecond)
				writeAnswer(w, q, 200, "", "b")
			})
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "b", r.body)
		require.Equal(t, 1, s.started, "OnStart once a request")
	})
}

// Guards against callers who are told that nothing ran although a successor ran the request.
func TestNotRunAfterSuccessorRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "3")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			time.Sleep(500 * time.Millisecond)
			writeAnswer(w, q, 503, "Not-Run: 1\r\n", "")
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { time.Sleep(100 * time.Millisecond) })
		}()
		err := s.do("1", r, nil)
		synctest.Wait()
		t.Log("runs", s.runs, "err", err)
		require.Error(t, err)
		require.Equal(t, 1, s.runs["b"])
		var e *errkind.Error
		require.True(t, errors.As(err, &e))
		require.NotEqual(t, errkind.NotRun, e.Kind.Response().Run, "b ran the request: %v (%s)", err, e.Kind)
	})
}

// fakeMoves is a codec of moves: the source is asked by path.
type fakeMoves struct {
	decode func(n int, body string) call.Copy
	n      *int
}

func (m fakeMoves) Copy(_ string, source, target endpoint.Endpoint, last bool) (httpconn.Request, error) {
	return httpconn.Request{
		Endpoint: source.ID, Address: source.Address, Method: http.MethodPost, Target: fmt.Sprintf("/copy?last=%v&to=%s", last, target.ID), Host: "h", Body: []byte("x"),
		Matches: func(http.Header) bool { return true },
	}, nil
}

func (m fakeMoves) DecodeCopy(_ int, b []byte) call.Copy { *m.n++; return m.decode(*m.n, string(b)) }

func (m fakeMoves) Free(source endpoint.Endpoint, handle string) httpconn.Request {
	return httpconn.Request{
		Endpoint: source.ID, Address: source.Address, Method: http.MethodPost, Target: "/free", Host: "h", Body: []byte("x"),
		Matches: func(http.Header) bool { return true },
	}
}

// lockedSink finds two runs that pass to the caller.
type lockedSink struct {
	recorder
	mu sync.Mutex
}

func (r *lockedSink) Event(raw []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.Event(raw)
}

// Guards against a continuation beside a successor: both passed events to the caller.
func TestSuccessorContinuationBesideSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "3")
		n := 0
		stop := make(chan struct{})
		s.f.Moves = fakeMoves{n: &n, decode: func(n int, _ string) call.Copy {
			switch n {
			case 1:
				return call.Copy{Result: call.Copied, Handle: "h1"}
			case 2:
				close(stop)
				return call.Copy{Result: call.Copied, Handle: "h2"}
			}
			return call.Copy{Result: call.NoRoom, Handle: fmt.Sprint("h", n)}
		}}
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			if q.URL.Path != "/x" {
				writeAnswer(w, q, 200, "", "ok")
				return
			}
			last := 0
			_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
			if last > 0 { // the run returns
				streamEvents("a-returned", 150*time.Millisecond, 300*time.Millisecond, 8)(w, q, gone)
				return
			}
			writeHead(w, q)
			for i := 1; i <= 3; i++ {
				writeEvent(w, i, "a")
				time.Sleep(10 * time.Millisecond)
			}
			select {
			case <-stop:
			case <-gone:
			}
		})
		r := &lockedSink{}
		go func() {
			time.Sleep(25 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
				select {
				case <-time.After(3 * time.Second): // paused
				case <-gone:
					return
				}
				writeAnswer(w, q, 503, "Not-Run: 1\r\n", "")
			})
			e := endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", Draining: true, DrainPeriod: 400 * time.Millisecond}
			s.f.Roster.Put(e)
			s.f.MoveAway(e)
			time.Sleep(500 * time.Millisecond)
			s.add("c", streamEvents("c", 800*time.Millisecond, 300*time.Millisecond, 8))
		}()
		err := s.do("1", r, &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000})
		synctest.Wait()
		t.Log("runs", s.runs, "events", r.events(), "from", eventSources(&r.recorder), "err", err)
		require.Equal(t, "1 2 3 4 5 6 7 8", r.events(), "each event once")
	})
}

// Guards against streams that are cancelled to be resumed elsewhere, where they are refused, although their draining endpoint
// would have ended them in time.
func TestResumeOfDrainingIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "3")
		n := 0
		s.f.Moves = fakeMoves{n: &n, decode: func(int, string) call.Copy { return call.Copy{Result: call.NoSuchRun} }}
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			if q.URL.Path != "/x" {
				writeAnswer(w, q, 200, "", "ok")
				return
			}
			streamEvents("a", 500*time.Millisecond, 10*time.Millisecond, 6)(w, q, gone)
		})
		r := &recorder{}
		go func() {
			time.Sleep(25 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 503, "Not-Run: 1\r\n", "") })
			e := endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", Draining: true, DrainPeriod: 600 * time.Millisecond}
			s.f.Roster.Put(e)
			s.f.MoveAway(e)
		}()
		err := s.do("1", r, &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000})
		time.Sleep(time.Second) // the planner's ticker
		synctest.Wait()
		t.Log("runs", s.runs, "events", r.events(), "err", err, "kind", kindOf(err), "left", s.left)
		require.NoError(t, err)
		require.Equal(t, "1 2 3 4 5 6", r.events())
	})
}

// Guards against an endpoint that hangs and is not left while the only other one computes the first event of another stream.
func TestSuccessorHangBesideBusyEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "2")
		s.add("a", func(_ io.Writer, _ *http.Request, gone <-chan struct{}) { <-gone })
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.f.Roster.Remove("a")
			var isLater atomic.Bool
			s.add("b", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
				d := 10 * time.Millisecond
				if !isLater.Swap(true) {
					d = 4 * time.Second // a long prompt
				}
				streamEvents("b", d, 10*time.Millisecond, 6)(w, q, gone)
			})
			go func() { _ = s.do("2", &recorder{}, nil) }()
			time.Sleep(10 * time.Millisecond)
			s.f.Roster.Put(endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a"})
		}()
		began := time.Now()
		require.NoError(t, s.do("1", r, nil))
		took := time.Since(began)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		t.Log("took", took, "from", eventSources(r))
		require.Less(t, took, 3*time.Second, "before, the attempt at a was left after 1.2 s and twice the expected time")
	})
}

// refusingPipes is a connector to which some endpoints refuse connections.
type refusingPipes struct {
	scriptPipes
	refuses func(id string) bool
}

func (p refusingPipes) Connect(c context.Context, id, address string) (net.Conn, error) {
	if p.refuses(id) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return p.scriptPipes.Connect(c, id, address)
}

func (p refusingPipes) Refuses(_ context.Context, id, _ string, _ time.Duration) (net.Conn, bool) {
	return nil, p.refuses(id)
}

// Guards against a move whose source ends, and that continues from its copy beside a successor.
func TestSuccessorMoveOfEndedSourceBesideSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "3")
		n := 0
		var ended atomic.Bool
		dead := make(chan struct{})
		s.f.Pool.Connector = refusingPipes{scriptPipes{s: s}, func(id string) bool { return id == "a" && ended.Load() }}
		s.f.Moves = fakeMoves{n: &n, decode: func(n int, _ string) call.Copy {
			if n == 1 {
				ended.Store(true)
				close(dead)
				time.Sleep(5 * time.Millisecond) // the box learns of the end before it looks at the answer
			}
			return call.Copy{Result: call.Copied, Handle: "h1"}
		}}
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			if q.URL.Path != "/x" {
				writeAnswer(w, q, 200, "", "ok")
				return
			}
			writeHead(w, q)
			for i := 1; i <= 3; i++ {
				writeEvent(w, i, "a")
			}
			select {
			case <-dead:
			case <-gone:
			}
		})
		r := &lockedSink{}
		go func() {
			time.Sleep(25 * time.Millisecond)
			s.add("b", streamEvents("b", 800*time.Millisecond, 300*time.Millisecond, 8))
			s.add("c", streamEvents("c", 800*time.Millisecond, 300*time.Millisecond, 8))
			time.Sleep(1500 * time.Millisecond)
			e := endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", Draining: true, DrainPeriod: 400 * time.Millisecond}
			s.f.Roster.Put(e)
			s.f.MoveAway(e)
		}()
		err := s.do("1", r, &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		t.Log("copies", n, "runs", s.runs, "events", r.events(), "from", eventSources(&r.recorder), "err", err)
		require.Equal(t, "1 2 3 4 5 6 7 8", r.events(), "each event once")
	})
}

// Guards against credits that are spent for successors that arrive nowhere.
func TestCreditsOfSuccessorsThatArriveNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.f.Pool.Connector = refusingPipes{scriptPipes{s: s}, func(id string) bool { return id != "a" }}
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			select {
			case <-time.After(5 * time.Second):
				writeAnswer(w, q, 200, "", "a")
			case <-gone:
			}
		})
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", nil)
		}()
		r := &recorder{}
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "a", r.body)
		_, n := s.f.Budget.Counts("s", boottime.Now())
		require.LessOrEqual(t, n, 1, "no second arrival anywhere: at most one credit is taken ahead")
	})
}

// A caller who leaves leaves nothing running, beside a successor and its successor.
func TestSuccessorCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newPipeScript(t, "stream", "resumable", "4")
			hang := func(_ io.Writer, _ *http.Request, gone <-chan struct{}) { <-gone }
			for _, n := range []string{"a", "b", "c", "d"} {
				s.add(n, hang)
			}
			c, cancel := context.WithTimeout(t.Context(), after)
			defer cancel()
			cl := &call.Call{ID: "1", Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body"), Arrived: boottime.Now()}
			q := forward.Request{Call: cl, Route: &s.route, Service: &catalog.Service{Name: "s"}, Expires: boottime.Now().Add(20 * time.Second), Content: requesthash.HashOf("a", cl)}
			began := time.Now()
			_, err := s.f.Do(c, q, &recorder{})
			require.Error(t, err)
			require.Equal(t, after, time.Since(began))
			synctest.Wait()
			t.Log(after, s.runs, s.left)
			require.Len(t, s.left, len(s.runs))
		})
	}
}

// Guards against an endpoint that gets the request no more because its successor there was cancelled.
func TestSuccessorWokenEndpointBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "3")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			writeHead(w, q)
			writeEvent(w, 1, "a")
			time.Sleep(1600 * time.Millisecond)
			writeEvent(w, 2, "a")
			time.Sleep(50 * time.Millisecond) // and the connection breaks
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", streamEvents("b", 300*time.Millisecond, 10*time.Millisecond, 6))
		}()
		err := s.do("1", r, nil)
		synctest.Wait()
		t.Log("runs", s.runs, "events", r.events(), "from", eventSources(r), "err", err)
		require.NoError(t, err)
		require.Equal(t, "1 2 3 4 5 6", r.events())
	})
}

// Guards against a successor's refusal that is the answer although the first endpoint runs the request.
func TestSuccessorAnswers429(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			select {
			case <-time.After(500 * time.Millisecond):
				writeAnswer(w, q, 200, "", "a")
			case <-gone:
			}
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 429, "", "b") })
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, 200, r.status)
	})
}

// Guards against bytes that the error response of a successor holds for good.
func TestErrorResponsesOfSuccessorsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "idempotent", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			time.Sleep(time.Second)
			writeAnswer(w, q, 200, "", "a")
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 500, "", "an error") })
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "a", r.body)
		require.Equal(t, 1, s.runs["b"])
		require.Zero(t, s.f.Pool.Budget.Total())
	})
}

// Guards against an endpoint that sends comments after a silence, without end: they ended the successor, and the stream broke with
// its attempts used up.
func TestCommentsEndNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "2")
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			writeHead(w, q)
			time.Sleep(2500 * time.Millisecond)
			for {
				if _, err := io.WriteString(w, "3\r\n: \n\r\n1\r\n\n\r\n"); err != nil {
					return
				}
			}
		})
		r := &recorder{}
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.add("b", streamEvents("b", 300*time.Millisecond, 10*time.Millisecond, 3))
		}()
		require.NoError(t, s.do("1", r, nil))
		synctest.Wait()
		require.Equal(t, "b b b", eventSources(r))
		require.Equal(t, map[string]int{"a": 1, "b": 1}, s.runs)
	})
}
