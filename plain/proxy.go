// Package plain carries calls to plain services: one endpoint after another
// where that is safe, and only whole answers back.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/observer"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/rest"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/suspects"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service.
const Name = "plain"

// The bounds of a call.
const (
	maxAnswer   = 4 << 20
	maxAttempts = 3
	dialLimit   = time.Second
	noneWait    = 250 * time.Millisecond
)

// Request is one call of a plain service.
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
}

// Admission returns what admission needs to know of the request.
func (q Request) Admission() admission.Request {
	return admission.Request{Account: q.Account, Kind: q.Kind, Weight: q.Weight, Rate: q.Rate, Plain: true}
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Box    string
}

// Proxy is the service of one box.
type Proxy struct {
	view      *view.View
	members   *member.Service
	follower  *follower.Follower
	decisions *decisions.Log
	admission *admission.Admission
	fresh     *observer.Observer
	suspects  *suspects.Service
	reused    *http.Client
	single    *http.Client
	live      atomic.Int64
}

// New returns the proxy of a box.
func New() *Proxy {
	d := net.Dialer{Timeout: dialLimit}
	// The library sends a request again by itself when a connection that was
	// used before breaks. What may not be repeated gets a new connection.
	return &Proxy{
		reused: &http.Client{CheckRedirect: asIs, Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 32, DisableCompression: true}},
		single: &http.Client{CheckRedirect: asIs, Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}},
	}
}

func asIs(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Name returns the service's name.
func (p *Proxy) Name() string { return Name }

// Start finds the services that the calls need.
func (p *Proxy) Start(_ context.Context, k *kernel.Kernel) error {
	return errors.Join(
		kernel.Bind(k, view.Name, &p.view),
		kernel.Bind(k, member.Name, &p.members),
		kernel.Bind(k, follower.Name, &p.follower),
		kernel.Bind(k, decisions.Name, &p.decisions),
		kernel.Bind(k, admission.Name, &p.admission),
		kernel.Bind(k, observer.Name, &p.fresh),
		kernel.Bind(k, suspects.Name, &p.suspects),
	)
}

// Stop ends idle connections.
func (p *Proxy) Stop(context.Context) error {
	p.reused.CloseIdleConnections()
	return nil
}

// Live returns how many calls are under way.
func (p *Proxy) Live() int { return int(p.live.Load()) }

// Do carries a call to its whole answer.
func (p *Proxy) Do(c context.Context, q Request) (*Response, error) {
	p.live.Add(1)
	defer p.live.Add(-1)
	c, cancel := context.WithDeadline(c, q.Deadline)
	defer cancel()
	avoid := map[string]bool{}
	h := q.content()
	st := recovery.State{Repeatable: q.Repeatable, Tries: recovery.MaxTries}
	for st.Attempts = 1; ; st.Attempts++ {
		s, err := p.wait(c, q, avoid, st)
		if err != nil {
			return nil, err
		}
		if err := p.suspects.Check(h); err != nil {
			return nil, unrun(err, st)
		}
		a, b, err := p.attempt(c, q, s, st.Attempts)
		if err == nil {
			p.answered(h, a)
			return a, nil
		}
		if b == recovery.Cut && c.Err() == nil {
			p.suspects.RecordFailure(c, h, s.ProcessID(), s.Address)
		}
		if errkind.Is(err, errkind.AnswerTooLarge) {
			return nil, err
		}
		if err := p.again(c, q, &st, b, s.Name, err); err != nil {
			return nil, err
		}
		avoid[s.Name] = true
	}
}

// content returns what a call asks for, whatever its ID is.
func (q Request) content() content.Hash {
	return content.Of(q.Account, &call.Call{Method: q.Method, Host: q.Service, Target: q.Path, Body: q.Body})
}

// answered notes a whole answer. A failure may come of a service that did not begin to run the
// call.
func (p *Proxy) answered(h content.Hash, a *Response) {
	if a.Status < http.StatusInternalServerError {
		p.suspects.RecordAnswer(h)
	}
}

// unrun returns the error of a call that goes to no further endpoint; only if none has run it may
// that be said.
func unrun(err error, st recovery.State) error {
	if st.Ran {
		return errkind.New(errkind.EngineFailed, "%w", err)
	}
	return err
}

// again returns nil if the call may go to another endpoint.
func (p *Proxy) again(c context.Context, q Request, st *recovery.State, b recovery.Break, box string, cause error) error {
	st.Break, st.Expired = b, c.Err() != nil
	st.Ran = st.Ran || b != recovery.Unreachable && b != recovery.Refused
	st.Budget = b == recovery.Unreachable || st.Attempts < maxAttempts && p.admission.Retry(q.Account)
	d := recovery.Decide(*st)
	p.decisions.Record(decisions.Decision{Subject: q.ID, Event: "recover", Choice: box, Attempt: st.Attempts, Reason: d.Reason + ": " + cause.Error(), Workload: q.Service})
	switch d.Step {
	case recovery.Elsewhere:
		return nil
	case recovery.Stop:
		// A plain service has no cancel, so nothing can be confirmed.
		return errkind.New(errkind.OutcomeUnknown, "the connection broke after the call was sent: %w", cause)
	default:
		return errkind.New(d.Kind, "%s: %w", d.Reason, cause)
	}
}

// wait chooses an endpoint, and waits for one until the deadline if the call
// was accepted while there was none.
func (p *Proxy) wait(c context.Context, q Request, avoid map[string]bool, st recovery.State) (*view.EndpointState, error) {
	for {
		p.fresh.Ensure(c)
		if s := p.choose(q, avoid, st.Attempts); s != nil {
			return s, nil
		}
		clear(avoid)
		if left := p.resting(q); left > time.Until(q.Deadline) {
			return nil, noneLeft(q, st).After(left)
		}
		t := time.NewTimer(noneWait)
		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return nil, noneLeft(q, st)
		}
	}
}

// noneLeft is the error of a call for which no endpoint is left in time.
func noneLeft(q Request, st recovery.State) *errkind.Error {
	k := errkind.NoEndpoint
	if st.Ran {
		k = errkind.OutcomeUnknown
	}
	return errkind.New(k, "no endpoint of %s until the deadline", q.Service)
}

// resting returns when the first endpoint of a service takes calls again, if all have asked for
// rest.
func (p *Proxy) resting(q Request) time.Duration {
	d := p.follower.Current()
	if d == nil {
		return 0
	}
	ss := p.allowed(d, q.Service, nil, func(s *view.EndpointState) bool { return s.State == fleet.Live })
	return rest.MinRemaining(&p.view.BackOffs, ss, (*view.EndpointState).ProcessID, boottime.Now())
}

// choose picks an endpoint: of this data centre first, of others if there is
// none here.
func (p *Proxy) choose(q Request, avoid map[string]bool, attempt int) *view.EndpointState {
	d := p.follower.Current()
	if d == nil {
		return nil
	}
	dc := p.members.Self().DataCentre
	now := boottime.Now()
	takes := func(s *view.EndpointState) bool { return p.view.BackOffs.Remaining(s.ProcessID(), now) == 0 }
	ss := p.allowed(d, q.Service, avoid, func(s *view.EndpointState) bool { return s.DataCentre == dc && s.Usable() && takes(s) })
	if len(ss) == 0 {
		ss = p.allowed(d, q.Service, avoid, func(s *view.EndpointState) bool { return s.State == fleet.Live && takes(s) })
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

func (p *Proxy) allowed(d *config.Document, service string, avoid map[string]bool, ok func(*view.EndpointState) bool) []*view.EndpointState {
	var out []*view.EndpointState
	for _, s := range p.view.Endpoints() {
		if may, _ := d.Allowed(service, s.Box); s.Role != fleet.ServiceRole || s.Service != service || avoid[s.Name] || !ok(s) || !may {
			continue
		}
		out = append(out, s)
	}
	return out
}

// attempt makes the call once and reads its whole answer.
func (p *Proxy) attempt(c context.Context, q Request, s *view.EndpointState, n int) (*Response, recovery.Break, error) {
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	var wrote atomic.Bool
	x := httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	r, err := http.NewRequestWithContext(x, q.Method, "http://"+s.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, recovery.Unreachable, fmt.Errorf("make call: %w", err)
	}
	r.Header = outgoing(q, n)
	h := p.single
	if q.Repeatable {
		h = p.reused
	}
	a, err := h.Do(r)
	if err != nil {
		if wrote.Load() {
			return nil, recovery.Cut, fmt.Errorf("call %s: %w", s.Name, err)
		}
		return nil, recovery.Unreachable, fmt.Errorf("reach %s: %w", s.Name, err)
	}
	defer a.Body.Close()
	if a.StatusCode == http.StatusServiceUnavailable {
		// A service that refuses is the least loaded: it would get every call.
		p.view.BackOffs.Extend(s.ProcessID(), rest.ParseRetryAfter(a.Header), boottime.Now())
	}
	return whole(a, s.Name)
}

// whole reads an answer to its end: one that is cut is no answer.
func whole(a *http.Response, box string) (*Response, recovery.Break, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return nil, recovery.Cut, fmt.Errorf("the answer of %s was cut: %w", box, err)
	}
	if len(b) > maxAnswer {
		return nil, recovery.Cut, errkind.New(errkind.AnswerTooLarge, "the answer of %s is over %d bytes", box, maxAnswer)
	}
	if a.ContentLength >= 0 && int64(len(b)) != a.ContentLength && a.Request.Method != http.MethodHead {
		return nil, recovery.Cut, errors.New("the answer of " + box + " is short")
	}
	return &Response{Status: a.StatusCode, Header: a.Header, Body: b, Box: box}, 0, nil
}

// hopHeaders belong to one connection or to birchlink and are not passed on.
// Without its key the library cannot take a call for one to be repeated.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Birchlink-Ticket", "Birchlink-Repeatable", "Accept-Encoding",
}

func outgoing(q Request, attempt int) http.Header {
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
	h.Set("Birchlink-Request-Id", q.ID)
	h.Set("Birchlink-Attempt", fmt.Sprint(attempt))
	return h
}
