package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/wait"
)

// maxDials bounds the endpoints of one request that could not be reached, and maxRefusals
// those that refused the connection: the former cost a quarter of a second each, the latter
// a round trip. With 3 for both, 7 in 100 requests were refused for want of an endpoint
// while 39 of a dozen at a time ended in 17 s (counted in the log of that time).
const (
	maxDials    = 3
	maxRefusals = 12
)

// noneWait is how long a request waits for an endpoint where none is known, and
// nonePause the time between looks. An order for one takes seconds.
const (
	noneWait  = 100 * time.Millisecond
	nonePause = 20 * time.Millisecond
)

// run is one request on its way.
type run struct {
	f    *Forwarder
	q    Request
	sink Sink

	skip     map[string]bool // endpoints that were tried
	sent     []reached       // the endpoints that the request reached
	dials    int             // that reached none
	refusals int             // of connections, by endpoints whose process has ended
	ran      bool            // an attempt may have run
	counted  bool
	headSent bool
	last     string // the last event that the caller has

	// permitted says that the attempt under way has a permit of its endpoint's rate.
	permitted bool
	// back is when the first endpoint is worth another try whose rate was found to be used up.
	back time.Duration

	trace Trace
	held  *whole // a failure that an endpoint answered, if nothing better comes
}

// reached is an endpoint that the request reached. One that answered has run it.
type reached struct {
	endpoint endpoint.Endpoint
	answered bool
}

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// ended is how an attempt ended.
type ended struct {
	breakage recovery.Interruption
	err      error
	done     bool // the sink has the whole answer
	progress bool // it added events to the caller's stream
	answered bool // with a whole answer, that is of no use

	// When the first and the last event came, and how many; a whole answer is one.
	first, last time.Time
	events      int
}

// came notes that an event came.
func (e *ended) came(now time.Time) {
	if e.events == 0 {
		e.first = now
	}
	e.last = now
	e.events++
}

// name is what logs and metrics call the end of an attempt. An endpoint that answered a
// failure is not gone, though what follows is the same.
func (e ended) name() string {
	if e.answered {
		return "failed"
	}
	return e.breakage.String()
}

// step makes one attempt. It reports whether the request is done.
func (r *run) step(c context.Context) (bool, error) {
	if err := r.f.Check(r.q); err != nil {
		if r.ran {
			return r.fail(errkind.EngineFailed, err.Error())
		}
		return false, err
	}
	if r.expired(c) {
		// The timer of its context stands still while the box is suspended.
		return r.late()
	}
	ch, ok := r.choose(c)
	if !ok {
		return r.fail(errkind.NoEndpoint, "no endpoint of "+r.q.Service.Name+" is left")
	}
	e := ch.Endpoint
	r.skip[e.Incarnation()] = true
	r.trace = Trace{Content: r.trace.Content, Attempts: r.trace.Attempts + 1, Choice: ch}
	if len(r.sent) > 0 && !r.f.Budget.Spend(r.q.Service.Name, boottime.Now()) {
		return r.fail(errkind.Overloaded, "the service's retries are used up")
	}
	r.f.Quarantine.RecordSend(r.q.Content, boottime.Now())
	out := r.attempt(c, ch)
	if out.done {
		return true, nil
	}
	if errors.Is(out.err, errSink) || errors.Is(c.Err(), context.Canceled) {
		return false, errkind.New(errkind.CallerGone, "the caller left: %w", out.err)
	}
	r.note(out, e)
	r.suspect(c, out, e)
	metrics.GetOrRegisterCounter("attempts.broke."+out.name(), r.f.Metrics).Inc(1)
	d := recovery.Decide(recovery.State{
		Interruption: out.breakage, Repeatable: r.q.Route.Repeatable(), Reattaches: recovery.MaxReattaches,
		Attempts: r.attempts() + (max(r.dials-maxDials+1, 0)+max(r.refusals-maxRefusals+1, 0))*recovery.MaxAttempts, MayHaveRun: r.ran,
		Expired: r.expired(c), MaxAttempts: r.limit(),
		HasBudget:       out.breakage == recovery.Unreachable || out.breakage == recovery.NeverSeen || r.f.Budget.Allowed(r.q.Service.Name, boottime.Now()),
		ChargesRefusals: true,
	})
	r.f.Log.Info().Str("event", "attempt broke").Str("request", r.q.Call.ID).Stringer("content", r.trace.Content).Str("endpoint", e.ID).Int("attempt", len(r.sent)).
		Str("break", out.name()).Str("last_event", r.last).Bool("ran", r.ran).Err(out.err).Str("reason", d.Reason).Func(r.trace.said).Msg("decision")
	if d.Step == recovery.Failover {
		return false, nil
	}
	return r.fail(d.Kind, d.Reason+": "+errText(out.err))
}

// note counts an attempt by how it ended.
func (r *run) note(out ended, e endpoint.Endpoint) {
	switch {
	case errors.Is(out.err, syscall.ECONNREFUSED):
		r.refusals++
	case out.breakage == recovery.Unreachable:
		r.dials++
		r.f.Book.Avoid(e, boottime.Now())
	case out.breakage == recovery.NeverSeen:
	case out.breakage == recovery.Refused:
		r.sent = append(r.sent, reached{endpoint: e})
	default:
		r.sent = append(r.sent, reached{e, out.answered})
		r.ran = true
		if out.progress {
			// A stream that went on here may go on there: what it has is kept.
			r.held = nil
		}
	}
}

// attempts counts the endpoints that the request reached, without those that
// have left since without an answer: what they had is lost, whatever is done. All
// count once there have been more than a request can use.
func (r *run) attempts() int {
	if len(r.sent) >= recovery.MaxAttempts {
		return recovery.MaxAttempts
	}
	n := 0
	for _, s := range r.sent {
		if s.answered || r.f.serves(s.endpoint) {
			n++
		}
	}
	return n
}

// expired reports whether the answer is of no more use.
func (r *run) expired(c context.Context) bool {
	return c.Err() != nil || boottime.Until(r.q.Expires) <= 0
}

// late ends a request whose time is over before another attempt.
func (r *run) late() (bool, error) {
	if r.ran {
		return r.fail(errkind.DeadlinePassed, "deadline passed")
	}
	return r.fail(errkind.DeadlineShort, "deadline passed before it ran")
}

// limit is the number of endpoints that the request may be sent to.
func (r *run) limit() int { return max(r.q.Route.MaxAttempts, 1) }

// fail ends a request that no attempt answered. What an endpoint itself said of
// a failure is passed on in place of an error of this box, where there is one.
func (r *run) fail(k errkind.Kind, reason string) (bool, error) {
	if r.held != nil && !r.headSent {
		r.f.Log.Info().Str("event", "answer").Str("request", r.q.Call.ID).Int("status", r.held.status).Str("reason", reason).Msg("the endpoint's own failure")
		if err := r.sink.Whole(r.held.status, r.held.header, r.held.body); err != nil {
			return false, errkind.New(errkind.CallerGone, "the caller left: %w", err)
		}
		return true, nil
	}
	if r.ran && k.Answer().Run == errkind.NotRun {
		k = errkind.EngineFailed
		if !r.q.Route.Repeatable() {
			k = errkind.OutcomeUnknown
		}
	}
	err := errkind.New(k, "%s", reason)
	if k == errkind.NoEndpoint {
		err = err.After(cmp.Or(r.f.back(r.q.Service.Name), r.back))
	}
	return false, err
}

// choose picks an endpoint that was not tried and that the request may be sent to, and waits a
// moment where none is known.
func (r *run) choose(c context.Context) (balance.Choice, bool) {
	q := r.query()
	p := permits{began: boottime.Now()}
	pass := r.f.Rollouts.PickVersion(r.q.Service.Name, len(r.sent)+r.dials+r.refusals > 0, boottime.Now())
	end := boottime.Now().Add(noneWait)
	for {
		ch, some, ok := r.f.findFor(r.q.Service.Name, q, pass)
		if ok && r.permit(c, &p, ch.Endpoint) {
			return ch, true
		}
		r.back, q.UnlimitedOnly = p.first, p.over()
		if ok {
			continue
		}
		if some || len(r.sent)+r.dials+r.refusals > 0 || boottime.Now().After(end) || c.Err() != nil {
			return balance.Choice{}, false
		}
		wait.For(c, nonePause)
	}
}

// find chooses among the endpoints that this box works with or, if none of these takes the call,
// among all of the service. It also reports whether there are any.
func (f *Forwarder) find(service string, q balance.Query) (ch balance.Choice, some, ok bool) {
	es, whole := f.Roster.Part(service)
	if k := q.PreferredKey(); k != "" && !whole {
		q.Preferred, _ = f.Roster.Home(service, k)
	}
	ch, ok = f.Book.Choose(es, q, boottime.Now())
	if ok || whole {
		return ch, len(es) > 0, ok
	}
	ch, ok = f.Book.Choose(f.Roster.Serving(service), q, boottime.Now())
	return ch, true, ok
}

func (r *run) query() balance.Query {
	q := balance.Query{
		DataCentre: r.f.DataCentre, Engine: r.q.Service.Engine != nil, Skip: r.skip, EndpointLost: r.ran || r.dials > 0,
		Objective: r.q.Route.Objective,
		Parts:     r.q.Call.Parts, Prompt: r.q.Call.PromptTokens,
	}
	// The last part belongs to the request or to its session.
	q.SharedParts = max(len(q.Parts)-1, 0)
	n := 0
	for _, p := range q.Parts {
		n += p.Tokens
	}
	q.Prompt = max(q.Prompt, n)
	return q
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
