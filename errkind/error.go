package errkind

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Error is an error of a known kind. RetryAfter is when coming back helps; zero
// leaves the choice to the front. Err may be nil.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration
	Err        error
}

// New returns an error of kind k with a formatted message; %w wraps as in
// fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.Err }

// After returns a copy of e that tells the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns err as an *Error. A context that ended maps to DeadlinePassed or
// CallerGone, anything else unknown to Internal.
func Of(err error) *Error {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return &Error{Kind: DeadlinePassed, Message: "the deadline passed", Err: err}
	case errors.Is(err, context.Canceled):
		return &Error{Kind: CallerGone, Message: "the caller left", Err: err}
	default:
		return &Error{Kind: Internal, Message: err.Error(), Err: err}
	}
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
