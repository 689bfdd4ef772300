package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/stand/answer"
	"birchlink.dev/birchlink/wait"
)

// maxSends bounds how often a request is sent before the client gives up.
const maxSends = 12

// Outcome is what became of a request. Wrong says how an answer broke a
// promise; Refusals lists the kinds of refusals on the way.
type Outcome struct {
	Spec     Spec
	ID       string
	IDs      []string
	Answered bool
	First    time.Duration
	Whole    time.Duration
	Between  time.Duration
	Sends    int
	Resumes  int
	Refusals []string
	Last     string
	Wrong    string
}

// Client sends requests to the entry boxes that are ready, as the platform's
// balancer would.
type Client struct {
	Balancer *Balancer
	HTTP     *http.Client
	Resolve  func(model string) string
}

// reply is one answer to one send.
type reply struct {
	status  int
	fail    openai.ErrorBody
	after   time.Duration
	text    string
	next    int
	ended   bool
	first   time.Time
	broken  error
	request string
}

// Send carries a request to its end: it comes back when told to, resumes when
// told to, and sends a guarded request again when its outcome is not known.
func (c *Client) Send(x context.Context, s Spec) Outcome {
	o := Outcome{Spec: s}
	x, cancel := context.WithTimeout(x, s.Deadline)
	defer cancel()
	began := time.Now()
	guard := c.guard(x, s)
	var got reply
	for o.Sends < maxSends && x.Err() == nil {
		o.Sends++
		got = c.once(x, s, guard)
		if got.request != "" {
			o.IDs = append(o.IDs, got.request)
		}
		if got.fail.Run == "ran" && got.fail.Type == "moved" || got.broken != nil && got.next > 0 && s.Model != "" {
			got = c.resume(x, s, got, &o)
		}
		if got.ended || !c.again(x, s, got, &o) {
			break
		}
	}
	o.Whole = time.Since(began)
	c.judge(s, got, &o, began)
	return o
}

// guard returns the header that makes the request run at most once.
func (c *Client) guard(x context.Context, s Spec) [2]string {
	switch s.Guard {
	case Key:
		return [2]string{front.KeyHeader, uuid.NewString()}
	case Ticket:
		return [2]string{front.TicketHeader, c.ticket(x, s)}
	case Marked:
		return [2]string{front.RepeatableHeader, "no"}
	default:
		return [2]string{}
	}
}

func (c *Client) ticket(x context.Context, s Spec) string {
	for x.Err() == nil {
		r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+c.Balancer.Next()+"/v1/tickets", nil)
		if err != nil {
			return ""
		}
		r.Header.Set("Authorization", "Bearer "+s.Account)
		a, err := c.HTTP.Do(r)
		if err != nil {
			continue
		}
		var v struct{ Tickets []string }
		err = json.NewDecoder(a.Body).Decode(&v)
		a.Body.Close()
		if err == nil && len(v.Tickets) == 1 {
			return v.Tickets[0]
		}
	}
	return ""
}

func (c *Client) once(x context.Context, s Spec, guard [2]string) reply {
	r, err := c.request(x, s)
	if err != nil {
		return reply{broken: err}
	}
	r.Header.Set("Authorization", "Bearer "+s.Account)
	r.Header.Set(front.KindHeader, s.Kind)
	r.Header.Set(front.MemberHeader, s.Member)
	r.Header.Set(front.MatchHeader, s.Match)
	r.Header.Set(front.DeadlineHeader, left(x).String())
	if guard[0] != "" {
		r.Header.Set(guard[0], guard[1])
	}
	return c.do(r, s, 0)
}

// left is the time that remains, within what the header allows.
func left(x context.Context) time.Duration {
	d, _ := x.Deadline()
	return max(time.Until(d), 100*time.Millisecond)
}

func (c *Client) request(x context.Context, s Spec) (*http.Request, error) {
	base := "http://" + c.Balancer.Next()
	if s.Service != "" {
		return http.NewRequestWithContext(x, s.Method, base+"/services/"+s.Service+s.Path, strings.NewReader(s.Body))
	}
	b, err := json.Marshal(map[string]any{
		"model": s.Model, "max_tokens": s.Tokens, "stream": s.Stream,
		"messages": []map[string]string{{"role": "user", "content": s.Prompt}},
	})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(x, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(b))
}

func (c *Client) do(r *http.Request, s Spec, from int) reply {
	p := reply{next: from}
	a, err := c.HTTP.Do(r)
	if err != nil {
		p.broken = err
		return p
	}
	defer a.Body.Close()
	p.status, p.request = a.StatusCode, a.Header.Get(front.RequestIDHeader)
	if n, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil {
		p.after = time.Duration(n) * time.Second
	}
	if a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		p.events(a.Body)
		return p
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		p.broken = err
		return p
	}
	p.plain(a, b, s)
	return p
}

func (p *reply) plain(a *http.Response, b []byte, s Spec) {
	p.first = time.Now()
	var e openai.Error
	var v openai.Completion
	switch {
	case a.StatusCode != http.StatusOK:
		if json.Unmarshal(b, &e) != nil {
			p.broken = fmt.Errorf("status %d without an error body", a.StatusCode)
		}
		p.fail = e.Error
	case s.Service != "":
		p.text, p.ended = string(b), true
	case json.Unmarshal(b, &v) != nil || len(v.Choices) != 1:
		p.broken = errors.New("not a completion")
	default:
		p.text, p.ended = v.Choices[0].Message.Content, true
	}
}

// events reads server-sent events: their ids are the tokens' indexes.
func (p *reply) events(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		d, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			p.ended = true
			return
		}
		var v openai.Completion
		var e openai.Error
		if json.Unmarshal([]byte(d), &e) == nil && e.Error.Type != "" {
			p.fail = e.Error
			return
		}
		if json.Unmarshal([]byte(d), &v) != nil || len(v.Choices) == 0 || v.Choices[0].Delta == nil {
			continue
		}
		if t := v.Choices[0].Delta.Content; t != "" {
			if p.first.IsZero() {
				p.first = time.Now()
			}
			p.text += t
			p.next++
		}
	}
	p.broken = errors.New("the stream ended without its end")
}

// resume reads the rest of a stream by request id and token index.
func (c *Client) resume(x context.Context, s Spec, p reply, o *Outcome) reply {
	id := p.request
	for x.Err() == nil && !p.ended && o.Resumes < maxSends {
		o.Resumes++
		u := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", c.Balancer.Next(), id, p.next)
		r, err := http.NewRequestWithContext(x, http.MethodGet, u, nil)
		if err != nil {
			return p
		}
		r.Header.Set("Authorization", "Bearer "+s.Account)
		q := c.do(r, s, p.next)
		q.text, q.request, q.first = p.text+q.text, id, p.first
		p = q
		if !p.ended && p.fail.Type != "moved" && p.broken == nil {
			return p
		}
		wait.For(x, 200*time.Millisecond)
	}
	return p
}

// again says whether to send once more, after the time that was asked for.
func (c *Client) again(x context.Context, s Spec, p reply, o *Outcome) bool {
	kind := p.fail.Type
	if p.broken != nil {
		kind = "connection_broken"
	}
	o.Last = kind
	o.Refusals = append(o.Refusals, kind)
	after := p.after
	if after == 0 {
		after = 100 * time.Millisecond
	}
	switch {
	case p.fail.Run == "not_run" && p.after > 0:
	case s.Guard == Free && (p.broken != nil || p.fail.Run != "not_run"):
	case (s.Guard == Key || s.Guard == Ticket) && (p.broken != nil || p.after > 0):
	default:
		return false
	}
	wait.For(x, after)
	return x.Err() == nil
}

// judge compares the answer with the one that the stand-ins give.
func (c *Client) judge(s Spec, p reply, o *Outcome, began time.Time) {
	o.ID = p.request
	if !p.ended {
		return
	}
	o.Answered = true
	o.First = p.first.Sub(began)
	if s.Tokens > 1 {
		o.Between = (o.Whole - o.First) / time.Duration(s.Tokens-1)
	}
	want := ""
	if s.Service != "" {
		path, _, _ := strings.Cut(s.Path, "?")
		want = answer.Service(s.Service, s.Method, path, s.Body)
	} else {
		want = answer.Text(c.Resolve(s.Model), openai.ChatRequest{Messages: []openai.Message{{Role: "user", Content: openai.Content(s.Prompt)}}}.Prompt(), s.Tokens)
	}
	if p.text != want {
		o.Wrong = fmt.Sprintf("answer of %d bytes in place of %d", len(p.text), len(want))
	}
}
