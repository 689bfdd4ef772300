// Package openai holds the messages of the protocol that language-model users
// already have.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ChatRequest is the body of POST /v1/chat/completions, as far as it is used.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	N                   int            `json:"n"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
}

// StreamOptions asks for the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one turn of a conversation. Its content is a string or a list of
// text parts.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message.
type Content string

// UnmarshalJSON reads a string, a list of text parts, or null.
func (c *Content) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		*c = Content(s)
		return nil
	}
	var ps []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &ps); err != nil {
		return errors.New("content is a string or a list of text parts")
	}
	var t strings.Builder
	for _, p := range ps {
		if p.Type != "text" {
			return fmt.Errorf("content of type %q is not supported", p.Type)
		}
		t.WriteString(p.Text)
	}
	*c = Content(t.String())
	return nil
}

// Prompt joins the messages to one text for an engine.
func (r ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String()
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a message that one chunk brings, or a whole message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one answer; birchlink gives one.
type Choice struct {
	Index        int     `json:"index"`
	Message      *Delta  `json:"message,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is a whole answer, or one chunk of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of GET /v1/models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models is the answer to GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Error is the error form, with birchlink's additions: whether the request ran,
// its id, and where to resume it.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is the inner part of Error.
type ErrorBody struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      string  `json:"code"`
	Param     *string `json:"param"`
	Run       string  `json:"run"`
	RequestID string  `json:"request_id"`
	Resume    string  `json:"resume,omitempty"`
}
