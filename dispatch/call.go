// Package dispatch routes a call to the process that may run it: the process that holds its
// idempotency key, the issuer of its ticket, or, for a call with neither, this process. It keeps
// the outcomes of calls with keys and tickets, so that a retry gets the outcome of the first run,
// and hands them over to another process at shutdown.
package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/stream"
)

// Call is one call of a model or of a plain service. Exactly one of Chat and Plain is set. Key is
// the idempotency key and Ticket the ticket, if the caller sent one.
type Call struct {
	Chat   *stream.Request
	Plain  *serviceproxy.Request
	Key    string
	Ticket string
}

// Item is a part of a response: a token with its index, or the complete response of a plain
// service.
type Item struct {
	Index int
	Token string
	Plain *serviceproxy.Response
}

// Sink receives the items of a response in order. An error from it ends the call.
type Sink func(Item) error

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

// digest hashes the fields in which two calls with the same key must agree. It is never zero.
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
