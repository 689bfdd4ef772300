package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/load"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/stand/answer"
)

// httpClient is the client of all calls. It never retries a request.
var httpClient = load.NewHTTP()

// call is one request of a script and its outcome, as the caller sees it.
type call struct {
	name       string
	fields     map[string]string
	want       string
	done       chan struct{}
	held       chan struct{} // closed by release; nil for a body that is sent at once
	id         string
	status     int
	retryAfter string

	mu           sync.Mutex
	text         string
	received     int
	complete     bool
	failure      openai.ErrorBody
	transportErr error
}

// send NAME box=B chat=MODEL tokens=N prompt=P | box=B service=S method=M path=P
//
// and key=K ticket=T repeatable=no|yes deadline=D kind=K account=KEY retries=yes
//
// With hold=yes the last byte of the body is sent after release, and with hold=chunks the body has no length as well.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args[1:])
	k := &call{name: args[0], fields: m, done: make(chan struct{})}
	r := k.newRequest(ts, w)
	w.calls[k.name] = k
	go k.run(r)
}

// newRequest builds the request and sets the expected answer.
func (c *call) newRequest(ts *testscript.TestScript, w *environment) *http.Request {
	p, err := w.Get(c.fields["box"])
	ts.Check(err)
	method, url, body := http.MethodPost, "http://"+p.Address+"/v1/chat/completions", ""
	if s := c.fields["service"]; s != "" {
		method, body = valueOr(c.fields, "method", http.MethodGet), c.fields["body"]
		url = "http://" + p.Address + "/services/" + s + c.fields["path"]
		c.want = answer.Service(s, method, c.fields["path"], body)
	} else {
		body = c.chatBody(ts, w)
	}
	r, err := http.NewRequestWithContext(w.c, method, url, strings.NewReader(body))
	ts.Check(err)
	c.setHeaders(w, r)
	if c.fields["hold"] != "" {
		c.held = make(chan struct{})
		r.Body = io.NopCloser(&heldBody{first: body[:len(body)-1], last: body[len(body)-1:], released: c.held, ended: w.c.Done()})
		r.GetBody = nil
		if c.fields["hold"] == "chunks" {
			r.ContentLength = -1
		}
	}
	return r
}

// heldBody is a body whose last byte is sent after it was released.
type heldBody struct {
	first, last     string
	released, ended <-chan struct{}
}

// Read returns what may be sent.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.first != "" {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.last == "" {
		return 0, io.EOF
	}
	select {
	case <-b.released:
	case <-b.ended:
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, b.last)
	b.last = b.last[n:]
	return n, nil
}

// release NAME: sends the rest of the body of a call with hold
func cmdRelease(ts *testscript.TestScript, _ bool, args []string) { close(callOf(ts, args[0]).held) }

func (c *call) chatBody(ts *testscript.TestScript, w *environment) string {
	n := parseInt(ts, valueOr(c.fields, "tokens", "16"))
	q := openai.ChatRequest{Model: c.fields["chat"], MaxTokens: n, Stream: true, Messages: []openai.Message{
		{Role: "user", Content: openai.Content(valueOr(c.fields, "prompt", c.name))},
	}}
	f, _ := w.document.Resolve(q.Model)
	c.want = answer.Text(f, q.Prompt(), n)
	b, err := json.Marshal(q)
	ts.Check(err)
	return string(b)
}

func (c *call) setHeaders(w *environment, r *http.Request) {
	r.Header.Set("Authorization", "Bearer "+valueOr(c.fields, "account", w.document.Accounts[0].Key))
	for f, h := range map[string]string{
		"key": front.KeyHeader, "ticket": front.TicketHeader, "repeatable": front.RepeatableHeader,
		"deadline": front.DeadlineHeader, "kind": front.KindHeader,
	} {
		if v := c.fields[f]; v != "" {
			r.Header.Set(h, v)
		}
	}
}

// run sends the request. With retries=yes it follows Retry-After for as long as the request is refused
// as not run.
func (c *call) run(r *http.Request) {
	defer close(c.done)
	for {
		c.sendOnce(r)
		n, err := strconv.Atoi(c.retryAfter)
		if c.fields["retries"] != "yes" || err != nil || c.failure.Run != "not_run" {
			return
		}
		<-time.After(time.Duration(n) * time.Second)
		r = r.Clone(r.Context())
		r.Body, _ = r.GetBody()
		c.update(func() { c.id, c.retryAfter, c.failure = "", "", openai.ErrorBody{} })
	}
}

// sendOnce sends the request and reads its answer.
func (c *call) sendOnce(r *http.Request) {
	a, err := httpClient.Do(r)
	if err != nil {
		c.update(func() { c.transportErr = err })
		return
	}
	defer a.Body.Close()
	c.update(func() {
		c.status, c.retryAfter = a.StatusCode, a.Header.Get("Retry-After")
		if c.id == "" {
			c.id = a.Header.Get(front.RequestIDHeader)
		}
	})
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		c.readEvents(a.Body)
		return
	}
	b, err := io.ReadAll(a.Body)
	c.update(func() { c.setAnswer(a, b, err) })
}

// update calls f with the lock held.
func (c *call) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// setAnswer records an answer that is not an event stream.
func (c *call) setAnswer(a *http.Response, b []byte, err error) {
	var e openai.Error
	switch {
	case err != nil:
		c.transportErr = err
	case a.StatusCode == http.StatusOK:
		c.text, c.complete = string(b), true
	case json.NewDecoder(bytes.NewReader(b)).Decode(&e) != nil:
		c.transportErr = fmt.Errorf("status %d: %s", a.StatusCode, b)
	default:
		c.failure = e.Error
	}
}

// readEvents records the tokens and the end of an event stream.
func (c *call) readEvents(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		d, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		var e openai.Error
		var v openai.Completion
		c.update(func() {
			switch {
			case d == "[DONE]":
				c.complete = true
			case json.Unmarshal([]byte(d), &e) == nil && e.Error.Type != "":
				c.failure = e.Error
			case json.Unmarshal([]byte(d), &v) == nil && len(v.Choices) > 0 && v.Choices[0].Delta.Content != "":
				c.text += v.Choices[0].Delta.Content
				c.received++
			}
		})
	}
	c.update(func() {
		if !c.complete && c.failure.Type == "" {
			c.transportErr = io.ErrUnexpectedEOF
		}
	})
}

func (c *call) tokenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

func callOf(ts *testscript.TestScript, name string) *call {
	k, ok := environmentOf(ts).calls[name]
	if !ok {
		ts.Fatalf("unknown call %q", name)
	}
	return k
}

// tokens NAME N: waits until the caller has received N tokens
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	k, n := callOf(ts, args[0]), parseInt(ts, args[1])
	waitUntil(ts, "tokens of "+k.name, func() bool {
		select {
		case <-k.done:
			return true
		default:
			return k.tokenCount() >= n
		}
	})
	if k.tokenCount() < n {
		ts.Fatalf("%s ended with %d tokens: %s", k.name, k.tokenCount(), k.outcome())
	}
}

// outcome returns the outcome of the call in the words of the end command.
func (c *call) outcome() string {
	switch {
	case c.complete:
		return "answered"
	case c.failure.Type != "":
		return c.failure.Type + " " + c.failure.Run
	case c.transportErr != nil:
		return "cut: " + c.transportErr.Error()
	default:
		return "nothing"
	}
}

// end NAME answered | end NAME KIND [RUN] | end NAME cut
//
// It waits for the end of the call. A complete answer must be the expected one, and a refusal as not
// run with status 429 or 503 must have a Retry-After header.
func cmdEnd(ts *testscript.TestScript, neg bool, args []string) {
	k := callOf(ts, args[0])
	select {
	case <-k.done:
	case <-time.After(time.Minute):
		ts.Fatalf("%s has not ended within a minute", k.name)
	}
	outcome := k.outcome()
	ok := outcome == strings.Join(args[1:], " ") || len(args) == 2 && strings.HasPrefix(outcome, args[1])
	if ok == neg {
		ts.Fatalf("%s ended with %s (%s)", k.name, outcome, k.failure.Message)
	}
	if k.complete && k.text != k.want {
		ts.Fatalf("%s: wrong or incomplete answer: got %q, want %q", k.name, k.text, k.want)
	}
	retryable := k.status == http.StatusTooManyRequests || k.status == http.StatusServiceUnavailable
	if k.failure.Run == "not_run" && retryable && k.retryAfter == "" {
		ts.Fatalf("%s was refused without a Retry-After", k.name)
	}
}

// resume NAME box=B: reads the remaining tokens of a call from another box
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	w, o, m := environmentOf(ts), callOf(ts, args[0]), parseFields(ts, args[1:])
	<-o.done
	p, err := w.Get(m["box"])
	ts.Check(err)
	k := &call{name: o.name, fields: o.fields, want: o.want, done: make(chan struct{}), id: o.id, text: o.text, received: o.received}
	u := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", p.Address, o.id, o.received)
	r, err := http.NewRequestWithContext(w.c, http.MethodGet, u, nil)
	ts.Check(err)
	k.setHeaders(w, r)
	r.Header.Del(front.KeyHeader)
	r.Header.Del(front.TicketHeader)
	w.calls[k.name] = k
	go k.run(r)
}

// ticket NAME box=B: sets the variable NAME to a new ticket
func cmdTicket(ts *testscript.TestScript, _ bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args[1:])
	p, err := w.Get(m["box"])
	ts.Check(err)
	r, err := http.NewRequestWithContext(w.c, http.MethodPost, "http://"+p.Address+"/v1/tickets", nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+w.document.Accounts[0].Key)
	a, err := httpClient.Do(r)
	ts.Check(err)
	defer a.Body.Close()
	var v struct{ Tickets []string }
	ts.Check(json.NewDecoder(a.Body).Decode(&v))
	ts.Setenv(args[0], v.Tickets[0])
}
