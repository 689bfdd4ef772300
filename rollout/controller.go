package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the controller as a kernel service.
const Name = "rollout"

// decideInterval is the time between two decisions.
const decideInterval = 250 * time.Millisecond

// progressLifetime is how long after its last decision the controller still reports progress.
const progressLifetime = time.Second

// Controller is the kernel service that decides on orders while its box holds the duty. Its
// exported fields are set before it starts.
type Controller struct {
	Gate  *Gate
	Store store.Store

	// Key is the store key under which the stage of each order is saved for a successor.
	Key string

	// Status returns the status to write for the operator when an order enters a stage.
	Status func(o Order, s Stage) (store.Put, error)

	// Fence returns the fencing token of the duty, and whether this box may decide now.
	Fence func() (uint64, bool)

	// RemoteEvidence returns the evidence of the other boxes, by service.
	RemoteEvidence func() map[string]Evidence

	// AllHeard reports whether RemoteEvidence is recent and covers all other boxes. A box that is not heard may have requests in
	// flight at the other versions, so the final phase comes before the order is complete.
	AllHeard func() bool

	// Broadcast sends reports of a new stage to the other boxes immediately.
	Broadcast func(map[string]Progress)

	// Now returns the wall time of the fleet, from which a successor computes the age of an order.
	Now func() time.Time

	// MaxShare is the fraction of a service's requests that a bad version may receive.
	MaxShare float64

	Log zerolog.Logger

	cancel context.CancelFunc
	group  sync.WaitGroup

	fence        uint64
	statesLoaded bool   // states and revision match the store
	revision     uint64 // store revision of Key
	states       map[string]state
	policies     map[string]*Policy

	mu        sync.Mutex
	progress  map[string]Progress
	decidedAt time.Time
}

// state is the saved state of an order. Began is when the order was first seen, and Since when its
// stage began.
type state struct {
	Revision uint64
	Stage    Stage
	Began    time.Time
	Since    time.Time
}

// Name returns the name of the kernel service.
func (c *Controller) Name() string { return Name }

// Start starts the goroutine that decides on orders.
func (c *Controller) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Go(func() {
		for ctx.Err() == nil {
			wait.For(ctx, decideInterval)
			c.Step(ctx)
		}
	})
	return nil
}

// Stop stops the goroutine and waits until it has ended.
func (c *Controller) Stop(context.Context) error {
	c.cancel()
	c.group.Wait()
	return nil
}

// CurrentProgress returns the reports on all orders, by service, or nil if this box has not decided
// recently because it does not hold the duty.
func (c *Controller) CurrentProgress() map[string]Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := boottime.Since(c.decidedAt)
	if age > progressLifetime {
		return nil
	}
	out := maps.Clone(c.progress)
	for s, p := range out {
		p.Age = age
		out[s] = p
	}
	return out
}

// Step decides once on each current order.
func (c *Controller) Step(ctx context.Context) {
	orders := c.Gate.Orders().List
	if len(orders) == 0 {
		return
	}
	fence, ok := c.Fence()
	if !ok {
		return
	}
	if fence != c.fence {
		c.fence, c.statesLoaded, c.policies = fence, false, map[string]*Policy{}
	}
	if !c.statesLoaded && c.loadStates(ctx) != nil {
		return
	}
	sum := AddEvidence(AddEvidence(nil, c.Gate.LocalEvidence()), c.RemoteEvidence())
	changed := map[string]state{}
	for _, o := range orders {
		if s, entered := c.decide(o, sum[o.Service]); entered {
			changed[o.Service] = s
		}
	}
	c.publish(orders) // before the write, so that a bad version stops receiving requests even if the store fails
	for _, o := range orders {
		if s, ok := changed[o.Service]; ok {
			err := c.writeState(ctx, o, s)
			c.Log.Info().Str("event", "rollout").Str("service", o.Service).Str("version", o.Version).Uint64("order", o.Revision).
				Uint64("fence", c.fence).Dur("ago", c.Now().Sub(s.Began)).Stringer("stage", s.Stage).
				Interface("evidence", sum[o.Service]).Err(err).Msg("decision")
		}
	}
	c.publish(orders)
}

// loadStates reads the states that the previous controller saved.
func (c *Controller) loadStates(ctx context.Context) error {
	i, err := c.Store.Get(ctx, c.Key)
	if err != nil {
		return err
	}
	c.revision, c.states = i.Revision, map[string]state{}
	if i.Revision != 0 {
		if err := json.Unmarshal(i.Value, &c.states); err != nil {
			c.Log.Error().Str("event", "rollout").Str("key", c.Key).Err(err).Msg("decode saved states; orders restart from the first stage")
			c.states = map[string]state{}
		}
	}
	c.statesLoaded = true
	return nil
}

// decide returns the state of an order, and whether the order enters a new stage.
func (c *Controller) decide(o Order, e Evidence) (state, bool) {
	now := c.Now()
	s, ok := c.states[o.Service]
	if !ok || s.Revision != o.Revision {
		s = state{Revision: o.Revision, Stage: Closed, Began: now, Since: now}
	}
	p := c.policies[o.Service]
	if p == nil || p.order != o.Revision {
		p = &Policy{MaxShare: c.MaxShare, order: o.Revision}
		c.policies[o.Service] = p
	}
	if e.Revision != o.Revision {
		e = Evidence{}
	}
	if !c.AllHeard() {
		e.Busy++
	}
	next := p.Next(o, s.Stage, now.Sub(s.Since), now.Sub(s.Began), e)
	if next == s.Stage {
		return s, false
	}
	s.Stage, s.Since = next, now
	return s, true
}

// writeState saves the state of an order and the operator's status in one transaction.
func (c *Controller) writeState(ctx context.Context, o Order, s state) error {
	states := maps.Clone(c.states)
	states[o.Service] = s
	value, err := json.Marshal(states)
	if err != nil {
		return err
	}
	status, err := c.Status(o, s.Stage)
	if err != nil {
		return err
	}
	revision, err := c.Store.Commit(ctx, store.Change{
		If:  []store.Condition{{Key: c.Key, Revision: c.revision}},
		Put: []store.Put{{Key: c.Key, Value: value}, status},
	})
	if err != nil {
		// Another box may have written the key, or this change may have taken effect.
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			c.statesLoaded = false
		}
		return err
	}
	c.states, c.revision = states, revision
	return nil
}

// publish updates the reports on all orders, and broadcasts those with a new order or stage. The
// reported stage is the saved one, or Reverted as soon as the version is rejected.
func (c *Controller) publish(orders []Order) {
	all, changed := map[string]Progress{}, map[string]Progress{}
	c.mu.Lock()
	for _, o := range orders {
		s, known := c.states[o.Service]
		stage := s.Stage
		switch p := c.policies[o.Service]; {
		case p != nil && p.order == o.Revision && p.rejected:
			stage = Reverted
		case !known || s.Revision != o.Revision:
			continue
		}
		old := c.progress[o.Service]
		r := Progress{Order: o, Stage: stage, Share: Share(stage, c.MaxShare), Fence: c.fence, Count: old.Count + 1}
		if old.Revision != o.Revision || old.Stage != stage {
			changed[o.Service] = r
		}
		all[o.Service] = r
	}
	c.progress, c.decidedAt = all, boottime.Now()
	c.mu.Unlock()
	if len(changed) > 0 {
		c.Broadcast(changed)
	}
}
