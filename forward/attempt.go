package forward

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/exchange"
	"birchlink.dev/birchlink/recovery"
)

// The times for which a connection may have rested before it is used again. A
// request that may not be repeated is lost with its connection, so it gets one
// that was in use a moment ago, or a new one.
const (
	restRepeatable = 5 * time.Second
	restOnce       = time.Second
)

// attempt sends the request to one endpoint and passes on what it answers.
func (r *run) attempt(c context.Context, ch balance.Choice) ended {
	x, cancel := context.WithCancelCause(c)
	defer cancel(nil)
	rest := restOnce
	if r.q.Route.Repeatable() {
		rest = restRepeatable
	}
	e := ch.Endpoint
	a := call.Attempt{Endpoint: e.ID, Account: r.q.AccountName(), Timeout: boottime.Until(r.q.Expires), LastEventID: r.last, Priority: r.priority(ch)}
	cl := r.q.Call
	defer r.f.Meter.Begin(r.q.Service.Name, r.load(ch), boottime.Now())()
	n := r.f.Book.Begin(e, ch, boottime.Now())
	r.f.Sent(e, ch.Tokens)
	w := r.watch(cancel, ch)
	defer w.stop()
	defer r.f.flights.begin(e.Incarnation(), cancel)()
	defer r.f.Rollouts.Begin(r.q.Service.Name, e.Version)()
	sent := boottime.Now()
	ans, err := r.f.Pool.Do(x, exchange.Request{
		Address: e.Address, Method: cl.Method, Target: cl.Target, Host: cl.Host, Header: r.f.Codec.Head(cl, a), Body: cl.Body, Rest: rest,
		Still: func() bool { return r.may(e) },
		Mine:  func(h http.Header) bool { return r.f.Codec.Outcome(0, h).ID == cl.ID },
	})
	if err != nil {
		unreachable := errors.Is(err, exchange.ErrUnreachable)
		withheld := errors.Is(err, exchange.ErrWithheld)
		n.End(c.Err() == nil && !withheld, boottime.Now())
		switch {
		case unreachable:
			return ended{breakage: recovery.Unreachable, err: err}
		case withheld:
			return ended{breakage: recovery.NeverSeen, err: err}
		}
		return ended{breakage: recovery.Gone, err: cause(x, err)}
	}
	defer ans.Close()
	r.trace.First = boottime.Since(sent)
	out := r.take(ans, n, w, sent)
	r.compare(ch, out, sent)
	out.err = cause(x, out.err)
	n.End(!out.done && c.Err() == nil, boottime.Now())
	return out
}

// load is the tokens that an attempt adds to what the service has to read: nothing
// if an earlier attempt that never ran has added them.
func (r *run) load(ch balance.Choice) int {
	if len(r.sent)+r.dials+r.refusals > 0 && !r.ran {
		return 0
	}
	return ch.Tokens
}

// priority is the rank at the endpoint: the account's before the route's, and within
// these, short prompts before long ones. Shortest first keeps short answers from
// waiting for the reading of long prompts: three in a hundred of those of 1,000 to 2,000
// tokens wait for over 176 ms with it, for over 232 ms without.
func (r *run) priority(ch balance.Choice) int {
	p := r.q.Route.Priority + bits.Len(uint(ch.Tokens/shortPrompt))
	if r.q.Account != nil {
		p += 3 * r.q.Account.Priority
	}
	return p
}

// shortPrompt is the tokens up to which a prompt is short; each doubling beyond it is
// one rank less urgent.
const shortPrompt = 500

func (r *run) began(at time.Time) {
	if r.counted {
		return
	}
	r.counted = true
	if n := r.q.AccountName(); n != "" {
		r.f.Began(n, at)
	}
}

func (r *run) stream() bool { return r.q.Route.Kind == catalog.Stream }

// cause returns why an attempt was ended by this box, if it was.
func cause(x context.Context, err error) error {
	if err == nil {
		return nil
	}
	if v := context.Cause(x); v != nil {
		return v
	}
	return err
}
