// Package engine implements a client of the model engines' published HTTP protocol. An attempt to
// answer a request streams tokens and can be resumed, cancelled, or moved by exporting and importing
// its KV cache. Fenced orders set which workloads an engine loads.
package engine

// Request asks for the tokens From to MaxTokens-1 of a response. Incarnation identifies the intended
// engine process; any other process refuses the request without running it. KV is the handle of an
// imported KV cache, if any.
type Request struct {
	RequestID   string `json:"request_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Prompt      string `json:"prompt"`
	From        int    `json:"from"`
	MaxTokens   int    `json:"max_tokens"`
	Priority    int    `json:"priority"`
	KV          string `json:"kv,omitempty"`
}

// Line is one line of a stream: a token of an attempt, or its end mark. Prefill is the number of
// tokens that the attempt had to process before it generated its first one.
type Line struct {
	RequestID string `json:"r"`
	Attempt   int    `json:"a"`
	Index     int    `json:"i"`
	Token     string `json:"t,omitempty"`
	End       bool   `json:"end,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Prefill   int    `json:"prefill,omitempty"`

	// Software is set by boxes that pass on the tokens of an engine that another box chose.
	Software string `json:"-"`
}

// Attempt identifies one attempt of a request at an engine. From is the first token to resume at.
type Attempt struct {
	RequestID   string `json:"request_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	From        int    `json:"from,omitempty"`
}

// State is the state of an attempt that an engine reports in response to a cancel.
type State string

// The states of an attempt. NotStarted is final: the engine refuses the attempt if it arrives later.
const (
	NotStarted State = "not_started"
	Queued     State = "queued"
	Running    State = "running"
	Stopped    State = "stopped"
	Done       State = "done"
)

// Cancelled is the response to a cancel: the state of the attempt and the number of tokens that it
// generated.
type Cancelled struct {
	State  State `json:"state"`
	Tokens int   `json:"tokens"`
}

// Export describes the KV cache exported from the engine at the address Source. It covers the prompt
// and the response's tokens before index Tokens.
type Export struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
	Source string `json:"source,omitempty"`
}

// Orders lists the workloads that an engine must keep loaded. Fence is the fencing token of the
// leader that issued them; it grows with each leader.
type Orders struct {
	Fence     uint64   `json:"fence"`
	Workloads []string `json:"workloads"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix. Gaps in Seq mean that events
// were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`
}
