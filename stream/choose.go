package stream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/rest"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/view"
)

// maxFigures bounds the candidates that a log line names.
const maxFigures = 4

// The bounds of a request for which there is no room here: so many boxes of
// other data centres are asked, and then its caller is told to come back.
const (
	maxAbroad   = 2
	abroadRetry = 2 * time.Second
)

// candidate is an endpoint that may run a workload, and how well it meets the
// selectors' preferences.
type candidate struct {
	*view.EndpointState
	preference float64
}

// index remembers which endpoints may run each workload, as one snapshot and
// one document have it: selectors are read once for both, not for each request.
type index struct {
	snapshot *view.Snapshot
	document *config.Document
	dc       string

	mu sync.Mutex
	by map[string][]candidate
}

// of returns the endpoints that may run a workload: live, loaded, allowed and
// in this data centre.
func (x *index) of(workload string) []candidate {
	x.mu.Lock()
	defer x.mu.Unlock()
	cs, known := x.by[workload]
	if known {
		return cs
	}
	for _, s := range x.snapshot.Endpoints {
		if s.DataCentre != x.dc || !s.Usable() || !s.Serves(workload) {
			continue
		}
		if ok, _ := x.document.Allowed(workload, s.Box); ok {
			cs = append(cs, candidate{s, x.document.Preference(workload, s.Box)})
		}
	}
	if x.by == nil {
		x.by = make(map[string][]candidate)
	}
	x.by[workload] = cs
	return cs
}

// indexOf returns the index of the present snapshot and document.
func (k *Keeper) indexOf(d *config.Document) *index {
	n := k.view.Snapshot()
	x := k.index.Load()
	if x == nil || x.snapshot != n || x.document != d {
		x = &index{snapshot: n, document: d, dc: k.dc}
		k.index.Store(x)
	}
	return x
}

// candidates holds the targets of one decision and the slots behind them, kept
// between decisions so that a decision does not allocate with the fleet's size.
type candidates struct {
	targets []router.Target
	slots   []*view.EndpointState
}

// gather fills the candidates, but for those to be avoided and those that rest.
func (c *candidates) gather(cs []candidate, held string, avoid map[string]bool, rests *rest.BackOffs) {
	c.targets, c.slots = c.targets[:0], c.slots[:0]
	now := boottime.Now()
	none := rests.IsEmpty(now)
	for _, s := range cs {
		if avoid[s.Name] || !none && rests.Remaining(s.ProcessID(), now) > 0 {
			continue
		}
		c.slots = append(c.slots, s.EndpointState)
		c.targets = append(c.targets, router.Target{
			Box: s.Name, Hash: s.Hash, Busy: s.EstimateRequests(), Slots: s.Slots, TokensPerSecond: s.TokensPerSecond,
			Preference: s.preference, PrefixCached: s.Name == held,
		})
	}
}

// choose picks the endpoint of the next attempt, or a peer in another data
// centre when there is none here.
func (r *run) choose(c context.Context) error {
	d := r.k.follower.Current()
	if d == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	if r.s.abroad && !r.ran {
		return r.overflow()
	}
	if err := r.k.suspects.Check(r.content); err != nil {
		return err
	}
	r.k.fresh.Ensure(c)
	b := r.k.buffers.Get().(*candidates)
	defer r.k.buffers.Put(b)
	prefix := engine.Prefix(r.s.Workload, r.s.Prompt)
	held, _ := r.k.prefixes.Get(prefix)
	cs := r.k.indexOf(d).of(r.s.Workload)
	b.gather(cs, held, r.avoid, &r.k.view.BackOffs)
	q := router.Query{
		Prefix: prefix, PromptTokens: engine.PromptTokens(r.s.Prompt), AnswerTokens: r.s.MaxTokens - r.splice.Next,
		Urgent: r.s.Kind.Urgent(), Deadline: time.Until(r.s.Deadline),
	}
	ch := r.pick(b, q)
	r.k.noteRoute(r, b, ch)
	if ch.Index < 0 {
		return r.restsOver(cs, r.overflow())
	}
	s := b.slots[ch.Index]
	r.aim(target{box: s.Name, incarnation: s.Incarnation, address: s.Address, slot: s})
	return nil
}

// restsOver tells who is refused for want of an endpoint when the first one's rest is over, if
// all that there are have asked for one.
func (r *run) restsOver(cs []candidate, err error) error {
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind != errkind.NoEndpoint {
		return err
	}
	left := rest.MinRemaining(&r.k.view.BackOffs, cs, candidate.ProcessID, boottime.Now())
	return e.After(left)
}

// pick takes the endpoint that a reclaim plan named, or asks the policy.
func (r *run) pick(b *candidates, q router.Query) router.Choice {
	p := r.prefer
	r.prefer = ""
	for i := range b.targets {
		if b.targets[i].Box == p {
			return router.Choice{Index: i, Reason: "the reclaim plan's destination"}
		}
	}
	return r.k.policy().Pick(b.targets, q)
}

// overflow sends the request to the entry boxes of another data centre. One
// that came from there already is not sent on.
func (r *run) overflow() error {
	var ms []member.Member
	for _, m := range r.k.members.Up("") {
		if m.DataCentre != r.k.dc && !r.avoid[m.Box] {
			ms = append(ms, m)
		}
	}
	if r.s.abroad && (len(ms) == 0 || r.attempt >= maxAbroad) {
		return errkind.New(errkind.Overloaded, "no room for kind %s, here or in %d other boxes that were asked", r.s.Kind, r.attempt).After(abroadRetry)
	}
	if len(ms) == 0 || r.s.relayed {
		return errkind.New(errkind.NoEndpoint, "no endpoint is live, allowed and loaded with %s", r.s.Workload)
	}
	m := ms[rand.IntN(len(ms))]
	r.aim(target{box: m.Box, incarnation: m.Incarnation, address: m.Address})
	r.note("overflow", "nothing here, data centre "+m.DataCentre+" is asked")
	return nil
}

func (k *Keeper) noteRoute(r *run, b *candidates, ch router.Choice) {
	d := decisions.Decision{Subject: r.s.ID, Event: "route", Reason: ch.Reason, Attempt: r.attempt + 1, Workload: r.s.Workload}
	for i := range b.targets {
		if i == ch.Index {
			d.Choice = b.targets[i].Box
		}
		if i == ch.Index || len(d.Figures) < maxFigures {
			t := b.targets[i]
			d.Figures = append(d.Figures, decisions.Candidate{Box: t.Box, Score: float64(t.Busy) / float64(max(t.Slots, 1))})
		}
	}
	k.decisions.Record(d)
}

// destinations are the endpoints that can take streams from a box that leaves,
// with this box's part of their free slots.
func (k *Keeper) destinations() map[string]fleet.Endpoint {
	m := map[string]fleet.Endpoint{}
	for _, s := range k.view.Endpoints() {
		if s.DataCentre == k.dc && s.Usable() && s.Role == fleet.EngineRole {
			m[s.Name] = s.Endpoint
		}
	}
	return m
}
