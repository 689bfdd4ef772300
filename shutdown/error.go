package shutdown

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/errkind"
)

// RefusalError is the error for a request that may no longer be sent. It wraps one of kind errkind.Stopping.
type RefusalError struct{ Decision Decision }

// Err returns a *RefusalError if the request may not be sent.
func (d Decision) Err() error {
	if d.Allowed {
		return nil
	}
	return &RefusalError{d}
}

// LateErr returns a *RefusalError if the request may not be sent because of the shutdown, and nil if its deadline has passed.
func (d Decision) LateErr() error {
	if d.Reason == Expired {
		return nil
	}
	return d.Err()
}

// RefusalOf returns the *RefusalError with which a context of Window.Context ended, or nil.
func RefusalOf(c context.Context) error {
	if r, ok := errors.AsType[*RefusalError](context.Cause(c)); ok {
		return r
	}
	return nil
}

// Error returns the message of the error that it wraps.
func (r *RefusalError) Error() string { return r.Unwrap().Error() }

// Unwrap returns the error for the caller. The caller may return at once, since other boxes serve.
func (r *RefusalError) Unwrap() error {
	why := map[Reason]string{
		Expired:     "the deadline has passed",
		Closed:      "it accepts no more requests",
		TooLong:     "the answer may take longer than it has left",
		NotMeasured: "it is not known how long the answer takes",
	}
	return errkind.New(errkind.Stopping, "this box stops: %s", why[r.Decision.Reason])
}

// MarshalZerologObject adds to a log event why the request was refused, and the times on which that rests: how long after the
// beginning of the shutdown the request could have been sent at the latest, when the shutdown ends, the time of a long answer, and the
// number of answers from which it is known and the age of the newest.
func (r *RefusalError) MarshalZerologObject(e *zerolog.Event) {
	d := r.Decision
	a := d.Request.Answer
	e.Str("stop_why", string(d.Reason)).Dur("stop_latest", d.Latest.Sub(d.Began)).Dur("stop_ends", d.Ends.Sub(d.Began)).
		Dur("stop_deadline", d.Request.Expires.Sub(d.Began)).Dur("answers_long", a.Long).Bool("answers_longer", a.IsBound).Int("answers_samples", a.Samples).Dur("answers_age", a.Age)
}
