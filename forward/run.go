package forward

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/eventid"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/sequence"
	"birchlink.dev/birchlink/stoporder"
	"birchlink.dev/birchlink/wait"
)

// A request fails after maxFailedDials endpoints that it could not reach, or maxRefusedDials that
// refused its connection. An unreachable endpoint costs a quarter of a second, a refusal one round
// trip. With 3 for both, 7% of the requests failed for lack of an endpoint when 39 endpoints crashed
// within 17 s and a dozen were in use at a time.
const (
	maxFailedDials  = 3
	maxRefusedDials = 12
)

// endpointTimeout is the time that a request waits for an endpoint if none is known, and
// endpointPollInterval the polling interval. The wait does not cover the start of a new endpoint,
// which takes seconds.
const (
	endpointTimeout      = 100 * time.Millisecond
	endpointPollInterval = 20 * time.Millisecond
)

// run is the state of one request.
type run struct {
	f    *Forwarder
	q    Request
	sink Sink

	tried        map[string]bool                          // incarnations of the endpoints tried
	reached      []reachedEndpoint                        // the endpoints that the request reached
	failedDials  int                                      // endpoints that could not be reached
	refusedDials int                                      // endpoints that refused the connection
	mayHaveRun   bool                                     // an attempt may have run
	late         error                                    // why the request can't be sent before the box has shut down; nil if it can
	headSent     bool                                     // the sink has received a head
	answer       sequence.Answer[string, eventid.Decimal] // what the sink has received of a stream
	lastEvent    uint64                                   // hash of the last event that the sink has received, as of package endmark
	moves        int                                      // moves of the request's run between endpoints
	credit       *credit                                  // pays for the next arrival; nil if there is none

	// continued is the stopped run that the current attempt continues, and reserved the place at its
	// destination. Both are nil in other attempts.
	continued *stoppedRun
	reserved  *balance.Attempt
	stream    *runningStream // of the current attempt; nil if it can't be moved

	after       string                // ID of the event after which the current attempt goes on
	current     int                   // identifies the run of the request that the current attempt begins or goes on with
	attemptSent time.Time             // when the current attempt was sent
	versions    rollout.VersionFilter // versions that the current attempt may use, while begun is nil
	verdict     quarantine.Verdict    // on the request, for the current attempt

	// begun is the endpoint at which the stream began, of which only the version is known if the caller takes the
	// stream up again. It is nil before the first event. No other version may continue the stream.
	begun *endpoint.Endpoint

	// hasPermit reports whether the current attempt has a permit for its endpoint's rate.
	hasPermit bool
	// releasePlace returns the place of the current attempt; nil if it needs none.
	releasePlace func(refused bool)

	// permitRetryAfter is the shortest time until an endpoint with an exhausted rate accepts a
	// request.
	permitRetryAfter time.Duration

	trace         Trace
	errorResponse *response // error response of an endpoint, returned if no other attempt succeeds

	shared     *shared      // with the successors
	successor  *successor   // set if the run is one
	successors []*successor // of the attempts that ended since the last step
}

// shared is the state that all runs of one request share.
type shared struct {
	startRecorded atomic.Bool               // recordStart was called
	succeeded     atomic.Bool               // an endpoint began an answer with success
	places        atomic.Int32              // questions for a place
	runs          atomic.Int32              // runs that attempts began
	firstSent     atomic.Pointer[time.Time] // when the request was first sent to an endpoint; nil before
	stopOrders    stoporder.Log             // that endpoints were sent
}

// sentAt returns when the request was first sent to an endpoint; zero if it was not.
func (s *shared) sentAt() time.Time {
	if t := s.firstSent.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// reachedEndpoint is an endpoint that the request reached. If it answered, it has run the request.
type reachedEndpoint struct {
	endpoint endpoint.Endpoint
	answered bool
	refused  bool // the endpoint reported that it did not run the request
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	interruption recovery.Interruption
	err          error
	done         bool        // the sink has received the complete response
	advanced     bool        // the attempt added events to the caller's stream
	hasMore      bool        // the attempt received events that the caller did not have
	answered     bool        // the endpoint sent a complete response that can't be used
	stopped      *stoppedRun // the run was stopped and continues elsewhere; nil otherwise
	superseded   bool        // a successor goes on, and the attempt was recorded
	unproven     *response   // head of a stream that ended elsewhere than after the last event; nil otherwise

	// The times of the first and the last event and their number. A response that is not a stream
	// counts as one event.
	firstEventAt, lastEventAt time.Time
	eventCount                int
	longestPause              time.Duration // between two events
	isRunning                 bool          // the quarantine knows that the stream has gone on for a while
}

// recordEvent records an event.
func (r *attemptResult) recordEvent(now time.Time) {
	if r.eventCount == 0 {
		r.firstEventAt = now
	}
	if r.eventCount > 0 {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.eventCount++
}

// interruptionName returns the name of the interruption in logs and metrics. An endpoint that
// answered with an error is not gone, although recovery treats both alike.
func (r attemptResult) interruptionName() string {
	if r.answered {
		return "failed"
	}
	return r.interruption.String()
}

// step makes one attempt. It reports whether the sink has received the complete response. An error
// ends the request.
func (r *run) step(c context.Context) (bool, error) {
	defer func() { r.returnPlace(false) }()
	ch, ok, done, err := r.prepare(c)
	if !ok {
		return done, err
	}
	r.tried[ch.Endpoint.Incarnation()] = true
	r.trace = Trace{
		Content: r.q.Content, Parts: r.q.Parts, Attempts: r.trace.Attempts + 1, Moves: r.moves, Runs: r.answer.Runs(), Choice: ch,
	}
	ch, out := r.continueMoved(c, ch, r.attempt(c, ch))
	r.returnPlace(out.interruption == recovery.Refused && !out.done)
	if out.done {
		return true, nil
	}
	if s := r.join(); s != nil {
		if !out.superseded { // the attempt had ended before
			r.recordSuperseded(c, out, ch.Endpoint)
		}
		r.trace = s.r.trace
		return s.served, s.err
	}
	if out.unproven != nil && r.proveEnd(c, ch, out.unproven) {
		return true, nil
	}
	if errors.Is(out.err, errCallerWrite) || errors.Is(c.Err(), context.Canceled) {
		if r.successor != nil {
			r.recordCancelled(out, ch.Endpoint)
		}
		return false, errkind.New(errkind.CallerGone, "the caller left: %w", out.err)
	}
	e := ch.Endpoint
	r.recordFailure(out, e)
	r.checkCrash(c, out, e)
	metrics.GetOrRegisterCounter("attempts.broke."+out.interruptionName(), r.f.Metrics).Inc(1)
	d, late := r.decideInTime(c, out, e)
	r.f.Log.Info().Str("event", "attempt broke").Str("request", r.q.Call.ID).Func(r.trace.marshalContent).Str("endpoint", e.ID).Str("version", e.Version).
		Func(r.marshalAttempts).Str("break", out.interruptionName()).Str("last_event", r.lastID()).Bool("ran", r.mayHaveRun).Err(out.err).
		Str("reason", d.Reason).Func(r.trace.marshalReported).Msg("decision")
	if late != nil {
		return false, late
	}
	if d.Step == recovery.Failover {
		return false, nil
	}
	return r.fail(d.Kind, d.Reason+": "+errText(out.err))
}

// prepare chooses the endpoint of an attempt. If there is to be none, ok is false, and the others are the results of step.
func (r *run) prepare(c context.Context) (ch balance.Choice, ok, done bool, err error) {
	if r.verdict, err = r.f.judge(r.q); err != nil {
		if r.mayHaveRun {
			done, err = r.fail(errkind.EngineFailed, err.Error())
		}
		return ch, false, done, err
	}
	if r.isExpired(c) {
		// The deadline may have passed without cancelling the context: its timer stops while
		// the box is suspended.
		done, err = r.failExpired()
		return ch, false, done, err
	}
	if err = r.checkShutdown(); err != nil {
		return ch, false, false, err
	}
	if ch, ok, err = r.chooseInTime(c); err == nil && !ok {
		done, err = r.failNoEndpoint()
	}
	return ch, ok && err == nil, done, err
}

// decide decides how the request goes on after an attempt at e that failed. If it goes on and has arrived at an endpoint,
// it gets a credit for the next arrival.
func (r *run) decide(c context.Context, out attemptResult, e endpoint.Endpoint) recovery.Decision {
	s := recovery.State{
		Interruption: out.interruption, Repeatable: r.q.Route.Repeatable(), Reattaches: recovery.MaxReattaches,
		Attempts:   r.attemptsUsed(),
		MayHaveRun: r.mayHaveRun, Expired: r.isExpired(c), MaxAttempts: r.maxAttempts(),
		HasBudget: true, ChargesRefusals: true,
	}
	if s.Repeatable && !s.Expired && s.Attempts >= s.MaxAttempts && r.awaitTermination(c) {
		s.Attempts, s.Expired = r.attemptsUsed(), r.isExpired(c)
	}
	d := recovery.Decide(s)
	if d.Step == recovery.Failover && !r.answer.CanContinue() {
		return recovery.Decision{Step: recovery.Fail, Kind: errkind.EngineFailed, Reason: "the last event has no ID after which another endpoint could go on"}
	}
	if d.Step == recovery.Failover && r.begun != nil && !r.f.hasServingVersion(r.q.Service.Name, *r.begun, r.tried) {
		return recovery.Decision{Step: recovery.Fail, Kind: errkind.VersionUnavailable, Reason: r.noVersionReason()}
	}
	if d.Step == recovery.Failover && len(r.reached) > 0 && !r.takeCredit(c, out.interruptionName(), e) {
		s.HasBudget = false
		d = recovery.Decide(s)
	}
	return d
}

// isRefusedConnection reports whether the endpoint refused the attempt's connection.
func (r attemptResult) isRefusedConnection() bool {
	return r.interruption == recovery.Unreachable && errors.Is(r.err, syscall.ECONNREFUSED)
}

// recordFailure records a failed attempt by the way it ended.
func (r *run) recordFailure(out attemptResult, e endpoint.Endpoint) {
	switch {
	case out.isRefusedConnection():
		r.refusedDials++
	case out.interruption == recovery.Unreachable:
		r.failedDials++
		if !r.f.Pool.IsLost(e.ID) {
			r.f.Balancer.Avoid(e, boottime.Now())
		}
	case out.interruption == recovery.NeverSeen:
	case out.interruption == recovery.Refused:
		r.reached = append(r.reached, reachedEndpoint{endpoint: e, refused: true})
	default:
		r.reached = append(r.reached, reachedEndpoint{endpoint: e, answered: out.answered})
		r.mayHaveRun = true
		r.recordExpiry(out)
		if out.advanced {
			// The stream has advanced and may resume at another endpoint, so an earlier
			// error response no longer applies.
			r.errorResponse = nil
		}
	}
}

// countAttempts returns the number of attempts that count against the limit of the request. From
// recovery.MaxAttempts on, all count whose processes may run.
func (r *run) countAttempts() int {
	n, mayRun := 0, 0
	for _, s := range r.reached {
		if r.isCounted(s) {
			n++
		}
		if !r.f.hasEnded(s.endpoint) {
			mayRun++
		}
	}
	if mayRun >= recovery.MaxAttempts {
		return recovery.MaxAttempts
	}
	return n
}

// attemptsUsed returns the number of attempts that count against the limit of the request, including those that reached
// no endpoint.
func (r *run) attemptsUsed() int {
	return r.countAttempts() + (max(r.failedDials-maxFailedDials+1, 0)+max(r.refusedDials-maxRefusedDials+1, 0))*recovery.MaxAttempts
}

// isCounted reports whether an attempt counts against the limit of the request.
func (r *run) isCounted(s reachedEndpoint) bool { return r.exemption(s) == "" }

// exemption returns why an attempt does not count against the limit of the request, or "" if it does. An attempt counts as
// long as its process may run. One that the endpoint refused counts as long as the endpoint serves.
func (r *run) exemption(s reachedEndpoint) string {
	switch {
	case s.answered:
		return ""
	case s.refused && !r.f.isServing(s.endpoint):
		return "refused"
	case r.f.hasEnded(s.endpoint):
		return "ended"
	default:
		return ""
	}
}

// marshalAttempts adds to a log entry how many attempts count against the limit, and for which endpoints they don't, each with
// the reason.
func (r *run) marshalAttempts(e *zerolog.Event) {
	e.Int("attempt", len(r.reached)).Int("counted", r.countAttempts()).Int("max_attempts", r.maxAttempts())
	var exempt []string
	for _, s := range r.reached {
		if x := r.exemption(s); x != "" {
			exempt = append(exempt, s.endpoint.ID+" "+x)
		}
	}
	if len(exempt) > 0 {
		e.Strs("not_counted", exempt)
	}
}

// isExpired reports whether the request was cancelled or its deadline has passed.
func (r *run) isExpired(c context.Context) bool {
	return c.Err() != nil || boottime.Until(r.q.Expires) <= 0
}

// failExpired ends a request whose deadline has passed before another attempt.
func (r *run) failExpired() (bool, error) {
	if r.mayHaveRun {
		return r.fail(errkind.DeadlinePassed, "deadline passed")
	}
	return r.fail(errkind.DeadlineTooShort, "deadline passed before it ran")
}

// maxAttempts returns the number of endpoints to which the request may be sent.
func (r *run) maxAttempts() int { return max(r.q.Route.MaxAttempts, 1) }

// fail ends a request for which no attempt succeeded. If an endpoint sent an error response, the
// sink gets that response instead of an error of this box.
func (r *run) fail(k errkind.Kind, reason string) (bool, error) {
	if r.errorResponse != nil && !r.headSent && r.mayAnswer() {
		r.f.Log.Info().Str("event", "answer").Str("request", r.q.Call.ID).Int("status", r.errorResponse.status).Str("reason", reason).
			Msg("returning the endpoint's error response")
		if err := r.sink.Response(r.errorResponse.status, r.errorResponse.header, r.errorResponse.body); err != nil {
			return false, errkind.New(errkind.CallerGone, "the caller left: %w", err)
		}
		return true, nil
	}
	if r.mayHaveRun && k.Response().Run == errkind.NotRun {
		k = errkind.EngineFailed
		if !r.q.Route.Repeatable() {
			k = errkind.OutcomeUnknown
		}
	}
	if k == errkind.DeadlineTooShort && r.f.Admission.DeadlineCheck && boottime.Until(r.q.Expires) <= 0 {
		// The request did not run, so the caller may return.
		return false, r.refuse(r.trace.Choice, admission.Input{}, admission.Decide(admission.Input{}))
	}
	err := errkind.New(k, "%s", reason)
	switch k {
	case errkind.NoEndpoint:
		err = err.WithRetryAfter(cmp.Or(r.f.retryAfter(r.q.Service.Name), r.permitRetryAfter))
	case errkind.VersionUnavailable:
		err = err.WithRetryAfter(r.versionRetryAfter())
	}
	return false, err
}

// choose picks an endpoint that was not tried and for which it gets a permit. If no endpoint is
// known, it waits up to endpointTimeout for one, and up to settleTimeout if those that are may be used then.
func (r *run) choose(c context.Context) (balance.Choice, bool) {
	q := r.newQuery()
	p := permitState{started: boottime.Now()}
	r.versions = r.f.Rollouts.PickVersion(r.q.Service.Name, len(r.reached)+r.failedDials+r.refusedDials > 0, boottime.Now())
	deadline := boottime.Now().Add(endpointTimeout)
	settled := boottime.Now().Add(min(settleTimeout, boottime.Until(r.q.Expires)/2))
	for {
		ch, known, ok := r.find(q)
		if ok && r.acquirePlace(c, &p, ch.Endpoint) && r.acquirePermit(c, &p, ch.Endpoint) {
			return ch, true
		}
		r.permitRetryAfter, q.UnlimitedOnly = max(p.retryAfter, p.placeRetryAfter()), p.isTimedOut()
		if len(p.full) > 0 && (!ok || len(p.full) == maxPlaceQuestions) {
			ok = r.awaitPlace(c, &p)
		}
		if q.Skip = r.skipped(&p); ok {
			continue
		}
		if c.Err() == nil && len(r.unsettled()) > 0 && boottime.Now().Before(settled) {
			wait.For(c, settlePollInterval)
			continue
		}
		if known || r.begun != nil || len(r.reached)+r.failedDials+r.refusedDials > 0 || boottime.Now().After(deadline) || c.Err() != nil {
			return balance.Choice{}, false
		}
		wait.For(c, endpointPollInterval)
	}
}

// skipped returns the endpoints that were tried or have no place for the request now.
func (r *run) skipped(p *permitState) map[string]bool {
	if len(p.full) == 0 {
		return r.tried
	}
	out := maps.Clone(r.tried)
	maps.Copy(out, p.full)
	return out
}

// find chooses among the endpoints assigned to this box or, if none of them accepts the request,
// among all endpoints of the service. It reports in known whether there are any endpoints.
func (f *Forwarder) find(service string, q balance.Query) (ch balance.Choice, known, ok bool) {
	es, all := f.Roster.Subset(service)
	if k := q.PreferredKey(); k != "" && !all {
		q.Preferred, _ = f.Roster.Preferred(service, k)
	}
	ch, ok = f.Balancer.Choose(es, q, boottime.Now())
	if ok || all {
		return ch, len(es) > 0, ok
	}
	ch, ok = f.Balancer.Choose(f.Roster.Serving(service), q, boottime.Now())
	return ch, true, ok
}

func (r *run) newQuery() balance.Query {
	q := balance.Query{
		DataCentre: r.f.DataCentre, Engine: r.q.Service.Engine != nil, Skip: r.tried, EndpointLost: r.mayHaveRun || r.failedDials > 0,
		Objective: r.q.Route.LatencyObjective, GapTarget: r.q.Route.GapTarget, Events: r.expectedEvents(),
		Parts: r.q.Call.Parts, Prompt: r.q.Call.PromptTokens,
	}
	// The last part is specific to the request or its session, so it is not shared.
	q.SharedParts = max(len(q.Parts)-1, 0)
	n := 0
	for _, p := range q.Parts {
		n += p.Tokens
	}
	q.Prompt = max(q.Prompt, n)
	if !r.mayAnswer() && r.isStream() {
		q.MaxSilence = maxSuccessorSilence
	}
	return q
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// expectedEvents returns how many events the answer is expected to have: as many as the caller
// expects or, without its estimate, half of what it allows.
func (r *run) expectedEvents() float64 {
	e := r.q.Service.Engine
	if e == nil {
		return 0
	}
	tokens := float64(r.q.Call.ExpectedTokens)
	if tokens == 0 {
		tokens = float64(r.q.Call.AnswerTokens) / 2
	}
	return tokens / float64(max(e.TokensPerEvent, 1))
}
