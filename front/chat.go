package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/stream"
)

// The bounds of an answer's length, in tokens.
const (
	defaultTokens = 16
	maxTokens     = 8192
)

// chat answers POST /v1/chat/completions.
func (f *Front) chat(s *session) error {
	var q openai.ChatRequest
	b, release, err := f.body(s)
	if err != nil {
		return err
	}
	defer release()
	if err := json.Unmarshal(b, &q); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not a chat request: %w", err)
	}
	p, err := chatRequest(s, q)
	if err != nil {
		return err
	}
	c, cancel := f.until(s)
	defer cancel()
	call := dispatch.Call{Chat: p, Key: s.fields.key, Ticket: s.fields.ticket}
	o := newWriter(s, q, p.ID)
	err = f.dispatcher.Do(c, call, func(i dispatch.Item) error { return o.token(i.Index, i.Token) })
	return o.close(orClosing(c, err))
}

// until ends with the caller, and when the box must close.
func (f *Front) until(s *session) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(s.r.Context())
	stop := context.AfterFunc(f.hurry, func() { time.AfterFunc(time.Second, func() { cancel(errClosing) }) })
	return c, func() {
		stop()
		cancel(nil)
	}
}

// orClosing returns errClosing for an error that came of it.
func orClosing(c context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(c), errClosing) {
		return errClosing
	}
	return err
}

// errClosing ends a request whose box closes; a peer goes on with its stream.
var errClosing = errors.New("the box closes")

func chatRequest(s *session, q openai.ChatRequest) (*stream.Request, error) {
	w, ok := s.document.Resolve(q.Model)
	if !ok {
		return nil, errkind.New(errkind.UnknownModel, "no model %q; GET /v1/models lists them", q.Model)
	}
	if len(q.Messages) == 0 {
		return nil, errkind.New(errkind.BadRequest, "messages is empty")
	}
	if q.N > 1 {
		return nil, errkind.New(errkind.BadRequest, "n is at most 1")
	}
	n := max(q.MaxTokens, q.MaxCompletionTokens)
	if n == 0 {
		n = defaultTokens
	}
	if n < 0 || n > maxTokens {
		return nil, errkind.New(errkind.BadRequest, "max_tokens is from 1 to %d", maxTokens)
	}
	return &stream.Request{
		ID: s.id, Account: s.account.Name, Workload: w, Prompt: q.Prompt(), MaxTokens: n,
		Kind: s.fields.kind, Member: s.fields.member, Match: s.fields.match,
		Weight: s.account.Weight, Rate: s.account.RequestsPerSecond,
		Repeatable: s.fields.repeatable, Deadline: s.fields.deadline,
	}, nil
}

// resume answers GET /v1/requests/{id}?from=n with the rest of a stream.
func (f *Front) resume(s *session) error {
	from := 0
	if v := s.r.URL.Query().Get("from"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxTokens {
			return errkind.New(errkind.HeaderRange, "from is a token's index from 0 to %d", maxTokens)
		}
		from = n
	}
	id := mux.Vars(s.r)["id"]
	s.w.Header().Set(RequestIDHeader, id)
	o := newWriter(s, openai.ChatRequest{Stream: true}, id)
	o.next = from
	c, cancel := f.until(s)
	defer cancel()
	err := f.keeper.ReadAnywhere(c, id, s.account.Name, from, o.token)
	return o.close(orClosing(c, err))
}

// models answers GET /v1/models.
func (f *Front) models(s *session) error {
	m := openai.Models{Object: "list", Data: []openai.Model{}}
	for _, w := range s.document.Workloads() {
		m.Data = append(m.Data, openai.Model{ID: w, Object: "model", OwnedBy: "birchlink"})
	}
	jsonhttp.Write(s.w, http.StatusOK, m)
	return nil
}

// writer writes an answer as it comes, or whole at its end.
type writer struct {
	s       *session
	id      string
	model   string
	stream  bool
	usage   bool
	prompt  int
	next    int
	started bool
	text    strings.Builder
	out     *http.ResponseController
}

func newWriter(s *session, q openai.ChatRequest, id string) *writer {
	return &writer{
		s: s, id: id, model: q.Model, stream: q.Stream, prompt: engine.EstimatePromptTokens(q.Prompt()),
		usage: q.StreamOptions != nil && q.StreamOptions.IncludeUsage, out: http.NewResponseController(s.w),
	}
}

// token takes the token of an index. The answer's text has no gap, so another
// index than the next is an error.
func (o *writer) token(i int, t string) error {
	if i != o.next {
		return errkind.New(errkind.AnswerCut, "token %d came in place of %d", i, o.next)
	}
	o.next++
	if !o.stream {
		o.text.WriteString(t)
		return nil
	}
	d := &openai.Delta{Content: t}
	if !o.started {
		d.Role = "assistant"
	}
	return o.event(strconv.Itoa(i), o.completion("chat.completion.chunk", openai.Choice{Delta: d}))
}

func (o *writer) completion(object string, cs ...openai.Choice) openai.Completion {
	if cs == nil {
		cs = []openai.Choice{}
	}
	return openai.Completion{ID: o.id, Object: object, Created: time.Now().Unix(), Model: o.model, Choices: cs}
}

// event writes one server-sent event; its id is the token's index.
func (o *writer) event(id string, v any) error {
	if !o.started {
		o.started = true
		h := o.s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(RunHeader, string(errkind.Ran))
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	_ = o.out.SetWriteDeadline(time.Now().Add(writeLimit))
	if id != "" {
		fmt.Fprintf(o.s.w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(o.s.w, "data: %s\n\n", b); err != nil {
		return errkind.New(errkind.CallerGone, "the caller left: %w", err)
	}
	return o.out.Flush()
}

func (o *writer) count() *openai.Usage {
	return &openai.Usage{PromptTokens: o.prompt, CompletionTokens: o.next, TotalTokens: o.prompt + o.next}
}

// close ends the answer. An error after the first event goes into the stream,
// since the status is sent.
func (o *writer) close(err error) error {
	if err != nil && !o.started {
		return o.moved(err)
	}
	if err != nil {
		e := o.moved(err)
		return o.event("", errorBody(o.id, errkind.Of(e), o.resume(e)))
	}
	why := "stop"
	if !o.stream {
		o.s.w.Header().Set(RunHeader, string(errkind.Ran))
		m := &openai.Delta{Role: "assistant", Content: o.text.String()}
		a := o.completion("chat.completion", openai.Choice{Message: m, FinishReason: &why})
		a.Usage = o.count()
		jsonhttp.Write(o.s.w, http.StatusOK, a)
		return nil
	}
	if err := o.event("", o.completion("chat.completion.chunk", openai.Choice{Delta: &openai.Delta{}, FinishReason: &why})); err != nil {
		return err
	}
	if o.usage {
		u := o.completion("chat.completion.chunk")
		u.Usage = o.count()
		if err := o.event("", u); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(o.s.w, "data: [DONE]\n\n"); err != nil {
		return errkind.New(errkind.CallerGone, "the caller left: %w", err)
	}
	return o.out.Flush()
}

// moved turns the end of this box, or of the stream here, into the answer that
// tells the caller to resume.
func (o *writer) moved(err error) error {
	var m *stream.MovedError
	if errors.As(err, &m) || errors.Is(err, errClosing) {
		return errkind.New(errkind.Moved, "another box goes on; resume at token %d", o.next).After(time.Second)
	}
	return err
}

func (o *writer) resume(err error) string {
	if !errkind.Is(err, errkind.Moved) {
		return ""
	}
	return fmt.Sprintf("/v1/requests/%s?from=%d", o.id, o.next)
}
