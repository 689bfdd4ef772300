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

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/stream"
)

// The default and the maximum of a response's length, in tokens.
const (
	defaultMaxTokens = 16
	maxTokens        = 8192
)

// completeChat handles POST /v1/chat/completions.
func (f *Front) completeChat(s *session) error {
	var q openai.ChatRequest
	b, release, err := f.readCallBody(s, dispatch.Call{Chat: &stream.Request{Deadline: s.headers.deadline}})
	if err != nil {
		return err
	}
	defer release()
	if err := json.Unmarshal(b, &q); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not a chat request: %w", err)
	}
	p, err := newStreamRequest(s, q)
	if err != nil {
		return err
	}
	c, cancel := f.requestContext(s)
	defer cancel()
	call := dispatch.Call{Chat: p, Key: s.headers.key, Ticket: s.headers.ticket}
	o := newWriter(s, q, p.ID)
	err = f.dispatcher.Do(c, call, func(i dispatch.Item) error { return o.writeToken(i.Index, i.Token) })
	return o.finish(f.closingError(c, err))
}

// requestContext returns the context of a request. It is cancelled when the caller disconnects, and
// with errClosing cancelDelay after Stop gives up waiting for requests.
func (f *Front) requestContext(s *session) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(s.r.Context())
	stop := context.AfterFunc(f.closing, func() { time.AfterFunc(cancelDelay, func() { cancel(errClosing) }) })
	return c, func() {
		stop()
		cancel(nil)
	}
}

// closingError returns errClosing in place of err if c was cancelled with errClosing and the stream may have begun, or the error for a
// stream that no other box continues.
func (f *Front) closingError(c context.Context, err error) error {
	switch {
	case err == nil || !errors.Is(context.Cause(c), errClosing) || errkind.Of(err).Kind.Response().Run == errkind.NotRun:
		return err
	case f.isAlone.Load():
		return errkind.New(errkind.OutcomeUnknown, "the box stopped, and no other could go on: %s", err)
	}
	return errClosing
}

// errClosing cancels the requests that are in progress when the shutdown timeout expires. Another box
// continues their streams.
var errClosing = errkind.New(errkind.Stopping, "the box is shutting down")

// newStreamRequest checks a chat request against the configuration and its limits.
func newStreamRequest(s *session, q openai.ChatRequest) (*stream.Request, error) {
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
		n = defaultMaxTokens
	}
	if n < 0 || n > maxTokens {
		return nil, errkind.New(errkind.BadRequest, "max_tokens is from 1 to %d", maxTokens)
	}
	return &stream.Request{
		ID: s.id, Account: s.account.Name, Workload: w, Prompt: q.Prompt(), MaxTokens: n, Parts: partHashes(w, q.PromptParts()),
		Kind: s.headers.kind, Member: s.headers.member, Match: s.headers.match,
		Weight: s.account.Weight, Rate: s.account.RequestsPerSecond,
		Repeatable: s.headers.repeatable, Deadline: s.headers.deadline,
	}, nil
}

// partHashes returns the hashes of the parts of a prompt for a workload that other requests may share: all messages but the last.
func partHashes(workload string, messages []string) []requesthash.Hash {
	var c call.Call
	for _, m := range messages {
		c.Parts = append(c.Parts, call.Part{ID: m})
	}
	return requesthash.PartsOf(workload, &c)
}

// resumeStream handles GET /v1/requests/{id}?from=n, which returns the tokens of a stream from
// index n on.
func (f *Front) resumeStream(s *session) error {
	from := 0
	if v := s.r.URL.Query().Get("from"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxTokens {
			return errkind.New(errkind.HeaderOutOfRange, "from is a token's index from 0 to %d", maxTokens)
		}
		from = n
	}
	_, release, err := f.readBody(s.r.Context(), s) // ignored, but its deadline must not end the stream
	if err != nil {
		return err
	}
	release()
	id := mux.Vars(s.r)["id"]
	s.w.Header().Set(RequestIDHeader, id)
	o := newWriter(s, openai.ChatRequest{Stream: true}, id)
	o.nextIndex = from
	c, cancel := f.requestContext(s)
	defer cancel()
	err = f.streams.ReadAnywhere(c, id, s.account.Name, from, o.writeToken)
	return o.finish(f.closingError(c, err))
}

// listModels handles GET /v1/models.
func (f *Front) listModels(s *session) error {
	m := openai.Models{Object: "list", Data: []openai.Model{}}
	for _, w := range s.document.Workloads() {
		m.Data = append(m.Data, openai.Model{ID: w, Object: "model", OwnedBy: "birchlink"})
	}
	setWriteDeadline(s.w)
	jsonhttp.Write(s.w, http.StatusOK, m)
	return nil
}

// writer writes a response to a chat request: token by token if the caller asked for a stream, or
// otherwise as one JSON object at the end.
type writer struct {
	s            *session
	id           string
	model        string
	stream       bool
	includeUsage bool
	promptTokens int
	nextIndex    int
	started      bool
	text         strings.Builder
	controller   *http.ResponseController
}

func newWriter(s *session, q openai.ChatRequest, id string) *writer {
	return &writer{
		s: s, id: id, model: q.Model, stream: q.Stream, promptTokens: engine.EstimatePromptTokens(q.Prompt()),
		includeUsage: q.StreamOptions != nil && q.StreamOptions.IncludeUsage, controller: http.NewResponseController(s.w),
	}
}

// writeToken adds the token with index i to the response. Any other index than the next one is an
// error, so that the text has no gaps.
func (w *writer) writeToken(i int, t string) error {
	if i != w.nextIndex {
		return errkind.New(errkind.AnswerCut, "token %d came in place of %d", i, w.nextIndex)
	}
	w.nextIndex++
	if !w.stream {
		w.text.WriteString(t)
		return nil
	}
	d := &openai.Delta{Content: t}
	if !w.started {
		d.Role = "assistant"
	}
	return w.writeEvent(strconv.Itoa(i), w.newCompletion("chat.completion.chunk", openai.Choice{Delta: d}))
}

func (w *writer) newCompletion(object string, cs ...openai.Choice) openai.Completion {
	if cs == nil {
		cs = []openai.Choice{}
	}
	return openai.Completion{ID: w.id, Object: object, Created: time.Now().Unix(), Model: w.model, Choices: cs}
}

// writeEvent writes one server-sent event and flushes it. The id of a token's event is the token's
// index.
func (w *writer) writeEvent(id string, v any) error {
	if !w.started {
		w.started = true
		h := w.s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(RunHeader, string(errkind.Ran))
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if id != "" {
		fmt.Fprintf(w.s.w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(w.s.w, "data: %s\n\n", b); err != nil {
		return errkind.New(errkind.CallerGone, "the caller left: %w", err)
	}
	return w.controller.Flush()
}

func (w *writer) tokenUsage() *openai.Usage {
	return &openai.Usage{PromptTokens: w.promptTokens, CompletionTokens: w.nextIndex, TotalTokens: w.promptTokens + w.nextIndex}
}

// finish completes the response. An error after the first event is sent as an event, because the
// status has already been sent.
func (w *writer) finish(err error) error {
	if err != nil && !w.started {
		return w.movedError(err)
	}
	if err != nil {
		e := w.movedError(err)
		return w.writeEvent("", errorBody(w.id, errkind.Of(e), w.resumePath(e)))
	}
	finishReason := "stop"
	if !w.stream {
		w.s.w.Header().Set(RunHeader, string(errkind.Ran))
		m := &openai.Delta{Role: "assistant", Content: w.text.String()}
		completion := w.newCompletion("chat.completion", openai.Choice{Message: m, FinishReason: &finishReason})
		completion.Usage = w.tokenUsage()
		setWriteDeadline(w.s.w)
		jsonhttp.Write(w.s.w, http.StatusOK, completion)
		return nil
	}
	if err := w.writeEvent("", w.newCompletion("chat.completion.chunk", openai.Choice{Delta: &openai.Delta{}, FinishReason: &finishReason})); err != nil {
		return err
	}
	if w.includeUsage {
		u := w.newCompletion("chat.completion.chunk")
		u.Usage = w.tokenUsage()
		if err := w.writeEvent("", u); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(w.s.w, "data: [DONE]\n\n"); err != nil {
		return errkind.New(errkind.CallerGone, "the caller left: %w", err)
	}
	return w.controller.Flush()
}

// movedError returns the error that asks the caller to resume the stream if another box continues
// it, or otherwise err.
func (w *writer) movedError(err error) error {
	var m *stream.MovedError
	if errors.As(err, &m) || errors.Is(err, errClosing) {
		return errkind.New(errkind.Moved, "another box goes on; resume at token %d", w.nextIndex).WithRetryAfter(time.Second)
	}
	return err
}

// resumePath returns the path from which the stream can be resumed if err is of kind Moved.
func (w *writer) resumePath(err error) string {
	if !errkind.Is(err, errkind.Moved) {
		return ""
	}
	return fmt.Sprintf("/v1/requests/%s?from=%d", w.id, w.nextIndex)
}
