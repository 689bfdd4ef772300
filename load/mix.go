// Package load is a small client that sends either deployment's mix and checks
// that every answer is whole, its caller's own, and given once.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Guard says how a request that may run at most once is told to be so.
type Guard int

// The guards.
const (
	Free   Guard = iota // may be repeated
	Key                 // carries a client's key
	Ticket              // carries a ticket
	Marked              // only marked as not repeatable
)

// Spec is one request to send.
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

// Mix makes the n-th request of a deployment's mix.
type Mix func(r *rand.Rand, n int) Spec

func init() {
	Mixes["both"] = func(r *rand.Rand, n int) Spec {
		if n%2 == 0 {
			return Mixes["pamoja"](r, n)
		}
		return Mixes["freight"](r, n)
	}
}

// part is one kind of a mix with its share in a hundred.
type part struct {
	share int
	spec  func(r *rand.Rand, n int) Spec
}

// Mixes are the deployments' mixes by name.
var Mixes = map[string]Mix{
	"pamoja":  choose([]string{"pamoja-key-msasani", "pamoja-key-msasani", "pamoja-key-ubungo"}, pamoja),
	"freight": choose([]string{"freight-key-nbg", "freight-key-nbg", "freight-key-rgb"}, freight),
}

var pamoja = []part{
	{15, func(r *rand.Rand, n int) Spec {
		return Spec{Kind: "alert", Guard: Key + Guard(r.IntN(2)), Service: "matokeo-api", Method: http.MethodPost, Path: "/alerts", Body: fmt.Sprintf("goal %d", n), Deadline: 10 * time.Second}
	}},
	{35, func(_ *rand.Rand, n int) Spec {
		return Spec{Kind: "tick", Service: "matokeo-api", Method: http.MethodGet, Path: fmt.Sprintf("/ticks/%d", n), Deadline: 10 * time.Second}
	}},
	{20, func(r *rand.Rand, n int) Spec {
		return chat("chat", "maandishi-llm:sw", fmt.Sprintf("commentary for match %d line %d", r.IntN(8), n), 24, true)
	}},
	{20, func(r *rand.Rand, n int) Spec {
		return chat("summary", "maandishi-llm", fmt.Sprintf("%ssummary of match %d, part %d", preamble(r.IntN(6)), r.IntN(8), n), 64, true)
	}},
	{10, func(_ *rand.Rand, n int) Spec {
		return chat("lookup", "maandishi-llm", fmt.Sprintf("explain table %d", n), 8, false)
	}},
}

var freight = []part{
	{25, func(r *rand.Rand, n int) Spec {
		s := chat("draft", "birch-llm", fmt.Sprintf("%sdraft path request %d", preamble(r.IntN(6)), n), 160, true)
		s.Guard = Key + Guard(r.IntN(3))
		return s
	}},
	{15, func(r *rand.Rand, n int) Spec {
		return chat("summary", "birch-llm@1", fmt.Sprintf("%sdisruption %d", preamble(r.IntN(6)), n), 96, true)
	}},
	{20, func(_ *rand.Rand, n int) Spec {
		return chat("lookup", "birch-llm", fmt.Sprintf("wagon %d", n), 8, false)
	}},
	{30, func(_ *rand.Rand, n int) Spec {
		return Spec{Kind: "lookup", Service: "yard-api", Method: http.MethodGet, Path: fmt.Sprintf("/wagons/%d?track=2", n), Deadline: 10 * time.Second}
	}},
	{10, func(r *rand.Rand, n int) Spec {
		return Spec{Kind: "alert", Guard: Key + Guard(r.IntN(2)), Service: "yard-api", Method: http.MethodPost, Path: "/slots", Body: fmt.Sprintf("slot %d", n), Deadline: 10 * time.Second}
	}},
}

func chat(kind, model, prompt string, tokens int, stream bool) Spec {
	return Spec{Kind: kind, Model: model, Prompt: prompt, Tokens: tokens, Stream: stream, Deadline: time.Minute}
}

// preamble is a long beginning that many prompts share.
func preamble(n int) string {
	s := fmt.Sprintf("You write for desk %d. ", n)
	for len(s) < 2000 {
		s += "Keep to the house rules and to the facts given. "
	}
	return s
}

func choose(accounts []string, ps []part) Mix {
	return func(r *rand.Rand, n int) Spec {
		i, left := 0, r.IntN(100)
		for left >= ps[i].share {
			left -= ps[i].share
			i++
		}
		s := ps[i].spec(r, n)
		s.Account = accounts[r.IntN(len(accounts))]
		s.Member = fmt.Sprintf("member-%d", r.IntN(3))
		s.Match = fmt.Sprintf("match-%d", r.IntN(8))
		return s
	}
}
