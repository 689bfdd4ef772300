// Package load is a load generator. It sends the mix of requests of a deployment, and checks that every
// answer is complete, belongs to its request, and was computed once.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Guard is the means that prevents a request from running more than once.
type Guard int

// The guards.
const (
	Unguarded      Guard = iota // may run more than once
	IdempotencyKey              // carries an idempotency key of the client
	Ticket                      // carries a ticket that an entry box issued
	NotRepeatable               // is only marked as not repeatable
)

// Spec describes one request: to a model if Model is set, to a plain service if Service is set. Account
// is the API key of the caller.
type Spec struct {
	Kind     string
	Account  string
	Member   string
	Match    string
	Guard    Guard
	Deadline time.Duration

	Model  string
	Prompt string
	Tokens int
	Stream bool

	Service string
	Method  string
	Path    string
	Body    string
}

// Mix returns the n-th request of a mix. It draws its random choices from r.
type Mix func(r *rand.Rand, n int) Spec

func init() {
	Mixes["both"] = func(r *rand.Rand, n int) Spec {
		if n%2 == 0 {
			return Mixes["pamoja"](r, n)
		}
		return Mixes["freight"](r, n)
	}
}

// mixEntry is one kind of request in a mix, with its share of the requests in percent.
type mixEntry struct {
	percent int
	newSpec func(r *rand.Rand, n int) Spec
}

// Mixes holds the mix of each deployment by name. The mix "both" alternates between them.
var Mixes = map[string]Mix{
	"pamoja":  newMix([]string{"pamoja-key-msasani", "pamoja-key-msasani", "pamoja-key-ubungo"}, pamojaEntries),
	"freight": newMix([]string{"freight-key-nbg", "freight-key-nbg", "freight-key-rgb"}, freightEntries),
}

var pamojaEntries = []mixEntry{
	{15, func(r *rand.Rand, n int) Spec {
		return Spec{
			Kind: "alert", Guard: IdempotencyKey + Guard(r.IntN(2)), Service: "matokeo-api", Method: http.MethodPost,
			Path: "/alerts", Body: fmt.Sprintf("goal %d", n), Deadline: 10 * time.Second,
		}
	}},
	{35, func(_ *rand.Rand, n int) Spec {
		return Spec{Kind: "tick", Service: "matokeo-api", Method: http.MethodGet, Path: fmt.Sprintf("/ticks/%d", n), Deadline: 10 * time.Second}
	}},
	{20, func(r *rand.Rand, n int) Spec {
		return chatSpec("chat", "maandishi-llm:sw", fmt.Sprintf("commentary for match %d line %d", r.IntN(8), n), 24, true)
	}},
	{20, func(r *rand.Rand, n int) Spec {
		return chatSpec("summary", "maandishi-llm", fmt.Sprintf("%ssummary of match %d, part %d", preamble(r.IntN(6)), r.IntN(8), n), 64, true)
	}},
	{10, func(_ *rand.Rand, n int) Spec {
		return chatSpec("lookup", "maandishi-llm", fmt.Sprintf("explain table %d", n), 8, false)
	}},
}

var freightEntries = []mixEntry{
	{25, func(r *rand.Rand, n int) Spec {
		s := chatSpec("draft", "birch-llm", fmt.Sprintf("%sdraft path request %d", preamble(r.IntN(6)), n), 160, true)
		s.Guard = IdempotencyKey + Guard(r.IntN(3))
		return s
	}},
	{15, func(r *rand.Rand, n int) Spec {
		return chatSpec("summary", "birch-llm@1", fmt.Sprintf("%sdisruption %d", preamble(r.IntN(6)), n), 96, true)
	}},
	{20, func(_ *rand.Rand, n int) Spec {
		return chatSpec("lookup", "birch-llm", fmt.Sprintf("wagon %d", n), 8, false)
	}},
	{30, func(_ *rand.Rand, n int) Spec {
		return Spec{Kind: "lookup", Service: "yard-api", Method: http.MethodGet, Path: fmt.Sprintf("/wagons/%d?track=2", n), Deadline: 10 * time.Second}
	}},
	{10, func(r *rand.Rand, n int) Spec {
		return Spec{
			Kind: "alert", Guard: IdempotencyKey + Guard(r.IntN(2)), Service: "yard-api", Method: http.MethodPost,
			Path: "/slots", Body: fmt.Sprintf("slot %d", n), Deadline: 10 * time.Second,
		}
	}},
}

func chatSpec(kind, model, prompt string, tokens int, stream bool) Spec {
	return Spec{Kind: kind, Model: model, Prompt: prompt, Tokens: tokens, Stream: stream, Deadline: time.Minute}
}

// preamble returns a prefix of at least 2000 bytes that many prompts share.
func preamble(n int) string {
	s := fmt.Sprintf("You write for desk %d. ", n)
	for len(s) < 2000 {
		s += "Keep to the house rules and to the facts given. "
	}
	return s
}

// newMix returns a mix that selects among entries by their shares, and among accounts uniformly.
func newMix(accounts []string, entries []mixEntry) Mix {
	return func(r *rand.Rand, n int) Spec {
		i, left := 0, r.IntN(100)
		for left >= entries[i].percent {
			left -= entries[i].percent
			i++
		}
		s := entries[i].newSpec(r, n)
		s.Account = accounts[r.IntN(len(accounts))]
		s.Member = fmt.Sprintf("member-%d", r.IntN(3))
		s.Match = fmt.Sprintf("match-%d", r.IntN(8))
		return s
	}
}
