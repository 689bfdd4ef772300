// Package catalog holds the operators' configuration of a fleet that serves
// routes: which route leads to which service, who may call, and the limits.
package catalog

import "time"

// Kind says how a route's requests may be repeated.
type Kind int

// The kinds of routes. A Stream that is not resumable may run at most once, as
// a Mutating request may.
const (
	Idempotent Kind = iota
	Mutating
	Stream
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"idempotent", "mutating", "stream"}[k] }

// Share is a service that takes part of a route's requests, by weight.
type Share struct {
	Service string
	Weight  int
}

// Route leads requests to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Resumable bool // a stream may be taken up again at another endpoint
	Public    bool // no key is needed
	Shares    []Share

	Timeout     time.Duration // longest that a request is held
	Objective   time.Duration // time to the answer, or to a stream's first event
	GapTarget   time.Duration // longest pause between a stream's events
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // endpoints that one request may be sent to
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Scaling says within which bounds, and at which prices, a service's endpoints
// are ordered, in each data centre.
type Scaling struct {
	Min, Max         int
	Boot             time.Duration      // from the order until an endpoint serves
	ReclaimablePrice float64            // as a part of the price on demand
	Prices           map[string]float64 // by data centre
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int           // memory for running requests and cached parts
	TokenBytes  int           // memory that one token takes
	LinkBytes   float64       // bytes a second between two engines
	Moves       bool          // a running request's memory can be moved
	Backups     bool          // a running request's memory can be copied as it grows
	CopyHeld    time.Duration // how long a copy is kept for its request
}

// Service is a set of endpoints that answer alike.
type Service struct {
	Name           string
	MaxConnections int     // that an endpoint accepts from all callers together
	Engine         *Engine // nil for a plain service
	Scaling        *Scaling
}

// Account is a client account. Rate and Burst are in tokens where Tokens is
// set, else in requests; a zero Rate is no limit.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	Tokens   bool
	// PlainTokens is what a request without token counts is counted as.
	PlainTokens int
	Rate        float64
	Burst       float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	Idle        time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
