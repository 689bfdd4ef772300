// Package dispatch carries a call to the process that may run it: any for most
// calls, the holder of its key, or the issuer of its ticket.
package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/plain"
	"birchlink.dev/birchlink/stream"
)

// Call is one call of a caller: of a model, or of a plain service.
type Call struct {
	Chat   *stream.Request
	Plain  *plain.Request
	Key    string
	Ticket string
}

// Item is a part of an answer: a token, or a plain service's whole response.
type Item struct {
	Index int
	Token string
	Plain *plain.Response
}

// Sink takes the parts of an answer in order.
type Sink func(Item) error

// account returns who calls.
func (c Call) account() string {
	if c.Chat != nil {
		return c.Chat.Account
	}
	return c.Plain.Account
}

func (c Call) id() string {
	if c.Chat != nil {
		return c.Chat.ID
	}
	return c.Plain.ID
}

func (c Call) deadline() time.Time {
	if c.Chat != nil {
		return c.Chat.Deadline
	}
	return c.Plain.Deadline
}

func (c Call) admission() admission.Request {
	if c.Chat != nil {
		return c.Chat.Admission()
	}
	return c.Plain.Admission()
}

// digest hashes what two calls with one key must have in common. It is never
// zero.
func (c Call) digest() uint64 {
	var v any
	if c.Chat != nil {
		v = []any{c.Chat.Account, c.Chat.Workload, c.Chat.Prompt, c.Chat.MaxTokens}
	} else {
		v = []any{c.Plain.Account, c.Plain.Service, c.Plain.Method, c.Plain.Path, c.Plain.Body}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings, numbers and bytes always encode
	}
	return xxhash.Sum64(b) | 1
}
