// Package serviceproxy forwards requests to plain services, which are services that return one complete
// response instead of a token stream. It retries a request at another endpoint if this cannot run a
// non-repeatable request twice, and passes on only complete responses.
package serviceproxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/answertimes"
	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/liveness"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/observer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/suspects"
	"birchlink.dev/birchlink/view"
)

// Name is the name under which the service is registered in the kernel.
const Name = "plain"

const (
	maxResponseBytes = 4 << 20
	maxAttempts      = 3
	dialTimeout      = time.Second
	pollInterval     = 250 * time.Millisecond // between choices while no endpoint is available
)

// Request is a request to a plain service. Weight and Rate are those of its account; Rate is in
// requests per second.
type Request struct {
	ID         string
	Account    string
	Service    string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	Kind       admission.Kind
	Weight     float64
	Rate       float64
	Deadline   time.Time

	mayHaveRun bool // an earlier attempt may have run
}

// Admission returns the request in the form that admission control needs.
func (q Request) Admission() admission.Request {
	return admission.Request{Account: q.Account, Kind: q.Kind, Weight: q.Weight, Rate: q.Rate, Plain: true}
}

// Response is a complete response. Box is the name of the endpoint that sent it.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Box    string
}

// Proxy forwards requests to plain services on behalf of one box. Window tells until when a request may first be sent; nil stands for
// a box that does not shut down.
type Proxy struct {
	Window *shutdown.Window

	answers        answertimes.Tracker
	prober         liveness.Prober
	questions      *http.Client // opens a connection for each request
	view           *view.View
	members        *member.Service
	follower       *configsync.Follower
	decisions      *decisions.Log
	admission      *admission.Admission
	noticeObserver refresher
	suspects       *suspects.Service
	pooled         *http.Client
	unpooled       *http.Client
	inFlight       atomic.Int64
}

// refresher brings a box's knowledge of reclaim notices up to date.
type refresher interface {
	EnsureFresh(c context.Context) bool
}

// New returns a Proxy.
func New() *Proxy {
	// http.Transport retries some requests when a reused connection breaks. Requests that are not
	// repeatable therefore get a new connection.
	return &Proxy{
		questions: newClient(&http.Transport{DialContext: dial(false), DisableKeepAlives: true}),
		pooled:    newClient(&http.Transport{DialContext: dial(true), MaxIdleConnsPerHost: 32, DisableCompression: true}),
		unpooled:  newClient(&http.Transport{DialContext: dial(false), DisableKeepAlives: true, DisableCompression: true}),
	}
}

// newClient returns a client that follows no redirects, bounds the heads of responses, and fails if the status of one is not valid.
func newClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = jsonhttp.MaxHeader
	return httpstatus.NewClient(t, 0)
}

// Name returns the service's name.
func (p *Proxy) Name() string { return Name }

// Start binds the services that the proxy uses.
func (p *Proxy) Start(_ context.Context, k *kernel.Kernel) error {
	return errors.Join(
		kernel.Bind(k, view.Name, &p.view),
		kernel.Bind(k, member.Name, &p.members),
		kernel.Bind(k, configsync.Name, &p.follower),
		kernel.Bind(k, decisions.Name, &p.decisions),
		kernel.Bind(k, admission.Name, &p.admission),
		kernel.Bind(k, observer.Name, &p.noticeObserver),
		kernel.Bind(k, suspects.Name, &p.suspects),
	)
}

// Stop closes idle connections.
func (p *Proxy) Stop(context.Context) error {
	p.pooled.CloseIdleConnections()
	return nil
}

// InFlight returns the number of requests in progress.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// Do forwards a request and returns its complete response. It retries the request at other endpoints
// until the request's deadline, where recovery.Decide allows that. The error is of kind Stopping if the box shuts down and the request
// has not run and can't end in time.
func (p *Proxy) Do(c context.Context, q Request) (*Response, error) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	c, cancel := context.WithDeadline(c, q.Deadline)
	defer cancel()
	avoid := map[string]bool{}
	items := q.items()
	st := recovery.State{Repeatable: q.Repeatable, Reattaches: recovery.MaxReattaches}
	for st.Attempts = 1; ; st.Attempts++ {
		s, err := p.waitForEndpoint(c, q, avoid, st)
		if err != nil {
			return nil, err
		}
		a := quarantine.Attempt{Request: items, Endpoint: s.ProcessID()}
		if err := p.admit(a); err != nil {
			return nil, quarantineError(err, st)
		}
		sent := boottime.Now()
		q.mayHaveRun = st.MayHaveRun
		resp, interruption, err := p.attempt(c, q, s, st.Attempts)
		p.recordAnswerTime(c, q, sent, err)
		if err == nil {
			p.recordResponse(items, sent, resp)
			return resp, nil
		}
		if interruption == recovery.Disconnected && c.Err() == nil {
			p.suspects.RecordFailure(c, a, sent, s.Address)
		}
		if errkind.Is(err, errkind.AnswerTooLarge) {
			return nil, err
		}
		if err := p.checkRetry(c, q, &st, interruption, s.Name, err); err != nil {
			return nil, stoppingError(c, st, err)
		}
		avoid[s.Name] = true
	}
}

// items returns what the request may have in common with others that crash endpoints: its content without its ID.
func (q Request) items() quarantine.Request {
	return quarantine.Request{Content: requesthash.HashOf(q.Account, &call.Call{Method: q.Method, Host: q.Service, Target: q.Path, Body: q.Body})}
}

// admit returns an error if an attempt must not be sent. The software versions of plain services are not known.
func (p *Proxy) admit(a quarantine.Attempt) error {
	versions := []string{""}
	if _, err := p.suspects.Check(a.Request, versions); err != nil {
		return err
	}
	if !p.suspects.Admit(a, versions) {
		return errkind.New(errkind.Quarantined, "another request with this content is tried now").WithRetryAfter(admitRetryAfter)
	}
	return nil
}

// admitRetryAfter is the retry time of a request that lost the only trial to another one.
const admitRetryAfter = time.Second

// recordResponse records a complete response for the quarantine. A response with a 5xx status is
// ignored, because the service may have failed before it ran the request.
func (p *Proxy) recordResponse(r quarantine.Request, sent time.Time, resp *Response) {
	if resp.Status < http.StatusInternalServerError {
		p.suspects.RecordAnswer(r, "", sent)
	}
}

// quarantineError returns the error of a request that is refused because of its content. If an
// attempt may have run, the error must not state that the request did not run.
func quarantineError(err error, st recovery.State) error {
	if st.MayHaveRun {
		return errkind.New(errkind.EngineFailed, "%w", err)
	}
	return err
}

// checkRetry returns nil if the request may be sent to another endpoint after an attempt failed with
// cause, and otherwise the error for the caller.
func (p *Proxy) checkRetry(c context.Context, q Request, st *recovery.State, interruption recovery.Interruption, box string, cause error) error {
	st.Interruption, st.Expired = interruption, c.Err() != nil
	st.MayHaveRun = st.MayHaveRun || interruption != recovery.Unreachable && interruption != recovery.Refused
	st.HasBudget = interruption == recovery.Unreachable || st.Attempts < maxAttempts && p.admission.Retry(q.Account)
	d := recovery.Decide(*st)
	p.decisions.Record(decisions.Decision{
		Subject: q.ID, Event: "recover", Choice: box, Attempt: st.Attempts,
		Reason: d.Reason + ": " + cause.Error(), Workload: q.Service,
	})
	switch d.Step {
	case recovery.Failover:
		return nil
	case recovery.Stop:
		// Plain services cannot cancel a request, so it cannot be confirmed that the attempt stopped.
		return errkind.New(errkind.OutcomeUnknown, "the connection broke after the call was sent: %w", cause)
	default:
		return errkind.New(d.Kind, "%s: %w", d.Reason, cause)
	}
}

// waitForEndpoint chooses an endpoint. If none is available, it polls until one is or the deadline
// passes, and fails at once if all endpoints back off beyond the deadline.
func (p *Proxy) waitForEndpoint(c context.Context, q Request, avoid map[string]bool, st recovery.State) (*view.EndpointState, error) {
	if !st.MayHaveRun {
		var cancel context.CancelFunc
		c, cancel = p.WaitContext(c, q)
		defer cancel()
	}
	for {
		p.noticeObserver.EnsureFresh(c)
		if err := p.MaySend(q); err != nil && !st.MayHaveRun {
			return nil, err
		}
		if s := p.choose(q, avoid, st.Attempts); s != nil {
			return s, nil
		}
		clear(avoid)
		if left := p.backOffLeft(q); left > time.Until(q.Deadline) {
			return nil, noEndpointError(q, st).WithRetryAfter(left)
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return nil, stoppingError(c, st, noEndpointError(q, st))
		}
	}
}

// noEndpointError returns the error of a request for which no endpoint is available before its
// deadline.
func noEndpointError(q Request, st recovery.State) *errkind.Error {
	k := errkind.NoEndpoint
	if st.MayHaveRun {
		k = errkind.OutcomeUnknown
	}
	return errkind.New(k, "no endpoint of %s until the deadline", q.Service)
}

// backOffLeft returns the time until the first back-off period of the service's endpoints ends. It
// is 0 if any endpoint does not back off or there is none.
func (p *Proxy) backOffLeft(q Request) time.Duration {
	d := p.follower.Current()
	if d == nil {
		return 0
	}
	ss := p.eligible(d, q.Service, nil, func(s *view.EndpointState) bool { return s.State == fleet.Live })
	return backoff.MinRemaining(&p.view.BackOffs, ss, (*view.EndpointState).ProcessID, boottime.Now())
}

// choose returns the least loaded endpoint in this box's data centre, or in any data centre if this
// one has none available. It returns nil if there is none at all.
func (p *Proxy) choose(q Request, avoid map[string]bool, attempt int) *view.EndpointState {
	d := p.follower.Current()
	if d == nil {
		return nil
	}
	dc := p.members.Self().DataCentre
	now := boottime.Now()
	available := func(s *view.EndpointState) bool { return p.view.BackOffs.Remaining(s.ProcessID(), now) == 0 }
	ss := p.eligible(d, q.Service, avoid, func(s *view.EndpointState) bool { return s.DataCentre == dc && s.Usable() && available(s) })
	if len(ss) == 0 {
		ss = p.eligible(d, q.Service, avoid, func(s *view.EndpointState) bool { return s.State == fleet.Live && available(s) })
	}
	ts := make([]router.Target, len(ss))
	for i, s := range ss {
		ts[i] = router.Target{Box: s.Name, Hash: s.Hash, Busy: s.EstimateRequests(), Slots: max(s.Slots, 1), TokensPerSecond: 1}
	}
	ch := router.LeastLoaded{}.Pick(ts, router.Query{})
	n := decisions.Decision{Subject: q.ID, Event: "route", Attempt: attempt, Reason: ch.Reason, Workload: q.Service}
	for _, t := range ts {
		n.Figures = append(n.Figures, decisions.Candidate{Box: t.Box, Score: float64(t.Busy) / float64(t.Slots)})
	}
	if ch.Index < 0 {
		p.decisions.Record(n)
		return nil
	}
	n.Choice = ss[ch.Index].Name
	p.decisions.Record(n)
	return ss[ch.Index]
}

// eligible returns the endpoints of a service that the configuration allows, that are not in avoid
// and that satisfy ok.
func (p *Proxy) eligible(d *config.Document, service string, avoid map[string]bool, ok func(*view.EndpointState) bool) []*view.EndpointState {
	var out []*view.EndpointState
	for _, s := range p.view.Endpoints() {
		if allowed, _ := d.Allowed(service, s.Box); s.Role != fleet.ServiceRole || s.Service != service || avoid[s.Name] || !ok(s) || !allowed {
			continue
		}
		out = append(out, s)
	}
	return out
}

// attempt sends the request to an endpoint once and reads the complete response. On an error it also
// returns how the attempt was interrupted.
func (p *Proxy) attempt(c context.Context, q Request, s *view.EndpointState, n int) (*Response, recovery.Interruption, error) {
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	var connected atomic.Bool
	var late error // why the request was not sent once there was a connection
	isSent := func() bool { return true }
	x := httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if late = p.MaySend(q); late != nil && !q.mayHaveRun {
				_ = i.Conn.Close()
				return
			}
			connected.Store(true)
			if n, ok := i.Conn.(*conn); ok {
				isSent = n.begin(len(q.Body))
			}
		},
	})
	r, err := http.NewRequestWithContext(x, q.Method, "http://"+s.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, recovery.Unreachable, fmt.Errorf("make call: %w", err)
	}
	r.Header = outgoingHeader(q, n)
	h := p.unpooled
	if q.Repeatable && len(q.Body) <= maxPooledBody {
		h = p.pooled
	}
	resp, err := h.Do(r)
	if err != nil {
		if connected.Load() {
			return nil, recovery.Disconnected, fmt.Errorf("call %s: %w", s.Name, err)
		}
		if late != nil {
			return nil, recovery.Unreachable, late
		}
		return nil, recovery.Unreachable, fmt.Errorf("reach %s: %w", s.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		// An endpoint that refuses requests has the least load. Without a back-off period it would
		// be chosen for every request.
		p.view.BackOffs.Extend(s.ProcessID(), backoff.ParseRetryAfter(resp.Header), boottime.Now())
	}
	return p.readResponse(c, resp, s, isSent)
}

// readResponse reads a response completely. A truncated response is an error, and so is one that may be.
func (p *Proxy) readResponse(c context.Context, resp *http.Response, s *view.EndpointState, isSent func() bool) (*Response, recovery.Interruption, error) {
	box := s.Name
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, recovery.Disconnected, fmt.Errorf("the answer of %s was cut: %w", box, err)
	}
	if len(b) > maxResponseBytes {
		return nil, recovery.Disconnected, errkind.New(errkind.AnswerTooLarge, "the answer of %s is over %d bytes", box, maxResponseBytes)
	}
	if resp.ContentLength >= 0 && int64(len(b)) != resp.ContentLength && resp.Request.Method != http.MethodHead {
		return nil, recovery.Disconnected, errors.New("the answer of " + box + " is short")
	}
	if !framed(resp) {
		err := errNotSent
		if isSent() {
			err = p.confirmEnd(c, resp.Header, b, s)
		}
		if err != nil {
			return nil, recovery.Disconnected, fmt.Errorf("the answer of %s has neither length nor chunks, so it may have been cut: %w", box, err)
		}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b, Box: box}, 0, nil
}

// framed reports whether a response states its end. The end of any other is the end of the connection, so a truncated one looks
// complete. The transport decompresses nothing, which would hide the length.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// droppedHeaders are not forwarded because they apply to one connection or are meant for Birchlink.
// Idempotency-Key and X-Idempotency-Key are among them because http.Transport would treat a request
// that has one as idempotent and retry it.
var droppedHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Birchlink-Ticket", "Birchlink-Repeatable", "Accept-Encoding",
}

// outgoingHeader returns the header of an attempt.
func outgoingHeader(q Request, attempt int) http.Header {
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, n := range droppedHeaders {
		h.Del(n)
	}
	h.Set("Birchlink-Request-Id", q.ID)
	h.Set("Birchlink-Attempt", fmt.Sprint(attempt))
	return h
}
