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

// Name is the name of the service.
const Name = "rollout"

// step is the time between two decisions.
const decideInterval = 250 * time.Millisecond

// actedFor is how long after the last decision this box still speaks as the holder of the duty.
const progressLifetime = time.Second

// Holder is the service that decides on orders while its box holds the duty. Its exported fields
// are set before it starts.
type Controller struct {
	Gate  *Gate
	Store store.Store

	// Key is where the holder keeps how far each order is, for its successor.
	Key string

	// Status returns what to write for the operator, as an order enters a stage.
	Status func(o Order, s Stage) (store.Put, error)

	// Act returns the fence and true if this box may decide now.
	Fence func() (uint64, bool)

	// Others returns what the other boxes have seen, and Tell tells them a new stage at once.
	RemoteEvidence func() map[string]Evidence
	Broadcast      func(map[string]Progress)

	// Now returns the time of day of the fleet, by which successors know how old an order is.
	Now func() time.Time

	MaxShare float64
	Log      zerolog.Logger

	cancel context.CancelFunc
	group  sync.WaitGroup

	fence        uint64
	statesLoaded bool   // what stands at Key is known
	revision     uint64 // of Key
	states       map[string]state
	policies     map[string]*Policy

	mu        sync.Mutex
	progress  map[string]Progress
	decidedAt time.Time
}

// state is how far an order is. Began and Since are when it came and when the stage began.
type state struct {
	Revision uint64
	Stage    Stage
	Began    time.Time
	Since    time.Time
}

// Name returns the service's name.
func (h *Controller) Name() string { return Name }

// Start begins to decide.
func (h *Controller) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.group.Go(func() {
		for c.Err() == nil {
			wait.For(c, decideInterval)
			h.Step(c)
		}
	})
	return nil
}

// Stop ends it.
func (h *Controller) Stop(context.Context) error {
	h.cancel()
	h.group.Wait()
	return nil
}

// Words returns what this box says as the holder of the duty; none if it does not hold it.
func (h *Controller) CurrentProgress() map[string]Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := boottime.Since(h.decidedAt)
	if age > progressLifetime {
		return nil
	}
	out := maps.Clone(h.progress)
	for s, w := range out {
		w.Age = age
		out[s] = w
	}
	return out
}

// Step decides once on each order that stands.
func (h *Controller) Step(c context.Context) {
	orders := h.Gate.Orders().List
	if len(orders) == 0 {
		return
	}
	fence, ok := h.Fence()
	if !ok {
		return
	}
	if fence != h.fence {
		h.fence, h.statesLoaded, h.policies = fence, false, map[string]*Policy{}
	}
	if !h.statesLoaded && h.loadStates(c) != nil {
		return
	}
	sum := AddEvidence(AddEvidence(nil, h.Gate.Evidence()), h.RemoteEvidence())
	changed := map[string]state{}
	for _, o := range orders {
		if s, news := h.decide(o, sum[o.Service]); news {
			changed[o.Service] = s
		}
	}
	h.publish(orders) // first: what is found to be bad gets nothing more, whatever the store says
	for _, o := range orders {
		if s, ok := changed[o.Service]; ok {
			err := h.writeState(c, o, s)
			h.Log.Info().Str("event", "rollout").Str("service", o.Service).Str("version", o.Version).Uint64("order", o.Revision).
				Uint64("fence", h.fence).Dur("ago", h.Now().Sub(s.Began)).Stringer("stage", s.Stage).
				Interface("evidence", sum[o.Service]).Err(err).Msg("decision")
		}
	}
	h.publish(orders)
}

// readStates learns how far the holder before came.
func (h *Controller) loadStates(c context.Context) error {
	i, err := h.Store.Get(c, h.Key)
	if err != nil {
		return err
	}
	h.revision, h.states = i.Revision, map[string]state{}
	if i.Revision != 0 {
		if err := json.Unmarshal(i.Value, &h.states); err != nil {
			h.Log.Error().Str("event", "rollout").Str("key", h.Key).Err(err).Msg("not read; orders begin anew")
			h.states = map[string]state{}
		}
	}
	h.statesLoaded = true
	return nil
}

// decide returns the stage that an order is to enter, and false if it stays where it is.
func (h *Controller) decide(o Order, e Evidence) (state, bool) {
	now := h.Now()
	s, had := h.states[o.Service]
	if !had || s.Revision != o.Revision {
		s = state{Revision: o.Revision, Stage: Closed, Began: now, Since: now}
	}
	p := h.policies[o.Service]
	if p == nil || p.order != o.Revision {
		p = &Policy{MaxShare: h.MaxShare, order: o.Revision}
		h.policies[o.Service] = p
	}
	if e.Revision != o.Revision {
		e = Evidence{}
	}
	next := p.Next(o, s.Stage, now.Sub(s.Since), now.Sub(s.Began), e)
	if next == s.Stage {
		return s, false
	}
	s.Stage, s.Since = next, now
	return s, true
}

// write keeps how far an order is, together with the operator's status.
func (h *Controller) writeState(c context.Context, o Order, s state) error {
	states := maps.Clone(h.states)
	states[o.Service] = s
	value, err := json.Marshal(states)
	if err != nil {
		return err
	}
	status, err := h.Status(o, s.Stage)
	if err != nil {
		return err
	}
	at, err := h.Store.Commit(c, store.Change{
		If:  []store.Condition{{Key: h.Key, Revision: h.revision}},
		Put: []store.Put{{Key: h.Key, Value: value}, status},
	})
	if err != nil {
		// Another may have written, or this change taken effect: it is read again.
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
			h.statesLoaded = false
		}
		return err
	}
	h.states, h.revision = states, at
	return nil
}

// speak says how far each order is: as it is written, or sent back if that is decided. A stage
// that is news is told at once.
func (h *Controller) publish(orders []Order) {
	words, news := map[string]Progress{}, map[string]Progress{}
	h.mu.Lock()
	for _, o := range orders {
		s, stands := h.states[o.Service]
		stage := s.Stage
		switch p := h.policies[o.Service]; {
		case p != nil && p.order == o.Revision && p.rejected:
			stage = Reverted
		case !stands || s.Revision != o.Revision:
			continue
		}
		old := h.progress[o.Service]
		w := Progress{Order: o, Stage: stage, Share: Share(stage, h.MaxShare), Fence: h.fence, Count: old.Count + 1}
		if old.Revision != o.Revision || old.Stage != stage {
			news[o.Service] = w
		}
		words[o.Service] = w
	}
	h.progress, h.decidedAt = words, boottime.Now()
	h.mu.Unlock()
	if len(news) > 0 {
		h.Broadcast(news)
	}
}
