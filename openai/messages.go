// Package openai defines the requests and responses of the OpenAI chat completions API, as far as
// Birchlink supports it.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ChatRequest is the body of POST /v1/chat/completions. Other fields of the API are ignored.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	N                   int            `json:"n"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
}

// StreamOptions holds the options of a streamed response. IncludeUsage requests a last chunk with the
// token usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of text parts, which are
// concatenated.
type Content string

// UnmarshalJSON decodes a string, a list of text parts, or null. Parts of any other type are an
// error.
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

// Prompt returns the messages as one text, with one line "role: content" for each message.
func (r ChatRequest) Prompt() string {
	return strings.Join(r.PromptParts(), "")
}

// PromptParts returns the parts of the prompt, one for each message.
func (r ChatRequest) PromptParts() []string {
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.Role + ": " + string(m.Content) + "\n"
	}
	return parts
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a message in one chunk of a streamed response, or the complete message of any
// other response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one generated message. Birchlink returns one choice for each request.
type Choice struct {
	Index        int     `json:"index"`
	Message      *Delta  `json:"message,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is a complete response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of the response to GET /v1/models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models is the response to GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Error is an error response.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes the error. Birchlink adds three fields to those of the API: Run states
// whether the request ran, RequestID identifies it, and Resume is the path from which its stream
// can be resumed.
type ErrorBody struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      string  `json:"code"`
	Param     *string `json:"param"`
	Run       string  `json:"run"`
	RequestID string  `json:"request_id"`
	Resume    string  `json:"resume,omitempty"`
}
