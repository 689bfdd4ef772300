package forward_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endmark"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/requesthash"
)

// worldMoves passes the answers "RESULT HANDLE" of a stopWorld.
type worldMoves struct{ w *stopWorld }

func (m worldMoves) Copy(_ string, source, target endpoint.Endpoint, last bool) (httpconn.Request, error) {
	return httpconn.Request{
		Endpoint: source.ID, Address: source.Address, Method: http.MethodPost, Target: fmt.Sprintf("/copy?last=%v&to=%s", last, target.ID), Host: "h", Body: []byte("x"),
		Matches: func(http.Header) bool { return true },
	}, nil
}

func (m worldMoves) DecodeCopy(_ int, b []byte) call.Copy {
	f := strings.Fields(string(b) + " ")
	if len(f) == 0 {
		return call.Copy{Result: call.CopyFailed}
	}
	c := stopAnswers[f[0]]
	c.Handle = ""
	if len(f) > 1 {
		c.Handle = f[1]
	}
	return c
}

func (m worldMoves) Free(source endpoint.Endpoint, handle string) httpconn.Request {
	return httpconn.Request{
		Endpoint: source.ID, Address: source.Address, Method: http.MethodPost, Target: "/free?h=" + handle, Host: "h", Body: []byte("x"),
		Matches: func(http.Header) bool { return true },
	}
}

type worldRun struct {
	at      string
	stop    chan struct{}
	created int
}

type worldHandle struct {
	source, target string
	used, freed    bool
}

// stopWorld is a set of endpoints that run one request.
type stopWorld struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	total   int
	active  map[string]*worldRun
	handles map[string]*worldHandle
	serial  int
	copying map[string]bool
	overlap string
	log     []string
	began   time.Time
	orders  int
	sound   bool // orders are answered as they should be
}

func (w *stopWorld) say(f string, a ...any) {
	w.log = append(w.log, fmt.Sprint(time.Since(w.began).Milliseconds(), "ms ")+fmt.Sprintf(f, a...))
}

func (w *stopWorld) newHandle(source, target string) string {
	for h, v := range w.handles { // a repeated call copies what is new
		if v.source == source && v.target == target && !v.used && !v.freed {
			return h
		}
	}
	w.serial++
	h := fmt.Sprint("h", w.serial)
	w.handles[h] = &worldHandle{source: source, target: target}
	return h
}

// halt stops the run at an endpoint. The lock must be held.
func (w *stopWorld) halt(at string) bool {
	r := w.active[at]
	if r == nil {
		return false
	}
	delete(w.active, at)
	close(r.stop)
	return true
}

// buffered passes writes on without waiting for the reader.
type buffered struct {
	ch   chan []byte
	done chan struct{}
}

func newBuffered(w io.Writer) *buffered {
	b := &buffered{make(chan []byte, 1000), make(chan struct{})}
	go func() {
		defer close(b.done)
		for p := range b.ch {
			if _, err := w.Write(p); err != nil {
				for range b.ch {
				}
				return
			}
		}
	}()
	return b
}

func (b *buffered) Write(p []byte) (int, error) {
	b.ch <- append([]byte(nil), p...)
	return len(p), nil
}

func (b *buffered) close() {
	close(b.ch)
	<-b.done
}

type worldEndpoint struct {
	name, framing string
	first, gap    time.Duration
	refuses       int // the first runs
	cutAt         int
	pauseAt       int
	pause         time.Duration
	noIDAt        int
}

func (w *stopWorld) serve(e *worldEndpoint) func(io.Writer, *http.Request, <-chan struct{}) {
	return func(o io.Writer, q *http.Request, gone <-chan struct{}) {
		switch q.URL.Path {
		case healthPath:
			writeAnswer(o, q, 200, "", "")
		case "/copy":
			w.copy(e, o, q, gone)
		case "/free":
			w.mu.Lock()
			if h := w.handles[q.URL.Query().Get("h")]; h != nil {
				h.freed = true
			}
			w.mu.Unlock()
			writeAnswer(o, q, 200, "", "")
		default:
			w.run(e, o, q, gone)
		}
	}
}

func (w *stopWorld) copy(e *worldEndpoint, o io.Writer, q *http.Request, gone <-chan struct{}) {
	to, last := q.URL.Query().Get("to"), q.URL.Query().Get("last") == "true"
	w.mu.Lock()
	n := w.rnd.IntN(100)
	delay := time.Duration(w.rnd.IntN(40)) * time.Millisecond
	late := time.Duration(w.rnd.IntN(2500)) * time.Millisecond
	if w.rnd.IntN(12) == 0 {
		delay += time.Second
	}
	if w.sound {
		n = 0
	}
	w.mu.Unlock()
	w.mu.Lock()
	if w.copying[e.name] {
		w.say("call at %s: under way", e.name)
		w.mu.Unlock()
		writeAnswer(o, q, 200, "", "under_way")
		return
	}
	w.copying[e.name] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.copying[e.name] = false
	}()
	if !last {
		time.Sleep(delay)
		w.mu.Lock()
		answer := "no_run"
		if w.active[e.name] != nil {
			switch {
			case n < 85:
				answer = "copied " + w.newHandle(e.name, to)
			case n < 92:
				answer = "kept" // no room, no handle
			case n < 96:
				answer = "failed"
			default:
				answer = ""
			}
		}
		w.say("copy at %s to %s: %q", e.name, to, answer)
		w.mu.Unlock()
		if answer != "" {
			writeAnswer(o, q, 200, "", answer)
		}
		return
	}
	w.mu.Lock()
	w.orders++
	var answer string
	switch {
	case n < 45: // in order
		if w.halt(e.name) {
			w.mu.Unlock()
			time.Sleep(delay)
			w.mu.Lock()
			answer = "stopped " + w.newHandle(e.name, to)
			if n%8 == 0 && !w.sound {
				answer = strings.Replace(answer, "stopped", "kept", 1)
				w.handles[strings.Fields(answer)[1]].target = ""
			}
		} else {
			answer = "no_run"
		}
	case n < 53: // does not arrive
	case n < 63: // the answer is lost
		w.halt(e.name)
	case n < 70:
		w.halt(e.name)
		answer = "no_run"
	case n < 76:
		w.halt(e.name)
		answer = "failed"
	case n < 80:
		answer = "failed"
	case n < 84:
		answer = "under_way"
	case n < 88:
		w.halt(e.name)
		answer = "late"
	default: // is carried out late
		w.copying[e.name] = false
		w.say("order at %s to %s: late %v", e.name, to, late)
		w.mu.Unlock()
		go func() {
			time.Sleep(late)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.say("late order at %s: %v", e.name, w.halt(e.name))
		}()
		if n%2 == 0 {
			<-gone
		}
		return
	}
	w.say("order at %s to %s: %d %q", e.name, to, n, answer)
	w.mu.Unlock()
	if answer == "late" {
		w.mu.Lock()
		w.copying[e.name] = false
		w.mu.Unlock()
		time.Sleep(1100 * time.Millisecond)
		answer = "failed"
	}
	if answer != "" {
		writeAnswer(o, q, 200, "", answer)
	}
}

func (w *stopWorld) run(e *worldEndpoint, o io.Writer, q *http.Request, gone <-chan struct{}) {
	last, handle := 0, q.Header.Get("Handle")
	_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
	w.mu.Lock()
	if e.refuses > 0 {
		e.refuses--
		if h := w.handles[handle]; h != nil {
			h.used = true
		}
		w.say("%s refuses %d %s", e.name, last, handle)
		w.mu.Unlock()
		writeAnswer(o, q, 503, "Not-Run: 1\r\n", "")
		return
	}
	if handle != "" {
		h := w.handles[handle]
		if h == nil || h.used || h.freed || h.target != e.name && h.source != e.name {
			w.say("%s does not know %s", e.name, handle)
			w.mu.Unlock()
			writeAnswer(o, q, 503, "Not-Run: 1\r\n", "")
			return
		}
		h.used = true
	}
	for at := range w.active {
		if w.overlap += " " + at + "+" + e.name; at == e.name {
			w.halt(at) // replaced
		}
	}
	r := &worldRun{at: e.name, stop: make(chan struct{}), created: last}
	w.active[e.name] = r
	w.say("%s runs after %d %s", e.name, last, handle)
	cutAt, pauseAt := e.cutAt, e.pauseAt
	w.mu.Unlock()
	b := newBuffered(o)
	defer b.close()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[e.name] == r {
			delete(w.active, e.name)
		}
	}()
	event := func(i int) string {
		d := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
		if i == w.total {
			d = fmt.Sprintf("id: %d\ndata: end\n\n", i)
		}
		if i == e.noIDAt {
			_, d, _ = strings.Cut(d, "\n")
		}
		return d
	}
	wait := e.first
	head := func() {
		framing := ""
		switch e.framing {
		case "chunks":
			framing = "Transfer-Encoding: chunked\r\n"
		case "length":
			size := 0
			for i := last + 1; i <= w.total; i++ {
				size += len(event(i))
			}
			framing = fmt.Sprintf("Content-Length: %d\r\n", size)
		}
		fmt.Fprintf(b, "HTTP/1.1 200 X\r\nId: %s\r\nConnection: close\r\nContent-Type: text/event-stream\r\n%s\r\n", q.Header.Get("Id"), framing)
	}
	for i := last + 1; i <= w.total; i++ {
		if i == pauseAt {
			wait += e.pause
		}
		select {
		case <-r.stop:
			return
		case <-gone:
			return
		case <-time.After(wait):
		}
		if i == last+1 {
			head()
		}
		if i == cutAt {
			w.mu.Lock()
			w.say("%s cuts before %d", e.name, i)
			w.mu.Unlock()
			if e.framing != "chunks" {
				fmt.Fprint(b, "id: 7\nda")
			}
			return
		}
		if d := event(i); e.framing == "chunks" {
			fmt.Fprintf(b, "%x\r\n%s\r\n", len(d), d)
		} else {
			fmt.Fprint(b, d)
		}
		w.mu.Lock()
		r.created = i
		w.mu.Unlock()
		wait = e.gap
	}
	if last >= w.total {
		head()
	}
	if e.framing == "chunks" {
		writeEnd(b)
	}
	w.mu.Lock()
	w.say("%s ends", e.name)
	w.mu.Unlock()
}

// Random endpoints that run one request, some of which drain, with orders that are lost, late, carried out late or answered without a handle,
// with framing, callers who are slow, leave or have taken the stream up, and destinations that refuse or break: STOP_SEEDS seeds from
// STOP_FROM on, or a few. No part may end as complete, and no request may run at two places where it runs once.
func TestRandomStops(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("STOP_SEEDS"))
	from, _ := strconv.Atoi(os.Getenv("STOP_FROM"))
	found, counts := map[string][]int{}, map[string]int{}
	for seed := from; seed < from+cmp.Or(n, 300); seed++ {
		var bad []string
		synctest.Test(t, func(t *testing.T) { bad = playStops(t, uint64(seed), counts) })
		for _, b := range bad {
			found[b] = append(found[b], seed)
		}
	}
	t.Log(counts)
	for k, v := range found {
		t.Errorf("%s: %d seeds, first %v", k, len(v), v[:min(len(v), 8)])
	}
}

func playStops(t *testing.T, seed uint64, counts map[string]int) (bad []string) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	route := []string{"stream 2", "stream resumable 1", "stream resumable 2", "stream resumable 4"}[rnd.IntN(4)]
	s := newPipeScript(t, strings.Fields(route)...)
	w := &stopWorld{
		rnd: rand.New(rand.NewPCG(seed, 8)), total: 1 + rnd.IntN(10), active: map[string]*worldRun{}, handles: map[string]*worldHandle{}, copying: map[string]bool{}, began: time.Now(),
		sound: rnd.IntN(5) == 0,
	}
	if rnd.IntN(3) == 0 {
		s.f.Budget = settledBudget(budget.Limits{Slack: float64(rnd.IntN(4)), Window: time.Minute})
	}
	if rnd.IntN(4) == 0 {
		for i := range 16 {
			s.f.EndMarks.Record("s", []string{"a", "b"}[i%2], endmark.HashOf([]byte("data: end\n\n")))
		}
	}
	ms := func(n int) time.Duration { return time.Duration(rnd.IntN(n)+1) * time.Millisecond }
	s.f.Codec, s.f.Moves = handleCodec{}, worldMoves{w}
	names := []string{"a", "b", "c", "d"}[:2+rnd.IntN(3)]
	es := map[string]*worldEndpoint{}
	for _, n := range names {
		e := &worldEndpoint{name: n, framing: []string{"", "", "chunks", "length"}[rnd.IntN(4)], first: ms(60), gap: ms(150)}
		if rnd.IntN(4) == 0 {
			e.refuses = 1 + rnd.IntN(2)
		}
		if rnd.IntN(6) == 0 && n != "a" || rnd.IntN(10) == 0 {
			e.cutAt = 1 + rnd.IntN(w.total)
		}
		if rnd.IntN(4) == 0 {
			e.pauseAt, e.pause = 1+rnd.IntN(w.total), ms(3000)
		}
		if rnd.IntN(15) == 0 {
			e.noIDAt = 1 + rnd.IntN(w.total)
		}
		es[n] = e
	}
	es["a"].refuses = 0
	s.add("a", w.serve(es["a"]))
	go func() {
		time.Sleep(5 * time.Millisecond)
		for _, n := range names[1:] {
			s.add(n, w.serve(es[n]))
		}
	}()
	for i, n := range names {
		if i > 0 && rnd.IntN(3) > 0 {
			continue
		}
		at, period, hidden := 6*time.Millisecond+ms(900), ms(900), rnd.IntN(3) == 0
		returns, back := rnd.IntN(3) == 0, ms(800)
		go func() {
			time.Sleep(at)
			e := endpoint.Endpoint{ID: n, Service: "s", Slots: 4, Version: "v1", Address: n, Draining: true, DrainPeriod: period}
			if !hidden {
				s.f.Roster.Put(e)
			}
			s.f.MoveAway(e)
			if returns {
				time.Sleep(back)
				e.Draining = false
				s.f.Roster.Put(e)
			}
		}()
	}
	c, cancel := context.WithCancel(t.Context())
	defer cancel()
	leaves := rnd.IntN(8) == 0
	if leaves {
		time.AfterFunc(ms(2500), cancel)
	}
	var sink forward.Sink
	var rec *recorder
	if rnd.IntN(3) == 0 {
		x := &slowRecorder{delay: ms(400), began: time.Now()}
		sink, rec = x, &x.recorder
	} else {
		x := &lockedSink{}
		sink, rec = x, &x.recorder
	}
	cl := &call.Call{ID: "1", Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body"), Arrived: boottime.Now()}
	after := 0
	q := forward.Request{
		Call: cl, Route: &s.route, Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(12 * time.Second),
		Service: &catalog.Service{Name: "s", HealthPath: healthPath, Engine: &catalog.Engine{
			KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000, BackupTTL: 5 * time.Second,
		}},
	}
	if strings.Contains(route, "resumable") && w.total > 2 && rnd.IntN(4) == 0 {
		after = 1 + rnd.IntN(w.total-1)
		cl.LastEventID, q.Version = strconv.Itoa(after), "v1"
	}
	q.Content = requesthash.HashOf("a", cl)
	began := time.Now()
	_, err := s.f.Do(c, q, sink)
	took := time.Since(began)
	time.Sleep(30 * time.Second)
	s.f.Pool.Sweep()
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	got, want := rec.body, ""
	data := ""
	for l := range strings.SplitSeq(got, "\n") {
		if d, ok := strings.CutPrefix(l, "data: "); ok {
			data += d + " "
		}
	}
	for i := after + 1; i < w.total; i++ {
		want += fmt.Sprint(i, " ")
	}
	want += "end "
	say := func(what string) {
		bad = append(bad, what)
		if os.Getenv("STOP_VERBOSE") != "" {
			t.Logf("seed %d: %s: %s total %d after %d: got %q err %v took %v\n%s", seed, what, route, w.total, after, data, err, took, strings.Join(w.log, "\n"))
			for _, n := range names {
				t.Logf("%+v", *es[n])
			}
		}
	}
	if err == nil && data != want {
		say("complete but not whole")
	}
	if !strings.HasPrefix(want, data) {
		say("events missing, twice or out of order")
	}
	if w.overlap != "" && strings.HasPrefix(route, "stream 2") {
		say("runs at two places on a route that runs once")
	}
	open := 0
	for _, h := range w.handles {
		if !h.used && !h.freed {
			open++
		}
	}
	counts["requests"]++
	if w.orders > 0 {
		counts["ordered"]++
	}
	if w.orders > 0 && err == nil {
		counts["ordered whole"]++
	}
	if err != nil && data == want {
		counts["all events, not whole"]++
	}
	if w.sound && w.orders > 0 {
		counts["sound ordered"]++
		if err == nil {
			counts["sound ordered whole"]++
		}
	}
	counts["handles left"] += open
	counts["handles"] += len(w.handles)
	if u := s.f.Balancer.OwnLoad(); len(u) > 0 {
		say("a place is not released")
	}
	return bad
}
