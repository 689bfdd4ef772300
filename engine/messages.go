// Package engine speaks the published protocol of the model engines: streams
// of tokens by attempt, resume, cancel, KV export and import, load, cache
// events and fenced orders.
package engine

// Request asks for tokens From to MaxTokens-1 of an answer. Incarnation names
// the engine process that the caller means; another one refuses the request,
// so that it did not run. KV names imported cache entries.
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

// Line is one line of a stream: a token of an attempt, or its end mark. Prefill
// counts the tokens that the attempt had to compute before its first.
type Line struct {
	RequestID string `json:"r"`
	Attempt   int    `json:"a"`
	Index     int    `json:"i"`
	Token     string `json:"t,omitempty"`
	End       bool   `json:"end,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Prefill   int    `json:"prefill,omitempty"`
}

// Attempt names one attempt of a request at an engine.
type Attempt struct {
	RequestID   string `json:"request_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	From        int    `json:"from,omitempty"`
}

// State is what an engine says of an attempt after a cancel.
type State string

// The states of an attempt. NotStarted is final: the engine will refuse the
// attempt if it arrives later.
const (
	NotStarted State = "not_started"
	Queued     State = "queued"
	Running    State = "running"
	Stopped    State = "stopped"
	Done       State = "done"
)

// Cancelled is the answer to a cancel.
type Cancelled struct {
	State  State `json:"state"`
	Tokens int   `json:"tokens"`
}

// Export describes KV cache that was taken out of an engine: it covers the
// prompt and the answer's tokens before index Tokens.
type Export struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
	Source string `json:"source,omitempty"`
}

// Orders says what an engine shall have loaded. Fence grows with each giver.
type Orders struct {
	Fence     uint64   `json:"fence"`
	Workloads []string `json:"workloads"`
}

// CacheEvent says that the engine holds or dropped a prompt's prefix. Gaps in
// Seq mean that events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`
}
