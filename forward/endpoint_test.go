package forward_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
)

// fakeEndpoint is an endpoint that answers each request with the next of its behaviours, and all
// further requests with the last one.
type fakeEndpoint struct {
	t          *testing.T
	name       string
	listener   net.Listener
	behaviours []string
	drain      func()        // marks this endpoint as draining
	lapse      func()        // removes this endpoint's record
	replace    func()        // registers another process under the endpoint's ID
	closed     chan struct{} // receives an item for each connection that the endpoint closed

	mu         sync.Mutex
	checks     int // health checks received
	requests   int // requests received, run or not
	runs       int // requests run
	conns      int
	lastEvents []string // last event ID of each request
	open       []net.Conn
	crashed    bool // the endpoint crashed
}

func newFakeEndpoint(t *testing.T, name string, sequence []string) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return newFakeEndpointAt(t, l, name, sequence)
}

// newFakeEndpointAt returns a fake endpoint that listens with l. If it refuses connections, l is closed.
func newFakeEndpointAt(t *testing.T, l net.Listener, name string, sequence []string) *fakeEndpoint {
	t.Helper()
	f := &fakeEndpoint{t: t, name: name, listener: l, behaviours: sequence, closed: make(chan struct{}, 16)}
	if sequence[0] == "refuse" {
		require.NoError(t, l.Close())
		return f
	}
	t.Cleanup(func() { _ = l.Close() })
	go f.accept()
	return f
}

func (f *fakeEndpoint) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns++
		f.open = append(f.open, c)
		if f.crashed {
			_ = c.Close()
		}
		f.mu.Unlock()
		go f.serve(c)
	}
}

// next records a request and returns the behaviour for it.
func (f *fakeEndpoint) next(last string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.behaviours[0]
	if len(f.behaviours) > 1 {
		f.behaviours = f.behaviours[1:]
	}
	f.requests++
	if kind, _, _ := strings.Cut(b, ":"); !slices.Contains([]string{"shed", "shed_limit", "shed_brittle", "rest", "shed_says_leaving", "shed_unfinished", "elsewhere"}, kind) {
		f.runs++
	}
	f.lastEvents = append(f.lastEvents, last)
	return b
}

func (f *fakeEndpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		f.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		last := q.Header.Get("Last-Event")
		if q.URL.Path == healthPath {
			if !f.check(c, q.Header.Get("Id")) {
				return
			}
			continue
		}
		if !f.answer(c, f.next(last), q.Header.Get("Id"), last) {
			return
		}
	}
}

// healthPath is the path of the health check.
const healthPath = "/health"

// check answers a health check as the last behaviour requires, and reports whether to keep the connection.
func (f *fakeEndpoint) check(c net.Conn, id string) bool {
	f.mu.Lock()
	f.checks++
	b := f.behaviours[0]
	f.mu.Unlock()
	switch _, how, _ := strings.Cut(b, "/"); how {
	case "mute":
		_, _ = io.Copy(io.Discard, c)
		return false
	case "elsewhere": // another process has the address
		fmt.Fprintf(c, "HTTP/1.1 421 Elsewhere\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	case "full":
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case "status000", "status099", "status101", "status600", "status999":
		fmt.Fprint(c, withStatus(strings.TrimPrefix(how, "status"), id, ""))
	case "reset_first": // its connections are used up at first
		f.mu.Lock()
		isFirst := f.checks == 1
		f.mu.Unlock()
		if isFirst {
			reset(c)
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	case "late": // the answer to another request comes in its place
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 0\r\n\r\n")
		return false
	default:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	return true
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// crash closes the listener and all connections, as the end of the endpoint's process does.
func (f *fakeEndpoint) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = true
	_ = f.listener.Close()
	for _, c := range f.open {
		_ = c.Close()
	}
}

// answer performs a behaviour and reports whether to keep the connection.
func (f *fakeEndpoint) answer(c net.Conn, behaviour, id, last string) bool {
	behaviour, _, _ = strings.Cut(behaviour, "/") // the rest is that of the health check
	kind, arg, _ := strings.Cut(behaviour, ":")
	n, _ := strconv.Atoi(arg)
	body := "from " + f.name
	// Send several responses in one write, so that they arrive together.
	whole := func(ids ...string) {
		var b strings.Builder
		for _, id := range ids {
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		fmt.Fprint(c, b.String())
	}
	switch kind {
	case "ok":
		whole(id)
	case "suspend_ok": // suspends the box for some seconds while the response waits to be read
		boottime.SimulateSuspension(time.Duration(n) * time.Second)
		whole(id)
	case "limit": // reports a rate limit
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %s\r\nContent-Length: %d\r\n\r\n%s", id, arg, len(body), body)
	case "brittle": // reports the rate of refusals at which it fails
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nBrittle: %s\r\nContent-Length: %d\r\n\r\n%s", id, arg, len(body), body)
	case "shed_brittle":
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nBrittle: %s\r\nContent-Length: 0\r\n\r\n", id, arg)
	case "shed_limit":
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nLimit: %s\r\nContent-Length: 0\r\n\r\n", id, arg)
	case "stream_limit":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: 1\n\n", id, arg)
		return false
	case "shed":
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case "shed_unfinished": // never sends the body
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nnot ", id)
		_, _ = io.Copy(io.Discard, c)
		return false
	case "rest": // requests a back-off, in milliseconds
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nRest: %s\r\nContent-Length: 0\r\n\r\n", id, arg)
	case "says_leaving":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	case "shed_says_leaving":
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", id)
	case "error_says_leaving":
		fmt.Fprintf(c, "HTTP/1.1 500 Bad\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nbad", id)
	case "elsewhere_says_leaving":
		fmt.Fprintf(c, "HTTP/1.1 421 Elsewhere\r\nId: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", id)
	case "elsewhere":
		fmt.Fprintf(c, "HTTP/1.1 421 Elsewhere\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case "error", "error_leave":
		if kind == "error_leave" {
			f.drain()
		}
		fmt.Fprintf(c, "HTTP/1.1 %d Bad\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad", n, id)
	case "crossed":
		whole("another", id)
	case "foreign":
		whole("another")
		return false
	case "extra":
		whole(id, "another")
	case "unframed":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
		return false
	case "unframed_deaf": // accepts no more connections
		_ = f.listener.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
		return false
	case "unframed_json": // as long as given
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: application/json; charset=utf-8\r\n\r\n%s", id, `{"a": [1, 2]}`[:n])
		return false
	case "unframed_json_gzip":
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, _ = io.WriteString(z, `{"a": [1, 2]}`)
		_ = z.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: application/json\r\nContent-Encoding: gzip\r\n\r\n%s", id, b.Bytes())
		return false
	case "unframed_crash": // the response seems complete
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
		f.crash()
		return false
	case "unframed_reset":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body[:3])
		reset(c)
		return false
	case "short":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\n%s", id, body)
		return false
	case "status": // states much, and has a body that looks like another answer
		fmt.Fprint(c, withStatus(arg, id, ""))
	case "status_bare":
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad", arg, id)
	case "status_stream":
		fmt.Fprint(c, withStatus(arg, id, "Content-Type: text/event-stream\r\n"))
	case "nonsense":
		fmt.Fprint(c, "these bytes are no answer\r\n\r\n")
		return false
	case "head_unfinished":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nX", id)
		_, _ = io.Copy(io.Discard, c)
		return false
	case "late_unfinished": // a late answer to an earlier request
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 9\r\n\r\nlate")
		_, _ = io.Copy(io.Discard, c)
		return false
	case "informational": // announces the answer, then sends it
		fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\n")
		whole(id)
	case "reset":
		reset(c)
		return false
	case "lapse_reset": // the record lapses while the request runs, and the answer is lost
		f.lapse()
		reset(c)
		return false
	case "lapse_crash":
		f.lapse()
		f.crash()
		return false
	case "close":
		return false
	case "close_idle":
		whole(id)
		return false
	case "mute_anew": // the process has ended without closing its connections, and another starts under its ID
		_ = f.listener.Close()
		f.replace()
		_, _ = io.Copy(io.Discard, c)
		return false
	case "leave_reset": // announces its end while the request runs, and the answer is lost
		f.drain()
		reset(c)
		return false
	case "leave_crash":
		f.drain()
		f.crash()
		return false
	case "anew_reset": // its record shows another start while the request runs, and the answer is lost
		f.replace()
		reset(c)
		return false
	case "mute":
		_, _ = io.Copy(io.Discard, c)
		return false
	case "suspend": // suspends the box for some seconds, then resets the connection
		boottime.SimulateSuspension(time.Duration(n) * time.Second)
		reset(c)
		return false
	case "crash":
		f.crash()
		return false
	case "stream_crash":
		// Send the head but no token.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		f.crash()
		return false
	case "unframed_stream", "unframed_torn", "unframed_stream_reset", "unframed_stream_crash":
		return f.unframedStream(c, kind, id, last, n)
	case "events", "unframed_events":
		return f.events(c, kind == "events", id, strings.Split(arg, ","))
	case "stream", "stream_cut", "stream_torn", "stream_leave", "stream_leave_crash", "stream_anew", "stream_says_leaving":
		return f.stream(c, kind, id, last, n)
	default:
		f.t.Errorf("no behaviour %q", behaviour)
	}
	return true
}

// withStatus returns an answer with a status, with all that an endpoint may state of a request and of itself. Its body looks like another
// answer with the given header.
func withStatus(status, id, header string) string {
	event := "id: 1\ndata: forged\n\n"
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(event), event)
	return fmt.Sprintf("HTTP/1.1 %s X\r\nId: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nLimit: 1\r\nBrittle: 1\r\nRest: 60000\r\n%sContent-Length: %d\r\n\r\n%s",
		status, id, header, len(body), body)
}

// stream sends the events after last up to n, and ends the response as kind requires.
func (f *fakeEndpoint) stream(c net.Conn, kind, id, last string, n int) bool {
	if kind == "stream_anew" {
		f.replace()
	}
	leavingHeader := ""
	if kind == "stream_says_leaving" {
		leavingHeader = "Leaving: 1\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, leavingHeader)
	chunk := func(s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }
	from, _ := strconv.Atoi(last)
	for i := from + 1; i <= n; i++ {
		chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
	}
	switch kind {
	case "stream_torn":
		chunk(fmt.Sprintf("id: %d\nda", n+1))
		return false
	case "stream_leave":
		f.drain()
		return false
	case "stream_leave_crash":
		f.drain()
		f.crash()
		return false
	case "stream_cut":
		return false
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// events sends a stream, in chunks or ended by its connection: events with these IDs, an event with the ID 2 and other bytes for x2,
// one without an ID for a dash, a comment for a colon, and the last chunk for "end".
func (f *fakeEndpoint) events(c net.Conn, isChunked bool, id string, words []string) bool {
	framing := ""
	if isChunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nFrom: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", id, f.name, framing)
	for _, w := range words {
		event := fmt.Sprintf("id: %s\ndata: %s\n\n", strings.TrimPrefix(w, "x"), w)
		switch w {
		case "end":
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		case "-":
			event = "data: no ID\n\n"
		case ":":
			event = ": comment\n\n"
		case "ping":
			event = "event: ping\n\n"
		case "head":
			event = "HTTP/1.1 200 OK\nContent-Length: 5\n\n"
		}
		if isChunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(c, event)
	}
	return false
}

// unframedStream sends the events after last up to n as a response that ends with its connection, as kind requires.
func (f *fakeEndpoint) unframedStream(c net.Conn, kind, id, last string, n int) bool {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", id)
	from, _ := strconv.Atoi(last)
	for i := from + 1; i <= n; i++ {
		fmt.Fprintf(c, "id: %d\ndata: %d\n\n", i, i)
	}
	switch kind {
	case "unframed_torn":
		fmt.Fprintf(c, "id: %d\nda", n+1)
	case "unframed_stream_reset":
		reset(c)
	case "unframed_stream_crash":
		f.crash()
	}
	return false
}
