// Package catalog holds the operators' configuration of a fleet: which routes lead to which services,
// which accounts may call, and the limits of requests. A Table indexes one version of it.
package catalog

import "time"

// Kind classifies the requests of a route by whether they may be retried.
type Kind int

// The kinds of routes. A Mutating request, and a Stream of a route that is not resumable, may run at
// most once.
const (
	Idempotent Kind = iota
	Mutating
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"idempotent", "mutating", "stream"}[k] }

// Share is a service that gets a share of a route's requests, in proportion to its weight.
type Share struct {
	Service string
	Weight  int
}

// Route selects requests by host and path prefix and distributes them over services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // path prefix; starts and ends with a slash
	Kind      Kind
	Resumable bool // a stream may be resumed at another endpoint
	Public    bool // no API key is required
	Shares    []Share

	Timeout          time.Duration // maximum duration of a request
	LatencyObjective time.Duration // target time to the response, or to a stream's first event
	GapTarget        time.Duration // target for the longest pause between a stream's events
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // maximum number of endpoints that a request is sent to
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Scaling bounds the number of a service's endpoints in each data centre, and gives their prices.
type Scaling struct {
	Min, Max              int
	BootTime              time.Duration      // from the order until an endpoint serves
	ReclaimablePriceRatio float64            // relative to the on-demand price
	Prices                map[string]float64 // by data centre
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots              int
	KVCapacity         int           // tokens of KV cache for running requests and cached prefixes
	KVBytesPerToken    int           // KV cache size of one token in bytes
	LinkBytesPerSecond float64       // bandwidth between two engines
	KVTransfer         bool          // the KV cache of a running request can be moved
	KVBackup           bool          // the KV cache of a running request can be copied as it grows
	BackupTTL          time.Duration // how long a copy is kept for its request
	TokensPerEvent     int           // tokens in an event of a stream; zero if unknown
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string  // of the health check of its endpoints; empty if they have none
	MaxConnections int     // that an endpoint accepts from all callers together
	Engine         *Engine // nil for a plain service
	Scaling        *Scaling
}

// Account is a client account. Rate is per second. Rate and Burst are in tokens if InTokens is set,
// otherwise in requests. A zero Rate means no limit.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	InTokens bool
	// DefaultTokens is the number of tokens charged for a request without token counts.
	DefaultTokens int
	Rate          float64
	Burst         float64
}

// Limits bound the size of requests and the idle time of connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
