package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "gossip"

// The times of an exchange. Of two boxes, the one whose name comes first calls
// each period. A box that has not been heard for lost is taken to be away, and
// what it told is kept for reserved beyond that: it may still spend its share.
const (
	period    = 500 * time.Millisecond
	callLimit = 450 * time.Millisecond
	lost      = 2 * time.Second
	reserved  = 8 * time.Second
)

// watchWait is how long a call waits for changes of the list of boxes, which
// nothing urgent depends on.
const watchWait = 15 * time.Second

// Gossip is the service of one box. Own returns what to tell; OnChange is called
// after each round.
type Gossip struct {
	Box      string
	Address  string
	Prefix   string
	Seeds    []string
	Store    store.Store
	Own      func() Status
	OnChange func()

	log    zerolog.Logger
	known  *known.Known
	node   *peer.Node
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	boxes map[string]string // addresses by name, as the store lists them
	heard map[string]heard
	last  time.Time // when another box was last heard
}

// New returns the service. Box, Address, Prefix, Seeds, Store, Own and OnChange
// are to be set before it starts.
func New(log zerolog.Logger) *Gossip {
	return &Gossip{log: log, boxes: map[string]string{}, heard: map[string]heard{}}
}

// Name returns the service's name.
func (g *Gossip) Name() string { return Name }

// Start answers other boxes and begins to call them.
func (g *Gossip) Start(_ context.Context, k *kernel.Kernel) error {
	var s *session.Session
	err := errors.Join(
		kernel.Bind(k, known.Name, &g.known), kernel.Bind(k, peer.Name, &g.node), kernel.Bind(k, session.Name, &s),
	)
	if err != nil {
		return err
	}
	peer.Handle(g.node.Server, "gossip.status", func(_ context.Context, in Status) (Status, error) {
		g.hear(in)
		return g.Own(), nil
	})
	peer.Handle(g.node.Server, "gossip.configuration", func(context.Context, uint64) ([]byte, error) {
		_, raw := g.known.Raw()
		return raw, nil
	})
	c, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	m := &mirror.Mirror{Store: g.Store, Prefix: g.Prefix, Wait: watchWait, Apply: g.apply, Log: g.log}
	s.OnReturn(m.Restart)
	g.group.Go(func() { m.Run(c) })
	g.group.Go(func() { g.run(c) })
	return nil
}

// Stop ends the exchange.
func (g *Gossip) Stop(context.Context) error {
	g.cancel()
	g.group.Wait()
	return nil
}

// Others returns the statuses of the boxes that were heard lately enough that
// they may still spend what they told.
func (g *Gossip) Others() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Status
	for n, h := range g.heard {
		if _, listed := g.boxes[n]; listed || time.Since(h.at) < reserved {
			out = append(out, h.Status)
		}
	}
	return out
}

// Alone reports whether other boxes are known and none has been heard lately.
func (g *Gossip) Alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.heard) > 0 && time.Since(g.last) > lost
}

// Count returns how many boxes there are, this one included.
func (g *Gossip) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for b := range g.boxes {
		if b != g.Box {
			n++
		}
	}
	for b, h := range g.heard {
		if _, listed := g.boxes[b]; !listed && time.Since(h.at) < lost {
			n++
		}
	}
	return n
}

// apply takes the list of boxes from the store.
func (g *Gossip) apply(items []store.Item, whole bool, _ uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.boxes = map[string]string{}
	}
	for _, i := range items {
		n := i.Key[len(g.Prefix):]
		if i.Deleted {
			delete(g.boxes, n)
			continue
		}
		g.boxes[n] = string(i.Value)
	}
}

func (g *Gossip) hear(s Status) {
	if s.Box == g.Box {
		return
	}
	now := time.Now()
	g.mu.Lock()
	old, had := g.heard[s.Box]
	g.heard[s.Box] = heard{s, now}
	g.last = now
	g.mu.Unlock()
	if !had || now.Sub(old.at) > lost {
		g.log.Info().Str("event", "box heard").Str("other", s.Box).Uint64("version", s.Version).Msg("in touch")
	}
}

func (g *Gossip) run(c context.Context) {
	for c.Err() == nil {
		began := time.Now()
		g.round(c)
		g.OnChange()
		wait.For(c, period-time.Since(began))
	}
}

// round tells the boxes that it is this one's to call, and takes a newer
// configuration from one that has it.
func (g *Gossip) round(c context.Context) {
	own := g.Own()
	var w sync.WaitGroup
	for _, a := range g.targets() {
		w.Go(func() {
			x, cancel := context.WithTimeout(c, callLimit)
			defer cancel()
			var s Status
			if err := g.node.Client.Call(x, a, "gossip.status", own, &s); err == nil {
				g.hear(s)
			}
		})
	}
	w.Wait()
	if a, v := g.newer(own.Version); a != "" {
		g.fetch(c, a, v)
	}
}

// targets returns the boxes to call: those whose names come after this one's,
// and the seeds while no other box is known.
func (g *Gossip) targets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := map[string]string{}
	for n, h := range g.heard {
		if time.Since(h.at) < reserved {
			all[n] = h.Address
		}
	}
	for n, a := range g.boxes {
		all[n] = a
	}
	var out []string
	for n, a := range all {
		if n > g.Box {
			out = append(out, a)
		}
	}
	if len(g.heard) == 0 {
		for _, a := range g.Seeds {
			if a != g.Address {
				out = append(out, a)
			}
		}
	}
	return out
}

// newer returns a box that has a newer configuration.
func (g *Gossip) newer(than uint64) (address string, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.heard {
		if h.Version > than && time.Since(h.at) < lost {
			address, version, than = h.Address, h.Version, h.Version
		}
	}
	return address, version
}

func (g *Gossip) fetch(c context.Context, address string, version uint64) {
	x, cancel := context.WithTimeout(c, callLimit)
	defer cancel()
	var raw []byte
	err := g.node.Client.Call(x, address, "gossip.configuration", version, &raw)
	if err == nil && len(raw) > 0 {
		err = g.known.Install(raw, address)
	}
	if err != nil {
		g.log.Info().Str("event", "configuration").Str("from", address).Uint64("version", version).Err(err).Msg("not fetched")
	}
}
