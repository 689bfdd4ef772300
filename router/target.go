// Package router chooses the endpoint for a request. It does no I/O: the
// candidates go in, the choice with its figures comes out.
package router

import "time"

// Target is one endpoint that may take the request. Busy counts its streams,
// running or waiting; Held says that its cache is known to hold the prefix.
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

// Query is what the choice depends on besides the targets.
type Query struct {
	Prefix       uint64
	PromptTokens int
	AnswerTokens int
	Urgent       bool
	Deadline     time.Duration
}

// Choice is the index of the target chosen, or -1 if there is none, with the
// time to the whole answer that was expected of it.
type Choice struct {
	Index     int
	Expected  time.Duration
	Preferred bool
	Reason    string
}

// Policy chooses among targets. Pick may be called by many at once.
type Policy interface {
	Pick(ts []Target, q Query) Choice
}

// noTarget is the choice when there is no target.
var noTarget = Choice{Index: -1, Reason: "no endpoint is live, allowed and loaded"}
