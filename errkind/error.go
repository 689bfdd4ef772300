package errkind

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Error is an error with a kind. Message is sent to the caller. RetryAfter is the delay after which a
// retry is useful; if it is zero, the server that sends the response chooses one. Err is the wrapped
// error and may be nil.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration
	Err        error
}

// New returns an error of kind k with a formatted message. The verb %w wraps an error, as in
// fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the name of the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.Err }

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the first *Error in err's tree. If there is none, it wraps err in an Error of kind
// DeadlinePassed for context.DeadlineExceeded, CallerGone for context.Canceled, and Internal for any
// other error.
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

// Is reports whether the first *Error in err's tree is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
