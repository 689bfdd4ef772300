package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endmark"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/requesthash"
)

// handleCodec is codec with the handle from which a run goes on.
type handleCodec struct{ codec }

func (handleCodec) Head(c *call.Call, a call.Attempt) http.Header {
	h := codec{}.Head(c, a)
	if a.LastEventID == "" && c.LastEventID != "" {
		h.Set("Last-Event", c.LastEventID)
	}
	if a.Handle != "" {
		h.Set("Handle", a.Handle)
	}
	return h
}

// stopAnswers are the answers to orders and copies, by their bodies.
var stopAnswers = map[string]call.Copy{
	"copied":    {Result: call.Copied, Handle: "h1"},
	"stopped":   {Result: call.Copied, Handle: "h2"},
	"kept":      {Result: call.NoRoom, Handle: "h2"},
	"no_run":    {Result: call.NoSuchRun},
	"under_way": {Result: call.CopyUnderWay},
	"failed":    {Result: call.CopyFailed},
}

// stoppable is an endpoint whose runs send some events, and wait then until they are told to stop or may go on.
type stoppable struct {
	framing   string // "chunks" or "length"; empty for none
	lastChunk bool   // the chunks of a stopped run end with a last one
	kind      string // content type; that of a stream if it is empty
	lateHead  bool   // the head is sent when the first order has come, and the events before that is carried out
	holds     int    // events before a run waits
	total     int
	data      func(i int) string
	bare      bareEvents
	order     func(n int) string // is called at the n-th order, and returns the answer, or "" for none
	endsAt    int                // number of the run at whose first event the process ends

	mu      sync.Mutex
	orders  int
	runs    []string // the events after which they begin, with the handles
	dead    bool
	ordered chan struct{} // closed when the first order has come
	stop    chan struct{} // closed when runs are to stop
	release chan struct{} // closed when runs may go on to their end
}

func newStoppable() *stoppable {
	return &stoppable{holds: 3, total: 6, data: func(i int) string { return fmt.Sprint("a", i) }}
}

// bareEvents has the numbers of events that are sent without an ID. The IDs of the others count them.
type bareEvents string

func (b bareEvents) has(i int) bool {
	return slices.Contains(strings.Fields(string(b)), strconv.Itoa(i))
}

// after returns the number of the event with an ID; zero if there is none.
func (b bareEvents) after(id string) int {
	n, _ := strconv.Atoi(id)
	i := 0
	for ; n > 0; i++ {
		if !b.has(i + 1) {
			n--
		}
	}
	return i
}

func (b bareEvents) event(i int, data string) string {
	if b.has(i) {
		return fmt.Sprintf("data: %s\n\n", data)
	}
	id := i
	for j := 1; j < i; j++ {
		if b.has(j) {
			id--
		}
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

func (a *stoppable) serve(w io.Writer, q *http.Request, gone <-chan struct{}) {
	switch {
	case q.URL.Path == healthPath:
		a.mu.Lock()
		isDead := a.dead
		a.mu.Unlock()
		if !isDead {
			writeAnswer(w, q, 200, "", "")
		}
	case q.URL.Path == "/copy" && strings.Contains(q.URL.RawQuery, "last=true"):
		a.mu.Lock()
		a.orders++
		n := a.orders
		a.mu.Unlock()
		if n == 1 {
			close(a.ordered)
		}
		if a.lateHead && n == 1 {
			time.Sleep(time.Millisecond)
		}
		if s := a.order(n); s != "" {
			writeAnswer(w, q, 200, "", s)
		}
	case q.URL.Path == "/copy":
		select {
		case <-a.stop:
			writeAnswer(w, q, 200, "", "no_run")
		case <-a.release:
			writeAnswer(w, q, 200, "", "no_run")
		default:
			writeAnswer(w, q, 200, "", "copied")
		}
	case q.URL.Path != "/x":
		writeAnswer(w, q, 200, "", "")
	default:
		a.run(w, q, gone)
	}
}

func (a *stoppable) run(w io.Writer, q *http.Request, gone <-chan struct{}) {
	last := a.bare.after(q.Header.Get("Last-Event"))
	a.mu.Lock()
	a.runs = append(a.runs, strings.TrimSpace(q.Header.Get("Last-Event")+" "+q.Header.Get("Handle")))
	n := len(a.runs)
	a.mu.Unlock()
	if a.lateHead {
		select {
		case <-a.ordered:
		case <-gone:
			return
		}
	}
	event := func(i int) string { return a.bare.event(i, a.data(i)) }
	kind, framing := "text/event-stream", ""
	if a.kind != "" {
		kind = a.kind
	}
	switch a.framing {
	case "chunks":
		framing = "Transfer-Encoding: chunked\r\n"
	case "length":
		size := 0
		for i := last + 1; i <= a.total; i++ {
			size += len(event(i))
		}
		framing = fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nConnection: close\r\nContent-Type: %s\r\n%s\r\n", q.Header.Get("Id"), kind, framing)
	for i := last + 1; i <= a.total; i++ {
		if i == last+a.holds+1 {
			select {
			case <-a.stop:
				if a.lastChunk {
					writeEnd(w)
				}
				return
			case <-a.release:
			case <-gone:
				return
			}
		}
		if e := event(i); a.framing == "chunks" {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		} else {
			fmt.Fprint(w, e)
		}
		if n == a.endsAt {
			a.mu.Lock()
			a.dead = true
			a.mu.Unlock()
			return
		}
	}
	if a.framing == "chunks" {
		writeEnd(w)
	}
}

// stopTest is a request at an endpoint that drains.
type stopTest struct {
	route   string
	a       *stoppable
	b       func(w io.Writer, q *http.Request, gone <-chan struct{}) // the destination
	sink    forward.Sink
	after   string        // the event after which the caller takes up the stream
	period  time.Duration // that a has left
	mark    string        // the event with which the streams of the service are known to end
	hidden  bool          // a's record does not say that it drains: the box was told in an answer
	took    time.Duration
	arrange func(s *pipeScript) // is called before the request
	early   bool                // moves begin at the notice, since copies take long
}

// play makes the request on a fake clock, and returns its error and the events that the caller got.
func (v *stopTest) play(t *testing.T) (events string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if v.sink == nil {
			v.sink = &lockedSink{}
		}
		err = v.run(t)
	})
	if r, ok := v.sink.(interface{ events() string }); ok {
		events = r.events()
	}
	t.Log("events", events, "error", kindOf(err), "took", v.took, "orders", v.a.orders, "runs", strings.Join(v.a.runs, ", "))
	return events, err
}

// run makes the request, and returns its error. It must be called in a bubble of package synctest.
func (v *stopTest) run(t *testing.T) error {
	s := newPipeScript(t, strings.Fields(v.route)...)
	v.a.ordered, v.a.stop, v.a.release = make(chan struct{}), make(chan struct{}), make(chan struct{})
	n := 0
	s.f.Codec, s.f.Moves = handleCodec{}, fakeMoves{n: &n, decode: func(_ int, answer string) call.Copy { return stopAnswers[answer] }}
	s.add("a", v.a.serve)
	for i := range 16 {
		if v.mark != "" {
			s.f.EndMarks.Record("s", []string{"a", "b"}[i%2], endmark.HashOf([]byte(v.mark)))
		}
	}
	if v.period == 0 {
		v.period = 400 * time.Millisecond
	}
	if v.arrange != nil {
		v.arrange(s)
	}
	go func() {
		time.Sleep(25 * time.Millisecond)
		if v.b != nil {
			s.add("b", v.b)
		}
		e := endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", Draining: true, DrainPeriod: v.period}
		if !v.hidden {
			s.f.Roster.Put(e)
		}
		s.f.MoveAway(e)
	}()
	c := &call.Call{ID: "1", Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body"), Arrived: boottime.Now(), LastEventID: v.after}
	q := forward.Request{
		Call: c, Route: &s.route, Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(20 * time.Second), Content: requesthash.HashOf("a", c),
		Service: &catalog.Service{Name: "s", HealthPath: healthPath, Engine: &catalog.Engine{
			KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000, BackupTTL: 5 * time.Second,
		}},
	}
	if v.after != "" {
		q.Version = "v1"
	}
	if v.early {
		q.Service.Engine.LinkBytesPerSecond = 1
	}
	began := time.Now()
	_, err := s.f.Do(t.Context(), q, v.sink)
	v.took = time.Since(began)
	time.Sleep(30 * time.Second) // until nothing looks after the draining endpoint any more
	s.f.Pool.Sweep()
	synctest.Wait()
	return err
}

// refuse is a destination that accepts no run.
func refuse(w io.Writer, q *http.Request, _ <-chan struct{}) {
	writeAnswer(w, q, 503, "Not-Run: 1\r\n", "")
}

// destination continues runs up to an event, with the events of a stoppable endpoint. It accepts any handle if that is empty.
type destination struct {
	total  int
	handle string
	data   func(i int) string
	bare   bareEvents
	runs   []string // the events after which they begin, with the handles
}

func (d *destination) serve(w io.Writer, q *http.Request, gone <-chan struct{}) {
	last, handle := d.bare.after(q.Header.Get("Last-Event")), q.Header.Get("Handle")
	if q.URL.Path == "/x" {
		d.runs = append(d.runs, strings.TrimSpace(q.Header.Get("Last-Event")+" "+handle))
	}
	switch {
	case q.URL.Path != "/x":
		writeAnswer(w, q, 200, "", "")
	case handle != "" && d.handle != "" && handle != d.handle:
		refuse(w, q, gone)
	default:
		time.Sleep(10 * time.Millisecond)
		writeHead(w, q)
		for i := last + 1; i <= d.total; i++ {
			e := d.bare.event(i, d.data(i))
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		writeEnd(w)
	}
}
