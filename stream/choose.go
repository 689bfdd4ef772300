package stream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/view"
)

// maxLoggedCandidates bounds the candidates listed in one routing decision of the log.
const maxLoggedCandidates = 4

// A request that this data centre can't admit is offered to at most maxRemoteAttempts boxes of
// other data centres. Its caller is then told to retry after remoteRetryAfter.
const (
	maxRemoteAttempts = 2
	remoteRetryAfter  = 2 * time.Second
)

// candidate is an endpoint that may run a workload, with the share of the selectors' preferences
// that it meets.
type candidate struct {
	*view.EndpointState
	preference float64
}

// endpointIndex caches the endpoints that may run each workload, for one snapshot of the fleet and
// one configuration. Selectors are evaluated once for the pair and not for each request.
type endpointIndex struct {
	snapshot *view.Snapshot
	document *config.Document
	dc       string

	mu         sync.Mutex
	byWorkload map[string][]candidate
}

// eligible returns the endpoints that may run a workload: usable, with the workload loaded, allowed
// by the selectors and in this data centre.
func (i *endpointIndex) eligible(workload string) []candidate {
	i.mu.Lock()
	defer i.mu.Unlock()
	cs, known := i.byWorkload[workload]
	if known {
		return cs
	}
	for _, s := range i.snapshot.Endpoints {
		if s.DataCentre != i.dc || !s.Usable() || !s.Serves(workload) {
			continue
		}
		if ok, _ := i.document.Allowed(workload, s.Box); ok {
			cs = append(cs, candidate{s, i.document.Preference(workload, s.Box)})
		}
	}
	if i.byWorkload == nil {
		i.byWorkload = make(map[string][]candidate)
	}
	i.byWorkload[workload] = cs
	return cs
}

// currentIndex returns the index of the current snapshot and configuration.
func (svc *Service) currentIndex(d *config.Document) *endpointIndex {
	n := svc.view.Snapshot()
	x := svc.endpointIndex.Load()
	if x == nil || x.snapshot != n || x.document != d {
		x = &endpointIndex{snapshot: n, document: d, dc: svc.dc}
		svc.endpointIndex.Store(x)
	}
	return x
}

// candidates holds the targets of one decision and their endpoints. The buffers are reused, so that
// a decision allocates nothing that grows with the fleet.
type candidates struct {
	targets   []router.Target
	endpoints []*view.EndpointState
}

// gather fills c with the endpoints of cs that may continue the stream, have a version that the verdict allows, and are neither
// in avoid nor backing off.
func (c *candidates) gather(cs []candidate, st *Stream, cachedOn string, avoid map[string]bool, v quarantine.Verdict, backOffs *backoff.BackOffs) {
	c.targets, c.endpoints = c.targets[:0], c.endpoints[:0]
	now := boottime.Now()
	noneBackingOff := backOffs.IsEmpty(now)
	for _, s := range cs {
		if avoid[s.Name] || !st.mayContinueAt(s.Box) || !v.Allows(s.Label(fleet.SoftwareLabel)) || !noneBackingOff && backOffs.Remaining(s.ProcessID(), now) > 0 {
			continue
		}
		c.endpoints = append(c.endpoints, s.EndpointState)
		c.targets = append(c.targets, router.Target{
			Box: s.Name, Hash: s.Hash, Busy: s.EstimateRequests(), Slots: s.Slots, TokensPerSecond: s.TokensPerSecond,
			Preference: s.preference, PrefixCached: s.Name == cachedOn,
		})
	}
}

// choose picks the endpoint of the next attempt, or a box in another data centre if there is none
// in this one.
func (r *run) choose(c context.Context) error {
	d := r.k.follower.Current()
	if d == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	if r.s.remoteOnly && !r.mayHaveRun {
		return r.overflow()
	}
	r.k.viewObserver.EnsureFresh(c)
	b := r.k.buffers.Get().(*candidates)
	defer r.k.buffers.Put(b)
	prefix := engine.PrefixHash(r.s.Workload, r.s.Prompt)
	cachedOn, _ := r.k.prefixes.Get(prefix)
	cs := r.k.currentIndex(d).eligible(r.s.Workload)
	v, versions, err := r.judge(cs)
	if err != nil {
		return err
	}
	b.gather(cs, r.s, cachedOn, r.avoid, v, &r.k.view.BackOffs)
	q := router.Query{
		Prefix: prefix, PromptTokens: engine.EstimatePromptTokens(r.s.Prompt), AnswerTokens: r.s.MaxTokens - r.splice.Next,
		Urgent: r.s.Kind.Urgent(), Deadline: time.Until(r.s.Deadline),
	}
	ch := r.pick(b, q)
	r.k.logRoute(r, b, ch)
	if ch.Index < 0 {
		return r.withRetryAfter(cs, r.overflow())
	}
	s := b.endpoints[ch.Index]
	r.setTarget(target{box: s.Name, incarnation: s.Incarnation, address: s.Address, endpoint: s})
	return r.admit(versions)
}

// withRetryAfter adds a Retry-After to a NoEndpoint error: the time until the first endpoint's
// back-off period is over, if all of them are backing off.
func (r *run) withRetryAfter(cs []candidate, err error) error {
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind != errkind.NoEndpoint {
		return err
	}
	left := backoff.MinRemaining(&r.k.view.BackOffs, cs, candidate.ProcessID, boottime.Now())
	return e.WithRetryAfter(left)
}

// pick returns the destination that a reclaim plan named, if it is a target, and asks the routing
// policy otherwise.
func (r *run) pick(b *candidates, q router.Query) router.Choice {
	p := r.preferredBox
	r.preferredBox = ""
	for i := range b.targets {
		if b.targets[i].Box == p {
			return router.Choice{Index: i, Reason: "the reclaim plan's destination"}
		}
	}
	return r.k.policy().Pick(b.targets, q)
}

// overflow sends the request to an entry box of another data centre. A request that came from
// another data centre is not sent on.
func (r *run) overflow() error {
	var ms []member.Member
	for _, m := range r.k.members.Up("") {
		if m.DataCentre != r.k.dc && !r.avoid[m.Box] {
			ms = append(ms, m)
		}
	}
	if r.s.remoteOnly && (len(ms) == 0 || r.lastAttempt >= maxRemoteAttempts) {
		return errkind.New(
			errkind.Overloaded, "no room for kind %s, here or in %d other boxes that were asked", r.s.Kind, r.lastAttempt,
		).WithRetryAfter(remoteRetryAfter)
	}
	if len(ms) == 0 || r.s.relayed {
		return errkind.New(errkind.NoEndpoint, "no endpoint is live, allowed and loaded with %s", r.s.Workload)
	}
	m := ms[rand.IntN(len(ms))]
	r.setTarget(target{box: m.Box, incarnation: m.Incarnation, address: m.Address})
	r.logDecision("overflow", "nothing here, data centre "+m.DataCentre+" is asked")
	return nil
}

func (svc *Service) logRoute(r *run, b *candidates, ch router.Choice) {
	d := decisions.Decision{Subject: r.s.ID, Event: "route", Reason: ch.Reason, Attempt: r.lastAttempt + 1, Workload: r.s.Workload}
	for i := range b.targets {
		if i == ch.Index {
			d.Choice = b.targets[i].Box
		}
		if i == ch.Index || len(d.Figures) < maxLoggedCandidates {
			t := b.targets[i]
			d.Figures = append(d.Figures, decisions.Candidate{Box: t.Box, Score: float64(t.Busy) / float64(max(t.Slots, 1))})
		}
	}
	svc.decisions.Record(d)
}

// destinationEndpoints returns the usable engines of this data centre by name.
func (svc *Service) destinationEndpoints() map[string]fleet.Endpoint {
	m := map[string]fleet.Endpoint{}
	for _, s := range svc.view.Endpoints() {
		if s.DataCentre == svc.dc && s.Usable() && s.Role == fleet.EngineRole {
			m[s.Name] = s.Endpoint
		}
	}
	return m
}
