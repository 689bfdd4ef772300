// Package placer carries out placement plans for a data centre, on the one box
// that has the duty: declarative orders to engines, reconciled by reading back,
// and starts and stops of boxes.
package placer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/duty"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/placement"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service.
const Name = "placer"

// The times and bounds of the duty.
const (
	candidates         = 2
	orderTimeout       = 30 * time.Second
	maxConcurrentLoads = 2
	refusalTTL         = time.Minute
	stopInterval       = time.Minute
)

// Placer is the service of one box.
type Placer struct {
	Platform *cloud.Client
	Log      zerolog.Logger

	lease     *duty.Lease
	view      *view.View
	members   *member.Service
	follower  *follower.Follower
	decisions *decisions.Log
	admission *admission.Admission
	engines   *engine.Client

	mu        sync.Mutex
	plan      placement.Plan
	refusedAt map[cloud.Start]time.Time
	pending   map[string]bool
	lastStop  time.Time
	cancel    context.CancelFunc
	group     sync.WaitGroup
}

// New returns the placer of a box.
func New(p *cloud.Client, log zerolog.Logger) *Placer {
	return &Placer{Platform: p, Log: log, refusedAt: map[cloud.Start]time.Time{}, pending: map[string]bool{}}
}

// Name returns the service's name.
func (p *Placer) Name() string { return Name }

// Start begins to seek the duty.
func (p *Placer) Start(_ context.Context, k *kernel.Kernel) error {
	s, err := kernel.Find[*kv.Service](k, kv.Name)
	if err != nil {
		return err
	}
	if err := errors.Join(
		kernel.Bind(k, view.Name, &p.view),
		kernel.Bind(k, member.Name, &p.members),
		kernel.Bind(k, follower.Name, &p.follower),
		kernel.Bind(k, decisions.Name, &p.decisions),
		kernel.Bind(k, admission.Name, &p.admission),
	); err != nil {
		return err
	}
	m := p.members.Self()
	p.engines = engine.NewClient(m.Box)
	p.lease = &duty.Lease{Key: "duty/placer/" + m.DataCentre, Holder: m.Incarnation, Store: s}
	c, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group.Go(func() { p.loop(c) })
	return nil
}

// Stop ends the duty.
func (p *Placer) Stop(context.Context) error {
	p.cancel()
	p.group.Wait()
	p.engines.Close()
	return nil
}

// Leader returns the holder and the fence as this box knows them.
func (p *Placer) Leader() (string, uint64) { return p.lease.Current() }

// Plan returns the last plan that this box made.
func (p *Placer) Plan() placement.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan
}

func (p *Placer) loop(c context.Context) {
	t := time.NewTicker(duty.Renew)
	defer t.Stop()
	for {
		p.reconcile(c)
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Placer) reconcile(c context.Context) {
	first, _ := p.members.Owner("placer", candidates)
	if _, mine := p.lease.Mine(); !first && !mine {
		return
	}
	if err := p.lease.Step(c); err != nil {
		p.Log.Warn().Err(err).Msg("duty not renewed")
	}
	fence, mine := p.lease.Mine()
	d := p.follower.Current()
	if !mine || d == nil {
		return
	}
	plan := placement.Sticky{}.Plan(p.input(c))
	p.record(plan)
	p.apply(c, plan, fence)
}

func (p *Placer) input(c context.Context) placement.Input {
	in := placement.Input{
		DataCentre: p.members.Self().DataCentre, Document: p.follower.Current(),
		Demand: p.admission.DataCentreDemand(), MaxLoads: maxConcurrentLoads,
	}
	in.Classes = map[string]placement.Class{}
	for _, s := range p.view.Slots() {
		in.Endpoints = append(in.Endpoints, s.Endpoint)
		if s.Role == fleet.EngineRole && s.Slots > 0 {
			in.Classes[s.Class] = placement.Class{Slots: s.Slots, TokensPerSecond: s.TokensPerSecond}
		}
	}
	ps, err := p.Platform.Prices(c)
	if err != nil {
		p.Log.Warn().Err(err).Msg("placing without prices")
	}
	in.Prices = ps
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, at := range p.refusedAt {
		if time.Since(at) > refusalTTL {
			delete(p.refusedAt, s)
			continue
		}
		in.Refused = append(in.Refused, s)
	}
	return in
}

// record logs a plan's decisions that are new.
func (p *Placer) record(n placement.Plan) {
	p.mu.Lock()
	old := p.plan
	p.plan = n
	p.mu.Unlock()
	for _, u := range n.Unmet {
		if !slices.Contains(old.Unmet, u) {
			p.decisions.Note(decisions.Decision{Subject: "placement", Event: "unmet", Workload: u.Workload, Choice: u.Selector, Reason: u.Reason})
		}
	}
}

// apply orders what differs from the plan.
func (p *Placer) apply(c context.Context, n placement.Plan, fence uint64) {
	for _, a := range n.Assignments {
		s := p.view.Slot(a.Box)
		if s == nil || sameSet(s.Loaded, a.Workloads) || !p.canOrder(s) {
			continue
		}
		p.order(c, s.Endpoint, a, fence)
	}
	if !p.lease.Safe(time.Now(), 0) {
		return
	}
	for _, s := range n.Start {
		p.startBox(c, s)
	}
	if len(n.Stop) > 0 && time.Since(p.lastStop) > stopInterval {
		p.lastStop = time.Now()
		p.stopBox(c, n.Stop[0])
	}
}

// canOrder reports whether an engine may be given orders now. One that checks the
// fence decides itself, so the last holder goes on while the platform is away.
func (p *Placer) canOrder(s *view.Slot) bool {
	return s.ChecksFence || p.lease.Safe(time.Now(), orderTimeout)
}

// order gives one engine its orders, unless it still works on the last.
func (p *Placer) order(c context.Context, e fleet.Endpoint, a placement.Assignment, fence uint64) {
	p.mu.Lock()
	busy := p.pending[e.Name]
	p.pending[e.Name] = true
	p.mu.Unlock()
	if busy {
		return
	}
	p.decisions.Note(decisions.Decision{Subject: "placement", Event: "order", Choice: e.Name, Workload: fmt.Sprint(a.Workloads), Reason: a.Reason})
	p.group.Go(func() {
		defer func() {
			p.mu.Lock()
			delete(p.pending, e.Name)
			p.mu.Unlock()
		}()
		c, cancel := context.WithTimeout(c, orderTimeout)
		defer cancel()
		err := p.engines.Order(c, e.Address, engine.Orders{Fence: fence, Workloads: a.Workloads})
		if errors.Is(err, engine.ErrFenced) {
			p.Log.Warn().Str("box", e.Name).Msg("a later holder has the duty")
		} else if err != nil {
			p.Log.Warn().Str("box", e.Name).Err(err).Msg("order not carried out")
		}
	})
}

func (p *Placer) startBox(c context.Context, s cloud.Start) {
	b, err := p.Platform.Start(c, s)
	n := decisions.Decision{Subject: "placement", Event: "start", Choice: b.Name, Workload: s.Class, Reason: "demand needs it"}
	if err != nil {
		n.Reason = err.Error()
		p.mu.Lock()
		p.refusedAt[s] = time.Now()
		p.mu.Unlock()
	}
	p.decisions.Note(n)
}

func (p *Placer) stopBox(c context.Context, box string) {
	n := decisions.Decision{Subject: "placement", Event: "stop", Choice: box, Reason: "not needed for the demand"}
	if err := p.Platform.Stop(c, box); err != nil {
		n.Reason = err.Error()
	}
	p.decisions.Note(n)
}

func sameSet(a, b []string) bool {
	x, y := slices.Clone(a), slices.Clone(b)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}
