package ingress

import (
	"context"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/quota"
)

// waitFraction is the part of the time left until its deadline, a third, for which a caller waits at most before it
// retries a request.
const waitFraction = 3

// admit applies the rate limit of the request's account.
func (i *Ingress) admit(c context.Context, q forward.Request) error {
	a := q.Account
	if a == nil || a.Rate <= 0 {
		return nil
	}
	question := quota.Question{
		Account: a.Name, Size: rateCost(q), Urgent: q.Route.Priority <= 0,
		Route: q.Route.Name, Content: uint64(q.Content), Wait: max(q.Expires.Sub(boottime.Now())/waitFraction, 0),
	}
	answer, arbiter := i.Limiter.Take(c, question)
	if answer.OK {
		return nil
	}
	if arbiter.Box == "" {
		return errkind.New(errkind.LimitReached, "no box that could be reached knows what account %s has left", a.Name).WithRetryAfter(answer.After)
	}
	err := errkind.New(errkind.LimitReached,
		"account %s is over its rate of %.0f with a burst of %.0f: %s, with %.3f of the rate, has %.0f left for a request of %.0f",
		a.Name, a.Rate, a.Burst, arbiter.Box, answer.Part, answer.Level, question.Size).WithRetryAfter(answer.After)
	return &limitError{err, question, answer}
}

// limitError is the refusal of a request over its account's limit.
type limitError struct {
	err      error
	question quota.Question
	answer   quota.Answer
}

func (e *limitError) Error() string { return e.err.Error() }

func (e *limitError) Unwrap() error { return e.err }

// MarshalZerologObject adds to a log event when the request may return, and whether it did.
func (e *limitError) MarshalZerologObject(l *zerolog.Event) {
	why := "no_place"
	switch {
	case e.answer.Return == quota.ReturnedEarly:
		why = "returned_early"
	case e.answer.Placed:
		why = "placed"
	case e.answer.After > e.question.Wait:
		why = "no_room_in_time"
	}
	l.Str("limit_why", why).Dur("limit_due", e.answer.After).Dur("limit_wait", e.question.Wait)
	if e.answer.Return != quota.NotReturned {
		l.Str("limit_returned", string(e.answer.Return))
	}
}

// rateCost returns what a request costs in units of its account's rate, which are tokens or requests.
func rateCost(q forward.Request) float64 {
	switch {
	case !q.Account.InTokens:
		return 1
	case q.Call.HasTokenCounts:
		return float64(q.Call.PromptTokens + q.Call.AnswerTokens)
	default:
		return float64(q.Account.DefaultTokens)
	}
}
