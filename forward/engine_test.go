package forward_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/tunnel"
)

// engines is a set of fake engines on a fake clock that copy the memory of runs to each other. It records where
// requests run, and whether one ever ran at two places.
type engines struct {
	t *testing.T

	mu      sync.Mutex
	byName  map[string]*fakeEngine
	running map[string]string // by request ID, the engine that runs it
	handles map[string]string // by the address of the source and the handle, the destination's address
	starts  []string          // for each run begun: engine, "new" or "moved", and last event ID
	overlap bool              // a request ran at two places
	serial  int
	freed   chan string // handles that were freed
	named   bool        // events name the engine that sends them
}

func newEngines(t *testing.T) *engines {
	t.Helper()
	return &engines{t: t, byName: map[string]*fakeEngine{}, running: map[string]string{}, handles: map[string]string{}, freed: make(chan string, 64)}
}

// fakeEngine streams the events after Last-Event-Id up to total. If drains is set, a run that is not
// a continuation sends hold events, announces that the engine drains, and waits before each further
// event.
type fakeEngine struct {
	all   *engines
	name  string
	total int

	version string // of its software
	hold    int

	drains   bool
	unframed bool     // responses end with their connection
	noIDs    bool     // events have no IDs
	bare     int      // number of an event without an ID; zero for none
	skew     int      // events by which continuations begin too late, or too early if negative
	lateHead bool     // the head of a response is sent with the first event
	moves    []string // what happens on each call of kv-move; the last one repeats
	refuses  int      // continuations to refuse

	addr     string
	listener net.Listener
	drain    func()
	replace  func()             // lists another process under the engine's ID
	cancel   context.CancelFunc // cancels the request, as the stop of the box does
	received func(event int)    // waits until the caller has received an event

	mu       sync.Mutex
	conns    []net.Conn
	sent     int
	stopped  chan struct{} // closed when the run is to stop
	released chan struct{} // closed when a run that waits may go on
	finished chan struct{} // closed when a run that waits is to end its stream as a whole one
	streams  []net.Conn
	ended    chan struct{} // closed when the process has ended

	releaseOnce sync.Once // closes released
}

type connKey struct{}

// copyDelay is how long a copy takes that waits for others.
const copyDelay = 450 * time.Millisecond

// totalEvents is the number of events of a stream.
const totalEvents = 6

func (s *engines) add(name string) *fakeEngine {
	s.t.Helper()
	l := newPipeListener(name)
	e := &fakeEngine{
		all: s, name: name, version: "v1", total: totalEvents, listener: l, addr: l.Addr().String(), moves: []string{"ok"},
		stopped: make(chan struct{}), released: make(chan struct{}), finished: make(chan struct{}), ended: make(chan struct{}),
	}
	s.mu.Lock()
	s.byName[name] = e
	s.mu.Unlock()
	m := http.NewServeMux()
	m.HandleFunc("POST /birchlink/kv-move", e.move)
	m.HandleFunc("DELETE /birchlink/kv-handle/{id}", func(w http.ResponseWriter, q *http.Request) {
		s.freed <- q.PathValue("id")
		w.WriteHeader(http.StatusOK)
	})
	m.HandleFunc("POST /x", e.serve)
	m.HandleFunc("GET "+healthPath, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.name) })
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute, ConnContext: func(c context.Context, n net.Conn) context.Context {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.conns = append(e.conns, n)
		return context.WithValue(c, connKey{}, n)
	}}
	go func() { _ = h.Serve(l) }()
	s.t.Cleanup(e.crash)
	return e
}

// pipeListener accepts connections that are pipes. Its address is the engine's name.
type pipeListener struct {
	name   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr  { return l }
func (l *pipeListener) Network() string { return "pipe" }
func (l *pipeListener) String() string  { return l.name }

func newPipeListener(name string) *pipeListener {
	return &pipeListener{name: name, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// listenerPipes connects a forwarder to the listeners that at returns for their addresses.
type listenerPipes struct {
	pipes

	at func(address string) net.Listener
}

func (p listenerPipes) Connect(c context.Context, _, address string) (net.Conn, error) {
	l := p.at(address).(*pipeListener)
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case <-c.Done():
		return nil, c.Err()
	}
}

func (p listenerPipes) Refuses(c context.Context, id, address string, _ time.Duration) (net.Conn, bool) {
	n, err := p.Connect(c, id, address)
	return n, errors.Is(err, syscall.ECONNREFUSED)
}

// probe connects to an endpoint to find out whether its process has ended.
func (p listenerPipes) probe(c context.Context, e endpoint.Endpoint) tunnel.Outcome {
	n, err := p.Connect(c, e.ID, e.Address)
	if err == nil {
		_ = n.Close()
	}
	return tunnel.OutcomeOf(err)
}

// crash ends the process of the engine.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return
	default:
	}
	close(e.ended)
	e.all.endRuns(e.name)
	_ = e.listener.Close()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// cutStreams closes the connections of streams while their runs go on.
func (e *fakeEngine) cutStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.streams {
		_ = c.Close()
	}
}

func (s *engines) endRuns(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.running {
		if n == engine {
			delete(s.running, id)
		}
	}
}

// begin records the start of a run, and reports whether the engine may begin it.
func (s *engines) begin(e *fakeEngine, q *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, from, kind := q.Header.Get("X-Request-Id"), q.Header.Get("Kv-From"), "new"
	if from != "" {
		kind = "moved"
		to, ok := s.handles[from]
		if e.refuses > 0 || !ok || to != e.addr && !strings.HasPrefix(from, e.addr+"/") {
			e.refuses--
			delete(s.handles, from)
			return false
		}
		delete(s.handles, from)
	}
	if at, ok := s.running[id]; ok {
		s.t.Logf("%s runs at %s and begins at %s", id, at, e.name)
		s.overlap = true
	}
	s.running[id] = e.name
	s.starts = append(s.starts, strings.TrimSpace(e.name+" "+kind+" "+q.Header.Get("Last-Event-Id")))
	return true
}

func (e *fakeEngine) serve(w http.ResponseWriter, q *http.Request) {
	if !e.all.begin(e, q) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	n, _ := q.Context().Value(connKey{}).(net.Conn)
	e.streams = append(e.streams, n)
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", e.name)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	out, flush := io.Writer(w), func() { _ = rc.Flush() }
	if e.unframed {
		c, _, err := rc.Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		out, flush = c, func() {}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = w.Header().Write(c)
		fmt.Fprint(c, "\r\n")
	}
	if !e.lateHead {
		flush()
	}
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if q.Header.Get("Kv-From") != "" {
		last += e.skew
	}
	for i := last + 1; i <= e.total; i++ {
		if e.drains && i > e.hold && q.Header.Get("Kv-From") == "" {
			if i == e.hold+1 && e.hold > 0 {
				e.received(e.hold)
			}
			e.drain()
			if !e.await(q.Context()) {
				return
			}
		}
		if !e.noIDs && i != e.bare {
			fmt.Fprintf(out, "id: %d\n", i)
		}
		if e.all.named {
			fmt.Fprintf(out, "event: %s\n", e.name)
		}
		fmt.Fprintf(out, "data: %d\n\n", i)
		flush()
		e.mu.Lock()
		e.sent = i
		e.mu.Unlock()
	}
	e.all.endRuns(e.name)
}

// await blocks the run until it may go on, and returns false if its stream is to end as a whole one. If the run is stopped, its
// stream is closed without its end.
func (e *fakeEngine) await(c context.Context) bool {
	select {
	case <-e.finished:
		return false
	case <-c.Done(): // the box has closed the connection
		panic(http.ErrAbortHandler)
	case <-e.stopped:
		panic(http.ErrAbortHandler)
	case <-e.ended:
		panic(http.ErrAbortHandler)
	case <-e.released:
	}
	return true
}

// move answers a call of kv-move with the next of the engine's behaviours.
func (e *fakeEngine) move(w http.ResponseWriter, q *http.Request) {
	var in struct {
		ID            string `json:"id"`
		TargetVersion string `json:"target_version"`
		Last          bool   `json:"last"`
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	b := e.moves[0]
	if len(e.moves) > 1 {
		e.moves = e.moves[1:]
	}
	e.mu.Unlock()
	handle := ""
	copyRun := func() {
		e.all.mu.Lock()
		defer e.all.mu.Unlock()
		e.all.serial++
		handle = "h" + strconv.Itoa(e.all.serial)
		e.all.handles[e.addr+"/"+handle] = in.TargetVersion
	}
	stop := func() {
		if !in.Last {
			return
		}
		e.all.endRuns(e.name)
		e.mu.Lock()
		defer e.mu.Unlock()
		select {
		case <-e.stopped:
		default:
			close(e.stopped)
		}
	}
	if how, ok := strings.CutPrefix(b, "finished_"); ok { // the run stops, and its stream ends as a whole one does
		e.all.endRuns(e.name)
		e.finish()
		answerStopped(w, how)
		return
	}
	if how, ok := strings.CutPrefix(b, "stopped_"); ok {
		stop()
		answerStopped(w, how)
		return
	}
	if how, ok := strings.CutPrefix(b, "running_"); ok { // the run goes on
		answerStopped(w, how)
		return
	}
	if status, ok := strings.CutPrefix(b, "status"); ok {
		answerWithStatus(w, status)
		return
	}
	status := http.StatusOK
	switch b {
	case "ok":
		stop()
		copyRun()
	case "ok_last_chunk": // the stream of the stopped run ends as a whole one does
		e.all.endRuns(e.name)
		copyRun()
		e.finish()
	case "last_chunk_then_ok": // so it does, and the copy takes a while then
		e.all.endRuns(e.name)
		e.finish()
		<-time.After(copyDelay)
		copyRun()
	case "last_chunk_then_ends": // so it does, and the process ends before it answers
		e.all.endRuns(e.name)
		e.finish()
		<-time.After(copyDelay / 9) // the box has read the end
		e.crash()
		panic(http.ErrAbortHandler)
	case "last_chunk_lost": // so it does, and the answer is lost
		e.all.endRuns(e.name)
		e.finish()
		panic(http.ErrAbortHandler)
	case "last_chunk_mute": // so it does, and the call is not answered
		e.all.endRuns(e.name)
		e.finish()
		<-q.Context().Done()
		return
	case "ok_left_open": // the stream of the stopped run is not closed
		e.all.endRuns(e.name)
		copyRun()
	case "ok_then_target_ends":
		stop()
		copyRun()
		e.all.engineAt(in.TargetVersion).crash()
	case "target_ends", "full": // a run that is told to stop does, and its memory stays here
		if b == "target_ends" {
			e.all.engineAt(in.TargetVersion).crash()
		}
		status = http.StatusServiceUnavailable
		if stop(); in.Last {
			copyRun()
			e.all.mu.Lock()
			e.all.handles[e.addr+"/"+handle] = ""
			e.all.mu.Unlock()
		}
	case "no_run_yet": // and the run begins after this answer
		e.released <- struct{}{}
		status = http.StatusNotFound
	case "lost": // the run stops, but its stream stays open and the answer is lost
		e.all.endRuns(e.name)
		panic(http.ErrAbortHandler)
	case "no_run_closed": // the stream is closed, and nothing is left of the run
		stop()
		status = http.StatusNotFound
	case "no_run":
		status = http.StatusNotFound
	case "ends":
		e.crash()
		panic(http.ErrAbortHandler)
	case "replaced": // the process has ended, and another of the same ID knows of no run
		e.all.endRuns(e.name)
		e.replace()
		e.cutStreams()
		status = http.StatusNotFound
	case "record_replaced": // the record shows another start, and the process goes on
		e.replace()
		copyRun()
	case "answer_lost":
		stop()
		panic(http.ErrAbortHandler)
	case "link_cut": // the call doesn't arrive, and the stream is cut although the run goes on
		e.cutStreams()
		panic(http.ErrAbortHandler)
	case "no_answer": // the call doesn't arrive, and nothing else does
		<-q.Context().Done()
		return
	case "vanishes": // the engine's box ends without a sign
		e.all.endRuns(e.name)
		<-q.Context().Done()
		return
	case "box_stops":
		stop()
		e.cancel()
		<-q.Context().Done()
		return
	case "run_ends": // the run ends before it is told to stop
		e.releaseOnce.Do(func() { close(e.released) })
		status = http.StatusNotFound
	case "run_ends_mute": // so does the run, and the call is not answered
		e.releaseOnce.Do(func() { close(e.released) })
		<-q.Context().Done()
		return
	case "event_then_ok": // a run that is told to stop sends another event first, and its caller has got it
		e.released <- struct{}{}
		e.received(e.hold + 1)
		stop()
		copyRun()
	case "event_first": // the copy takes until the stream has sent another event, and its caller has got it
		e.released <- struct{}{}
		e.received(e.hold + 1)
		copyRun()
	}
	w.WriteHeader(status)
	if handle != "" {
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": e.sentEvents()})
	}
}

// lateAnswer is longer than a box waits for the answer to an order.
const lateAnswer = 1100 * time.Millisecond

// answerStopped answers an order to stop a run without a handle: with a status, late, with a part of its body, or not at all.
func answerStopped(w http.ResponseWriter, how string) {
	switch how {
	case "lost":
		panic(http.ErrAbortHandler)
	case "late":
		<-time.After(lateAnswer)
	case "cut":
		w.Header().Set("Content-Length", "64")
		fmt.Fprint(w, `{"handle":"h`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		if status, ok := strings.CutPrefix(how, "status"); ok {
			answerWithStatus(w, status)
			return
		}
		status, _ := strconv.Atoi(how)
		w.WriteHeader(status)
	}
}

// answerWithStatus answers a call of kv-move with a status. The body looks like an answer with a handle.
func answerWithStatus(w http.ResponseWriter, status string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	handle := `{"handle":"forged","created":3}`
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(handle), handle)
	fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// finish ends the stream of a run that waits as a whole one.
func (e *fakeEngine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.finished:
	default:
		close(e.finished)
	}
}

func (e *fakeEngine) sentEvents() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent
}

func (s *engines) engineAt(addr string) *fakeEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byName {
		if e.addr == addr {
			return e
		}
	}
	s.t.Errorf("no engine has the address %s", addr)
	return nil
}

// register lists the engine as an endpoint of a data centre. Later, drain marks it as one that ends after period.
func (e *fakeEngine) register(r *endpoint.Roster, dc string, reclaimable bool, period time.Duration) {
	v := endpoint.Endpoint{ID: e.name, Service: "s", Slots: 4, Version: e.version, Address: e.addr, DataCentre: dc, Reclaimable: reclaimable}
	r.Put(v)
	v.Draining, v.DrainPeriod = true, period
	e.drain = func() { r.Put(v) }
	e.replace = func() {
		r.Put(endpoint.Endpoint{ID: e.name, StartMillis: 2, Service: "s", Slots: 4, Version: "v1", Address: e.addr, DataCentre: dc})
	}
}
