// Package errkind holds the closed list of error kinds and the table that
// turns each kind into the answer a caller gets.
package errkind

import "net/http"

// Kind names one reason why a request was not answered as asked.
type Kind int

// The closed list of kinds. Every error that reaches a caller has one of them.
const (
	Internal Kind = iota
	BadRequest
	HeaderRange
	UnknownAccount
	Forbidden
	UnknownModel
	UnknownService
	UnknownRequest
	TooLarge
	KeyReused
	LimitReached
	Overloaded
	NoEndpoint
	Quarantined
	NotReady
	Stopping
	DeadlineShort
	DeadlinePassed
	ClaimUnavailable
	StillRunning
	OutcomeUnknown
	EngineFailed
	AnswerCut
	AnswerTooLarge
	CallerGone
	ConfigConflict
	ConfigInvalid
	Unavailable
	Moved
	kindCount
)

// Run says whether the request ran at an endpoint.
type Run string

// The three things birchlink says about a run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Answer is what a caller is told for a kind. Retry says whether coming back
// later helps, and so whether a Retry-After goes with the answer.
type Answer struct {
	Name   string
	Status int
	Run    Run
	Retry  bool
}

var table = [kindCount]Answer{
	Internal:         {"internal", http.StatusInternalServerError, Unknown, false},
	BadRequest:       {"bad_request", http.StatusBadRequest, NotRun, false},
	HeaderRange:      {"header_out_of_range", http.StatusBadRequest, NotRun, false},
	UnknownAccount:   {"unknown_account", http.StatusUnauthorized, NotRun, false},
	Forbidden:        {"forbidden", http.StatusForbidden, NotRun, false},
	UnknownModel:     {"unknown_model", http.StatusNotFound, NotRun, false},
	UnknownService:   {"unknown_service", http.StatusNotFound, NotRun, false},
	UnknownRequest:   {"unknown_request", http.StatusNotFound, Unknown, false},
	TooLarge:         {"too_large", http.StatusRequestEntityTooLarge, NotRun, false},
	KeyReused:        {"key_reused", http.StatusUnprocessableEntity, NotRun, false},
	LimitReached:     {"limit_reached", http.StatusTooManyRequests, NotRun, true},
	Overloaded:       {"overloaded", http.StatusTooManyRequests, NotRun, true},
	NoEndpoint:       {"no_endpoint", http.StatusServiceUnavailable, NotRun, true},
	Quarantined:      {"quarantined", http.StatusServiceUnavailable, NotRun, true},
	NotReady:         {"not_ready", http.StatusServiceUnavailable, NotRun, true},
	Stopping:         {"stopping", http.StatusServiceUnavailable, NotRun, true},
	DeadlineShort:    {"deadline_too_short", http.StatusGatewayTimeout, NotRun, false},
	DeadlinePassed:   {"deadline_passed", http.StatusGatewayTimeout, Unknown, false},
	ClaimUnavailable: {"claim_unavailable", http.StatusServiceUnavailable, NotRun, true},
	StillRunning:     {"still_running", http.StatusConflict, Ran, true},
	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway, Unknown, false},
	EngineFailed:     {"engine_failed", http.StatusBadGateway, Ran, false},
	AnswerCut:        {"answer_cut", http.StatusBadGateway, Ran, false},
	AnswerTooLarge:   {"answer_too_large", http.StatusBadGateway, Ran, false},
	CallerGone:       {"caller_gone", statusCallerGone, Unknown, false},
	ConfigConflict:   {"config_conflict", http.StatusConflict, NotRun, false},
	ConfigInvalid:    {"config_invalid", http.StatusUnprocessableEntity, NotRun, false},
	Unavailable:      {"unavailable", http.StatusServiceUnavailable, Unknown, true},
	Moved:            {"moved", http.StatusServiceUnavailable, Ran, true},
}

// statusCallerGone is only logged: the caller that would read it has left.
const statusCallerGone = 499

// Answer returns the row of the table for k. A value outside the list is
// answered as Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the name of k as callers see it.
func (k Kind) String() string { return k.Answer().Name }

// All returns every kind in the order of the list.
func All() []Kind {
	ks := make([]Kind, kindCount)
	for i := range ks {
		ks[i] = Kind(i)
	}
	return ks
}
