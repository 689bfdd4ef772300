// Package placer carries out placement plans for a data centre. The box that
// holds the lease of the data centre computes the plans. It sends each engine the
// set of workloads to load until the engine reports that set, and starts and stops
// boxes.
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
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/duty"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/placement"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service in the kernel.
const Name = "placer"

const (
	candidates         = 2                // boxes of a data centre that compete for the lease
	orderTimeout       = 30 * time.Second // for one order to an engine
	maxConcurrentLoads = 2                // that the weight store serves at once
	refusalTTL         = time.Minute      // how long a refused kind of box is not started again
	stopInterval       = time.Minute      // minimum time between two stops of boxes
)

// Placer is the placement service of one box. It is idle while another box holds the
// lease.
type Placer struct {
	Platform *cloud.Client
	Log      zerolog.Logger

	lease     *duty.Lease
	view      *view.View
	members   *member.Service
	follower  *configsync.Follower
	decisions *decisions.Log
	admission *admission.Admission
	engines   *engine.Client

	mu        sync.Mutex
	plan      placement.Plan
	refusedAt map[cloud.Start]time.Time
	pending   map[string]bool // boxes of engines with an order under way
	lastStop  time.Time
	cancel    context.CancelFunc
	group     sync.WaitGroup
}

// New returns a placer that starts and stops boxes through p.
func New(p *cloud.Client, log zerolog.Logger) *Placer {
	return &Placer{Platform: p, Log: log, refusedAt: map[cloud.Start]time.Time{}, pending: map[string]bool{}}
}

// Name returns [Name].
func (p *Placer) Name() string { return Name }

// Start binds the services that the placer needs from k and begins to compete for the
// lease.
func (p *Placer) Start(_ context.Context, k *kernel.Kernel) error {
	s, err := kernel.Find[*kv.Service](k, kv.Name)
	if err != nil {
		return err
	}
	if err := errors.Join(
		kernel.Bind(k, view.Name, &p.view),
		kernel.Bind(k, member.Name, &p.members),
		kernel.Bind(k, configsync.Name, &p.follower),
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

// Stop ends the placer and waits until its orders have ended.
func (p *Placer) Stop(context.Context) error {
	p.cancel()
	p.group.Wait()
	p.engines.Close()
	return nil
}

// Leader returns the incarnation of the box that holds the lease and the fence of the
// lease, as far as this box knows.
func (p *Placer) Leader() (string, uint64) { return p.lease.CurrentHolder() }

// Plan returns the last plan that this box computed.
func (p *Placer) Plan() placement.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan
}

func (p *Placer) loop(c context.Context) {
	t := time.NewTicker(duty.RenewInterval)
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

// reconcile renews the lease and, if this box holds it, computes and applies a plan.
func (p *Placer) reconcile(c context.Context) {
	candidate, _ := p.members.Owner("placer", candidates)
	if _, held := p.lease.Held(); !candidate && !held {
		return
	}
	if err := p.lease.Step(c); err != nil {
		p.Log.Warn().Err(err).Msg("could not acquire or renew the lease")
	}
	fence, held := p.lease.Held()
	d := p.follower.Current()
	if !held || d == nil {
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
	for _, s := range p.view.Endpoints() {
		in.Endpoints = append(in.Endpoints, s.Endpoint)
		if s.Role == fleet.EngineRole && s.Slots > 0 {
			in.Classes[s.Class] = placement.Class{Slots: s.Slots, TokensPerSecond: s.TokensPerSecond}
		}
	}
	ps, err := p.Platform.Prices(c)
	if err != nil {
		p.Log.Warn().Err(err).Msg("planning without prices")
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

// record stores a plan and logs the unmet requirements that the previous plan did not have.
func (p *Placer) record(plan placement.Plan) {
	p.mu.Lock()
	old := p.plan
	p.plan = plan
	p.mu.Unlock()
	for _, u := range plan.Unmet {
		if !slices.Contains(old.Unmet, u) {
			p.decisions.Record(decisions.Decision{Subject: "placement", Event: "unmet", Workload: u.Workload, Choice: u.Selector, Reason: u.Reason})
		}
	}
}

// apply sends orders to the engines that differ from the plan, and starts and stops boxes.
func (p *Placer) apply(c context.Context, plan placement.Plan, fence uint64) {
	for _, a := range plan.Assignments {
		s := p.view.Endpoint(a.Box)
		if s == nil || sameSet(s.Loaded, a.Workloads) || !p.canOrder(s) {
			continue
		}
		p.order(c, s.Endpoint, a, fence)
	}
	if !p.lease.MayActUnfenced(boottime.Now(), 0) {
		return
	}
	for _, s := range plan.Start {
		p.startBox(c, s)
	}
	if len(plan.Stop) > 0 && time.Since(p.lastStop) > stopInterval {
		p.lastStop = time.Now()
		p.stopBox(c, plan.Stop[0])
	}
}

// canOrder reports whether this box may send orders to an engine now. An engine that checks
// fences refuses stale orders itself, so the last holder of the lease can continue while
// the platform is unreachable.
func (p *Placer) canOrder(s *view.EndpointState) bool {
	return s.ChecksFence || p.lease.MayActUnfenced(boottime.Now(), orderTimeout)
}

// order sends an assignment to one engine in the background, unless an earlier order to
// that engine is still under way.
func (p *Placer) order(c context.Context, e fleet.Endpoint, a placement.Assignment, fence uint64) {
	p.mu.Lock()
	busy := p.pending[e.Name]
	p.pending[e.Name] = true
	p.mu.Unlock()
	if busy {
		return
	}
	p.decisions.Record(decisions.Decision{Subject: "placement", Event: "order", Choice: e.Name, Workload: fmt.Sprint(a.Workloads), Reason: a.Reason})
	p.group.Go(func() {
		defer func() {
			p.mu.Lock()
			delete(p.pending, e.Name)
			p.mu.Unlock()
		}()
		c, cancel := context.WithTimeout(c, orderTimeout)
		defer cancel()
		err := p.engines.SetOrders(c, e.Address, engine.Orders{Fence: fence, Workloads: a.Workloads})
		if errors.Is(err, engine.ErrFenced) {
			p.Log.Warn().Str("box", e.Name).Msg("a later holder has the duty")
		} else if err != nil {
			p.Log.Warn().Str("box", e.Name).Err(err).Msg("engine order failed")
		}
	})
}

// startBox starts a box and logs the decision. A kind of box that was refused is not
// started again before refusalTTL has passed.
func (p *Placer) startBox(c context.Context, s cloud.Start) {
	b, err := p.Platform.Start(c, s)
	n := decisions.Decision{Subject: "placement", Event: "start", Choice: b.Name, Workload: s.Class, Reason: "demand needs it"}
	if err != nil {
		n.Reason = err.Error()
		p.mu.Lock()
		p.refusedAt[s] = time.Now()
		p.mu.Unlock()
	}
	p.decisions.Record(n)
}

func (p *Placer) stopBox(c context.Context, box string) {
	n := decisions.Decision{Subject: "placement", Event: "stop", Choice: box, Reason: "not needed for the demand"}
	if err := p.Platform.Stop(c, box); err != nil {
		n.Reason = err.Error()
	}
	p.decisions.Record(n)
}

func sameSet(a, b []string) bool {
	x, y := slices.Clone(a), slices.Clone(b)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}
