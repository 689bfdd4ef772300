// Package router chooses the endpoint for a request from a list of candidates. It does no I/O.
package router

import "time"

// Target is one endpoint that may take the request. Busy counts its streams, running or waiting.
// Hash is the hash of its name for rendezvous hashing. Preference ranges from 0 to 1. PrefixCached
// reports whether its cache is known to hold the prefix. NetworkDelay is added to its expected time.
type Target struct {
	Box             string
	Hash            uint64
	Busy            int
	Slots           int
	TokensPerSecond float64
	Preference      float64
	PrefixCached    bool
	NetworkDelay    time.Duration
}

// Query holds the inputs of a choice besides the targets. Prefix is a hash of the prompt's prefix.
type Query struct {
	Prefix       uint64
	PromptTokens int
	AnswerTokens int
	Urgent       bool
	Deadline     time.Duration
}

// Choice is the index of the chosen target, or -1 if there is none, with its expected time to the
// first token of an urgent request or to the last token of any other. Preferred reports whether it is
// the preferred target of the prefix.
type Choice struct {
	Index     int
	Expected  time.Duration
	Preferred bool
	Reason    string
}

// Policy chooses among targets. Pick may be called concurrently.
type Policy interface {
	Pick(ts []Target, q Query) Choice
}

// noTarget is the choice if there are no targets.
var noTarget = Choice{Index: -1, Reason: "no endpoint is live, allowed and loaded"}
