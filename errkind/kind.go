// Package errkind defines the kinds of errors that callers can receive, and the HTTP status and error
// name of the response to each kind.
package errkind

import "net/http"

// Kind is the reason why a request failed.
type Kind int

// The error kinds. Every error response has one of them.
const (
	Internal Kind = iota
	BadRequest
	HeaderOutOfRange
	UnknownAccount
	Forbidden
	UnknownModel
	UnknownService
	UnknownRequest
	TooLarge
	BodyTooSlow
	KeyReused
	LimitReached
	Overloaded
	NoEndpoint
	VersionUnavailable
	VersionUnknown
	WaitTooLong
	Quarantined
	NotReady
	Stopping
	DeadlineTooShort
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
	BoxFull
	kindCount
)

// Run states whether the request ran at an endpoint.
type Run string

// The values of Run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Response describes the error response for a kind. Name is the name of the kind that callers see,
// and Retry reports whether a later retry may succeed, in which case the response may have a
// Retry-After header.
type Response struct {
	Name   string
	Status int
	Run    Run
	Retry  bool
}

var table = [kindCount]Response{
	Internal:           {"internal", http.StatusInternalServerError, Unknown, false},
	BadRequest:         {"bad_request", http.StatusBadRequest, NotRun, false},
	HeaderOutOfRange:   {"header_out_of_range", http.StatusBadRequest, NotRun, false},
	UnknownAccount:     {"unknown_account", http.StatusUnauthorized, NotRun, false},
	Forbidden:          {"forbidden", http.StatusForbidden, NotRun, false},
	UnknownModel:       {"unknown_model", http.StatusNotFound, NotRun, false},
	UnknownService:     {"unknown_service", http.StatusNotFound, NotRun, false},
	UnknownRequest:     {"unknown_request", http.StatusNotFound, Unknown, false},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, NotRun, false},
	BodyTooSlow:        {"body_too_slow", http.StatusRequestTimeout, NotRun, true},
	KeyReused:          {"key_reused", http.StatusUnprocessableEntity, NotRun, false},
	LimitReached:       {"limit_reached", http.StatusTooManyRequests, NotRun, true},
	Overloaded:         {"overloaded", http.StatusTooManyRequests, NotRun, true},
	NoEndpoint:         {"no_endpoint", http.StatusServiceUnavailable, NotRun, true},
	VersionUnavailable: {"version_unavailable", http.StatusServiceUnavailable, NotRun, true},
	VersionUnknown:     {"version_unknown", http.StatusServiceUnavailable, NotRun, true},
	WaitTooLong:        {"wait_too_long", http.StatusServiceUnavailable, NotRun, true},
	Quarantined:        {"quarantined", http.StatusServiceUnavailable, NotRun, true},
	NotReady:           {"not_ready", http.StatusServiceUnavailable, NotRun, true},
	Stopping:           {"stopping", http.StatusServiceUnavailable, NotRun, true},
	DeadlineTooShort:   {"deadline_too_short", http.StatusGatewayTimeout, NotRun, false},
	DeadlinePassed:     {"deadline_passed", http.StatusGatewayTimeout, Unknown, false},
	ClaimUnavailable:   {"claim_unavailable", http.StatusServiceUnavailable, NotRun, true},
	StillRunning:       {"still_running", http.StatusConflict, Ran, true},
	OutcomeUnknown:     {"outcome_unknown", http.StatusBadGateway, Unknown, false},
	EngineFailed:       {"engine_failed", http.StatusBadGateway, Ran, false},
	AnswerCut:          {"answer_cut", http.StatusBadGateway, Ran, false},
	AnswerTooLarge:     {"answer_too_large", http.StatusBadGateway, Ran, false},
	CallerGone:         {"caller_gone", statusCallerGone, Unknown, false},
	ConfigConflict:     {"config_conflict", http.StatusConflict, NotRun, false},
	ConfigInvalid:      {"config_invalid", http.StatusUnprocessableEntity, NotRun, false},
	Unavailable:        {"unavailable", http.StatusServiceUnavailable, Unknown, true},
	Moved:              {"moved", http.StatusServiceUnavailable, Ran, true},
	BoxFull:            {"box_full", http.StatusServiceUnavailable, NotRun, true},
}

// statusCallerGone is never sent, because the caller has disconnected. 499 is the status that nginx
// logs for a closed request.
const statusCallerGone = 499

// Response returns the error response for k. An undefined kind has the response of Internal.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the name of k that callers see.
func (k Kind) String() string { return k.Response().Name }

// All returns all kinds in the order of their constants.
func All() []Kind {
	ks := make([]Kind, kindCount)
	for i := range ks {
		ks[i] = Kind(i)
	}
	return ks
}
