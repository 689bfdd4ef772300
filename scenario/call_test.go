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

// callers is the HTTP client of all calls; it never repeats a request.
var callers = load.NewHTTP()

// call is one request of a script, as its caller sees it.
type call struct {
	name   string
	m      map[string]string
	want   string
	done   chan struct{}
	id     string
	status int
	after  string

	mu    sync.Mutex
	text  string
	next  int
	ended bool
	fail  openai.ErrorBody
	cut   error
}

// send NAME box=B chat=MODEL tokens=N prompt=P | box=B service=S method=M path=P
//
// and key=K ticket=T repeatable=no|yes deadline=D kind=K account=KEY retries=yes
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	w, m := worldOf(ts), fields(ts, args[1:])
	k := &call{name: args[0], m: m, done: make(chan struct{})}
	r := k.request(ts, w)
	w.calls[k.name] = k
	go k.run(r)
}

func (k *call) request(ts *testscript.TestScript, w *world) *http.Request {
	p, err := w.Get(k.m["box"])
	ts.Check(err)
	method, url, body := http.MethodPost, "http://"+p.Address+"/v1/chat/completions", ""
	if s := k.m["service"]; s != "" {
		method, body = get(k.m, "method", http.MethodGet), k.m["body"]
		url = "http://" + p.Address + "/services/" + s + k.m["path"]
		k.want = answer.Service(s, method, k.m["path"], body)
	} else {
		body = k.chat(ts, w)
	}
	r, err := http.NewRequestWithContext(w.c, method, url, strings.NewReader(body))
	ts.Check(err)
	k.headers(w, r)
	return r
}

func (k *call) chat(ts *testscript.TestScript, w *world) string {
	n := number(ts, get(k.m, "tokens", "16"))
	q := openai.ChatRequest{Model: k.m["chat"], MaxTokens: n, Stream: true, Messages: []openai.Message{
		{Role: "user", Content: openai.Content(get(k.m, "prompt", k.name))},
	}}
	f, _ := w.document.Resolve(q.Model)
	k.want = answer.Text(f, q.Prompt(), n)
	b, err := json.Marshal(q)
	ts.Check(err)
	return string(b)
}

func (k *call) headers(w *world, r *http.Request) {
	r.Header.Set("Authorization", "Bearer "+get(k.m, "account", w.document.Accounts[0].Key))
	for f, h := range map[string]string{
		"key": front.KeyHeader, "ticket": front.TicketHeader, "repeatable": front.RepeatableHeader,
		"deadline": front.DeadlineHeader, "kind": front.KindHeader,
	} {
		if v := k.m[f]; v != "" {
			r.Header.Set(h, v)
		}
	}
}

// run sends the request. With retries=yes it comes back when it is told to.
func (k *call) run(r *http.Request) {
	defer close(k.done)
	for {
		k.once(r)
		n, err := strconv.Atoi(k.after)
		if k.m["retries"] != "yes" || err != nil || k.fail.Run != "not_run" {
			return
		}
		<-time.After(time.Duration(n) * time.Second)
		r = r.Clone(r.Context())
		r.Body, _ = r.GetBody()
		k.set(func() { k.id, k.after, k.fail = "", "", openai.ErrorBody{} })
	}
}

func (k *call) once(r *http.Request) {
	a, err := callers.Do(r)
	if err != nil {
		k.set(func() { k.cut = err })
		return
	}
	defer a.Body.Close()
	k.set(func() {
		k.status, k.after = a.StatusCode, a.Header.Get("Retry-After")
		if k.id == "" {
			k.id = a.Header.Get(front.RequestIDHeader)
		}
	})
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		k.events(a.Body)
		return
	}
	b, err := io.ReadAll(a.Body)
	k.set(func() { k.whole(a, b, err) })
}

func (k *call) set(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

func (k *call) whole(a *http.Response, b []byte, err error) {
	var e openai.Error
	switch {
	case err != nil:
		k.cut = err
	case a.StatusCode == http.StatusOK:
		k.text, k.ended = string(b), true
	case json.NewDecoder(bytes.NewReader(b)).Decode(&e) != nil:
		k.cut = fmt.Errorf("status %d: %s", a.StatusCode, b)
	default:
		k.fail = e.Error
	}
}

func (k *call) events(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		d, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		var e openai.Error
		var v openai.Completion
		k.set(func() {
			switch {
			case d == "[DONE]":
				k.ended = true
			case json.Unmarshal([]byte(d), &e) == nil && e.Error.Type != "":
				k.fail = e.Error
			case json.Unmarshal([]byte(d), &v) == nil && len(v.Choices) > 0 && v.Choices[0].Delta.Content != "":
				k.text += v.Choices[0].Delta.Content
				k.next++
			}
		})
	}
	k.set(func() {
		if !k.ended && k.fail.Type == "" {
			k.cut = io.ErrUnexpectedEOF
		}
	})
}

func (k *call) tokens() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.next
}

func callOf(ts *testscript.TestScript, name string) *call {
	k, ok := worldOf(ts).calls[name]
	if !ok {
		ts.Fatalf("no call %q", name)
	}
	return k
}

// tokens NAME N: waits until the caller has N tokens.
func cmdTokens(ts *testscript.TestScript, _ bool, args []string) {
	k, n := callOf(ts, args[0]), number(ts, args[1])
	until(ts, "tokens of "+k.name, func() bool {
		select {
		case <-k.done:
			return true
		default:
			return k.tokens() >= n
		}
	})
	if k.tokens() < n {
		ts.Fatalf("%s ended with %d tokens: %s", k.name, k.tokens(), k.say())
	}
}

func (k *call) say() string {
	switch {
	case k.ended:
		return "answered"
	case k.fail.Type != "":
		return k.fail.Type + " " + k.fail.Run
	case k.cut != nil:
		return "cut: " + k.cut.Error()
	default:
		return "nothing"
	}
}

// end NAME answered | end NAME KIND [RUN] | end NAME cut
func cmdEnd(ts *testscript.TestScript, neg bool, args []string) {
	k := callOf(ts, args[0])
	select {
	case <-k.done:
	case <-time.After(time.Minute):
		ts.Fatalf("%s does not end", k.name)
	}
	said := k.say()
	ok := said == strings.Join(args[1:], " ") || len(args) == 2 && strings.HasPrefix(said, args[1])
	if ok == neg {
		ts.Fatalf("%s ended with %s (%s)", k.name, said, k.fail.Message)
	}
	if k.ended && k.text != k.want {
		ts.Fatalf("%s: the answer is not its own or not whole: %q in place of %q", k.name, k.text, k.want)
	}
	backLater := k.status == http.StatusTooManyRequests || k.status == http.StatusServiceUnavailable
	if k.fail.Run == "not_run" && backLater && k.after == "" {
		ts.Fatalf("%s was refused without a Retry-After", k.name)
	}
}

// resume NAME box=B: reads the rest of a call at another box.
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	w, o, m := worldOf(ts), callOf(ts, args[0]), fields(ts, args[1:])
	<-o.done
	p, err := w.Get(m["box"])
	ts.Check(err)
	k := &call{name: o.name, m: o.m, want: o.want, done: make(chan struct{}), id: o.id, text: o.text, next: o.next}
	u := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", p.Address, o.id, o.next)
	r, err := http.NewRequestWithContext(w.c, http.MethodGet, u, nil)
	ts.Check(err)
	k.headers(w, r)
	r.Header.Del(front.KeyHeader)
	r.Header.Del(front.TicketHeader)
	w.calls[k.name] = k
	go k.run(r)
}

// ticket NAME box=B: gets a ticket into the variable NAME.
func cmdTicket(ts *testscript.TestScript, _ bool, args []string) {
	w, m := worldOf(ts), fields(ts, args[1:])
	p, err := w.Get(m["box"])
	ts.Check(err)
	r, err := http.NewRequestWithContext(w.c, http.MethodPost, "http://"+p.Address+"/v1/tickets", nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+w.document.Accounts[0].Key)
	a, err := callers.Do(r)
	ts.Check(err)
	defer a.Body.Close()
	var v struct{ Tickets []string }
	ts.Check(json.NewDecoder(a.Body).Decode(&v))
	ts.Setenv(args[0], v.Tickets[0])
}
