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

// maxSends is the number of times that a request is sent, or a stream resumed, before the client gives
// up.
const maxSends = 12

// Outcome is the result of a request. ID is the last request ID, IDs those of all sends. TimeToFirst
// is the time to the first token or to the body, TotalTime that to the end including retries, and
// TokenInterval the mean time between tokens. Refusals lists the error kinds of the failed sends.
// Mismatch describes how the answer differs from the expected one, if it does.
type Outcome struct {
	Spec          Spec
	ID            string
	IDs           []string
	Answered      bool
	TimeToFirst   time.Duration
	TotalTime     time.Duration
	TokenInterval time.Duration
	Sends         int
	Resumes       int
	Refusals      []string
	LastRefusal   string
	Mismatch      string
}

// Client sends requests to the entry boxes that Balancer selects. ResolveModel returns the workload
// that serves a model name.
type Client struct {
	Balancer     *Balancer
	HTTP         *http.Client
	ResolveModel func(model string) string
}

// reply is the response to one send. If sendErr is set, the response is incomplete or unusable.
type reply struct {
	status     int
	apiError   openai.ErrorBody
	retryAfter time.Duration
	text       string
	nextToken  int
	complete   bool
	firstAt    time.Time
	sendErr    error
	requestID  string
}

// Send sends a request and returns its outcome. It retries after the time that a refusal gives, resumes
// streams that break or move, and sends a request again if its outcome is unknown and its guard makes
// that safe.
func (c *Client) Send(x context.Context, s Spec) Outcome {
	o := Outcome{Spec: s}
	x, cancel := context.WithTimeout(x, s.Deadline)
	defer cancel()
	began := time.Now()
	guard := c.guardHeader(x, s)
	var got reply
	for o.Sends < maxSends && x.Err() == nil {
		o.Sends++
		got = c.sendOnce(x, s, guard)
		if got.requestID != "" {
			o.IDs = append(o.IDs, got.requestID)
		}
		if got.apiError.Run == "ran" && got.apiError.Type == "moved" || got.sendErr != nil && got.nextToken > 0 && s.Model != "" {
			got = c.resume(x, s, got, &o)
		}
		if got.complete || !c.prepareRetry(x, s, got, &o) {
			break
		}
	}
	o.TotalTime = time.Since(began)
	c.checkAnswer(s, got, &o, began)
	return o
}

// guardHeader returns the name and value of the header that makes the request run at most once.
func (c *Client) guardHeader(x context.Context, s Spec) [2]string {
	switch s.Guard {
	case IdempotencyKey:
		return [2]string{front.KeyHeader, uuid.NewString()}
	case Ticket:
		return [2]string{front.TicketHeader, c.fetchTicket(x, s)}
	case NotRepeatable:
		return [2]string{front.RepeatableHeader, "no"}
	default:
		return [2]string{}
	}
}

// fetchTicket requests a ticket until it gets one, and returns "" if x is done first.
func (c *Client) fetchTicket(x context.Context, s Spec) string {
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

func (c *Client) sendOnce(x context.Context, s Spec, guard [2]string) reply {
	r, err := c.newRequest(x, s)
	if err != nil {
		return reply{sendErr: err}
	}
	r.Header.Set("Authorization", "Bearer "+s.Account)
	r.Header.Set(front.KindHeader, s.Kind)
	r.Header.Set(front.MemberHeader, s.Member)
	r.Header.Set(front.MatchHeader, s.Match)
	r.Header.Set(front.DeadlineHeader, remaining(x).String())
	if guard[0] != "" {
		r.Header.Set(guard[0], guard[1])
	}
	return c.do(r, s, 0)
}

// remaining returns the time until the deadline, and at least 100 ms, so that the deadline header is
// valid.
func remaining(x context.Context) time.Duration {
	d, _ := x.Deadline()
	return max(time.Until(d), 100*time.Millisecond)
}

func (c *Client) newRequest(x context.Context, s Spec) (*http.Request, error) {
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
	p := reply{nextToken: from}
	a, err := c.HTTP.Do(r)
	if err != nil {
		p.sendErr = err
		return p
	}
	defer a.Body.Close()
	p.status, p.requestID = a.StatusCode, a.Header.Get(front.RequestIDHeader)
	if n, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil {
		p.retryAfter = time.Duration(n) * time.Second
	}
	if a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		p.readEvents(a.Body)
		return p
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		p.sendErr = err
		return p
	}
	p.decodeBody(a, b, s)
	return p
}

func (re *reply) decodeBody(a *http.Response, b []byte, s Spec) {
	re.firstAt = time.Now()
	var e openai.Error
	var v openai.Completion
	switch {
	case a.StatusCode != http.StatusOK:
		if json.Unmarshal(b, &e) != nil {
			re.sendErr = fmt.Errorf("status %d without an error body", a.StatusCode)
		}
		re.apiError = e.Error
	case s.Service != "":
		re.text, re.complete = string(b), true
	case json.Unmarshal(b, &v) != nil || len(v.Choices) != 1:
		re.sendErr = errors.New("body is not a completion")
	default:
		re.text, re.complete = v.Choices[0].Message.Content, true
	}
}

// readEvents reads a stream of server-sent events, one token each.
func (re *reply) readEvents(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		d, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			re.complete = true
			return
		}
		var v openai.Completion
		var e openai.Error
		if json.Unmarshal([]byte(d), &e) == nil && e.Error.Type != "" {
			re.apiError = e.Error
			return
		}
		if json.Unmarshal([]byte(d), &v) != nil || len(v.Choices) == 0 || v.Choices[0].Delta == nil {
			continue
		}
		if t := v.Choices[0].Delta.Content; t != "" {
			if re.firstAt.IsZero() {
				re.firstAt = time.Now()
			}
			re.text += t
			re.nextToken++
		}
	}
	re.sendErr = errors.New("stream ended without an end event")
}

// resume reads the rest of a stream by its request ID, starting with token p.nextToken.
func (c *Client) resume(x context.Context, s Spec, p reply, o *Outcome) reply {
	id := p.requestID
	for x.Err() == nil && !p.complete && o.Resumes < maxSends {
		o.Resumes++
		u := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", c.Balancer.Next(), id, p.nextToken)
		r, err := http.NewRequestWithContext(x, http.MethodGet, u, nil)
		if err != nil {
			return p
		}
		r.Header.Set("Authorization", "Bearer "+s.Account)
		q := c.do(r, s, p.nextToken)
		q.text, q.requestID, q.firstAt = p.text+q.text, id, p.firstAt
		p = q
		if !p.complete && p.apiError.Type != "moved" && p.sendErr == nil {
			return p
		}
		wait.For(x, 200*time.Millisecond)
	}
	return p
}

// prepareRetry records the failure of a send and reports whether to send again. If so, it first waits
// for the time that the response gives.
func (c *Client) prepareRetry(x context.Context, s Spec, p reply, o *Outcome) bool {
	kind := p.apiError.Type
	if p.sendErr != nil {
		kind = "connection_broken"
	}
	o.LastRefusal = kind
	o.Refusals = append(o.Refusals, kind)
	delay := p.retryAfter
	if delay == 0 {
		delay = 100 * time.Millisecond
	}
	switch {
	case p.apiError.Run == "not_run" && p.retryAfter > 0:
	case s.Guard == Unguarded && (p.sendErr != nil || p.apiError.Run != "not_run"):
	case (s.Guard == IdempotencyKey || s.Guard == Ticket) && (p.sendErr != nil || p.retryAfter > 0):
	default:
		return false
	}
	wait.For(x, delay)
	return x.Err() == nil
}

// checkAnswer compares the answer with the one that the stand-ins compute.
func (c *Client) checkAnswer(s Spec, p reply, o *Outcome, began time.Time) {
	o.ID = p.requestID
	if !p.complete {
		return
	}
	o.Answered = true
	o.TimeToFirst = p.firstAt.Sub(began)
	if s.Tokens > 1 {
		o.TokenInterval = (o.TotalTime - o.TimeToFirst) / time.Duration(s.Tokens-1)
	}
	want := ""
	if s.Service != "" {
		path, _, _ := strings.Cut(s.Path, "?")
		want = answer.Service(s.Service, s.Method, path, s.Body)
	} else {
		want = answer.Text(
			c.ResolveModel(s.Model),
			openai.ChatRequest{Messages: []openai.Message{{Role: "user", Content: openai.Content(s.Prompt)}}}.Prompt(),
			s.Tokens,
		)
	}
	if p.text != want {
		o.Mismatch = fmt.Sprintf("answer of %d bytes in place of %d", len(p.text), len(want))
	}
}
